"""Header names of the platform and what each holds."""

from typing import Final

# Id of one attempt of a client; a resend by the client has another.
REQUEST_ID: Final = 'X-Attempt-Id'
# Milliseconds for which the sender still waits, counted from receipt.
TIME_LEFT: Final = 'X-Request-Deadline'
# Opaque mark by which a replica owns an answer as its own.
SIGNATURE: Final = 'X-Response-Signature'
# Id of the replica that alone may run the request.
EXPECTED_REPLICA: Final = 'X-Expect-Instance'
# Present when the replica has not run the request and never will.
NOT_RUN: Final = 'X-Not-Executed'
# Proof of who calls, as a scheme and a key; never passed on.
AUTHORIZATION: Final = 'Authorization'
# Name of the caller's organisation, for replicas; ours alone to say.
ORGANISATION: Final = 'X-Tenant'
LAST_EVENT: Final = 'Last-Event-Id'
# Milliseconds for which a read may be kept waiting for news.
LONG_POLL: Final = 'X-Long-Poll-Wait'

# Headers that concern one connection only, by RFC 9110, section 7.6.1;
# lower case.
HOP_BY_HOP: Final = frozenset(
    (
        *('connection', 'keep-alive', 'proxy-connection', 'te', 'trailer'),
        *('transfer-encoding', 'upgrade', 'expect', 'content-length'),
        *('proxy-authenticate', 'proxy-authorization'),
    ),
)
MS: Final = 1000
