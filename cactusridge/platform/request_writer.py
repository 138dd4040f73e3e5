"""A request to a replica as bytes: what is passed on and what is ours."""

from cactusridge.dispatch.upstream import HeaderList, UpstreamRequest
from cactusridge.fleet.replica import Replica
from cactusridge.platform import names

REPLACED = names.HOP_BY_HOP | {
    names.REQUEST_ID.lower(),
    names.TIME_LEFT.lower(),
    names.EXPECTED_REPLICA.lower(),
    names.ORGANISATION.lower(),
}


def request_bytes(
    replica: Replica,
    req: UpstreamRequest,
    left_s: float,
) -> bytes:
    """Return ``req`` as it goes over the wire."""
    left_ms = max(1, int(left_s * names.MS))
    headers = [
        (name, text)
        for name, text in req.headers
        if name.lower() not in REPLACED | _connection_only(req.headers)
    ]
    if req.resume_after is not None:
        headers = [
            (name, text)
            for name, text in headers
            if name.lower() != names.LAST_EVENT.lower()
        ]
        headers.append((names.LAST_EVENT, req.resume_after))
    if req.organisation:
        headers.append((names.ORGANISATION, req.organisation))
    headers.extend(
        (
            (names.REQUEST_ID, req.id),
            (names.TIME_LEFT, str(left_ms)),
            (names.EXPECTED_REPLICA, replica.id),
            ('Content-Length', str(len(req.body))),
        ),
    )
    lines = [f'{req.method} {req.target} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers)
    head = '\r\n'.join(lines)
    return b''.join((head.encode('latin-1'), b'\r\n\r\n', req.body))


def _connection_only(headers: HeaderList) -> set[str]:
    """Return the names that a ``Connection`` header lists."""
    return {
        token.strip().lower()
        for name, text in headers
        if name.lower() == 'connection'
        for token in text.split(',')
    }
