"""Writes a request to a replica, with the caller's and the entry's headers."""

from cactusridge.dispatch.upstream import HeaderList, UpstreamRequest
from cactusridge.fleet.replica import Replica
from cactusridge.platform import names

# Headers of the caller, in lower case, that the entry drops or sets itself.
REPLACED_HEADERS = names.HOP_BY_HOP | {
    names.REQUEST_ID.lower(),
    names.REQUEST_DEADLINE.lower(),
    names.EXPECTED_REPLICA.lower(),
    names.ORGANISATION.lower(),
}


def request_bytes(
    replica: Replica,
    req: UpstreamRequest,
    left_s: float,
) -> bytes:
    """Return ``req`` as HTTP/1.1 bytes; ``left_s`` is the remaining time."""
    left_ms = max(1, int(left_s * names.MS_PER_S))
    headers = [
        (name, text)
        for name, text in req.headers
        if name.lower()
        not in REPLACED_HEADERS | _connection_options(req.headers)
    ]
    if req.resume_after is not None:
        headers = [
            (name, text)
            for name, text in headers
            if name.lower() != names.LAST_EVENT_ID.lower()
        ]
        headers.append((names.LAST_EVENT_ID, req.resume_after))
    if req.organisation:
        headers.append((names.ORGANISATION, req.organisation))
    headers.extend(
        (
            (names.REQUEST_ID, req.id),
            (names.REQUEST_DEADLINE, str(left_ms)),
            (names.EXPECTED_REPLICA, replica.id),
            ('Content-Length', str(len(req.body))),
        ),
    )
    lines = [f'{req.method} {req.target} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers)
    head = '\r\n'.join(lines)
    return b''.join((head.encode('latin-1'), b'\r\n\r\n', req.body))


def _connection_options(headers: HeaderList) -> set[str]:
    """Return the header names listed in ``Connection``, in lower case."""
    return {
        token.strip().lower()
        for name, text in headers
        if name.lower() == 'connection'
        for token in text.split(',')
    }
