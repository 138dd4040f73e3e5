"""Header names of the platform and the meaning of their values."""

from typing import Final

# Id of one attempt of a caller; a retry by the caller has another id.
REQUEST_ID: Final = 'X-Attempt-Id'
# Milliseconds, counted from receipt, for which the sender still waits.
REQUEST_DEADLINE: Final = 'X-Request-Deadline'
# Opaque signature that a replica puts on its own responses.
SIGNATURE: Final = 'X-Response-Signature'
# Id of the only replica that may run the request.
EXPECTED_REPLICA: Final = 'X-Expect-Instance'
# Present if the replica has not run the request and never will.
NOT_RUN: Final = 'X-Not-Executed'
# Scheme and API key of the caller; removed before a request is passed on if
# organisations are configured.
AUTHORIZATION: Final = 'Authorization'
# Name of the caller's organisation, for replicas. Only the entry sets it; a
# value from the caller is dropped.
ORGANISATION: Final = 'X-Tenant'
# Id of the last event that was received of a stream to be resumed.
LAST_EVENT_ID: Final = 'Last-Event-Id'
# Id of the caller's attempt that brought the first event of that stream.
RESUMES: Final = 'Resumes'
# Name of the model, and the parts of the prompt in order as ID:TOKENS, with
# commas between them; the last part belongs to the request or its session.
MODEL: Final = 'X-Model'
PROMPT_PARTS: Final = 'X-Prompt-Prefix'
# Milliseconds for which a read of results may wait for new ones.
LONG_POLL: Final = 'X-Long-Poll-Wait'

# Headers that apply to a single connection (RFC 9110, section 7.6.1), in
# lower case.
HOP_BY_HOP: Final = frozenset(
    (
        *('connection', 'keep-alive', 'proxy-connection', 'te', 'trailer'),
        *('transfer-encoding', 'upgrade', 'expect', 'content-length'),
        *('proxy-authenticate', 'proxy-authorization'),
    ),
)
MS_PER_S: Final = 1000
