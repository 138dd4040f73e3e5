"""The refusal of what is no readable HTTP request."""

from http import HTTPStatus

from cactusridge import wire
from cactusridge.errors import BadRequest

HEAD = (
    'HTTP/1.1 {status.value} {status.phrase}\r\n'
    'Connection: close\r\n'
    'Content-Type: application/json\r\n'
    'Content-Length: {size}\r\n'
    '\r\n'
)


class UnreadableRequest(BadRequest):
    """A request line or a header is malformed or too long."""

    code = 'unreadable_request'


def refusal(status: HTTPStatus) -> bytes:
    """Return a whole reply that says so in the form of every error."""
    exc = UnreadableRequest(
        f'not a readable request: {status.phrase.lower()}; a request line'
        ' may have 8,192 bytes, a header 65,536, and there may be 100',
    )
    body = wire.encode({'error': exc.body()})
    return HEAD.format(status=status, size=len(body)).encode() + body
