"""The reply to a request that cannot be parsed as HTTP."""

from http import HTTPStatus

from cactusridge import wire
from cactusridge.errors import BadRequest, CactusridgeError

HEAD = (
    'HTTP/1.1 {status.value} {status.phrase}\r\n'
    'Connection: close\r\n'
    '{more}'
    'Content-Type: application/json\r\n'
    'Content-Length: {size}\r\n'
    '\r\n'
)


class UnreadableRequest(BadRequest):
    """A request line or a header is malformed or too long."""

    code = 'unreadable_request'


def refusal(status: HTTPStatus) -> bytes:
    """Return the bytes of a reply with the JSON body of an error."""
    exc = UnreadableRequest(
        f'the request cannot be parsed: {status.phrase.lower()}; a request'
        ' line is limited to 8,192 bytes, a header to 65,536 bytes, and a'
        ' request to 100 headers',
    )
    return raw_reply(status, exc)


def raw_reply(
    status: HTTPStatus, exc: CactusridgeError, more: str = ''
) -> bytes:
    """Return the bytes of a reply with the body of ``exc``.

    ``more`` are further header lines.
    """
    body = wire.encode({'error': exc.body()})
    head = HEAD.format(status=status, size=len(body), more=more)
    return head.encode() + body
