"""Applications served on the loopback address, and their replies."""

from typing import Any, NamedTuple

from cactusridge import wire
from cactusridge.errors import BadRequest
from cactusridge.http.client import Address
from cactusridge.http.server import Server

IDLE_S = 60


class Served(NamedTuple):
    """The subject of a test and the server that serves it."""

    subject: Any
    server: Server
    address: Address


class Answer(NamedTuple):
    """The status of a reply and its decoded JSON, or its bytes."""

    status: int
    body: Any


def serve(subject: Any, app: Any, address: Address) -> Served:
    """Start a server of ``app`` at ``address``."""
    server = Server(address, app, IDLE_S)
    server.start()
    return Served(subject, server, address)


def prompt_of(raw: bytes) -> str:
    """Return the prompt in a chat completion's body."""
    try:
        parts = wire.decode(raw)['messages']
        return ''.join(part['content'] for part in parts)
    except (BadRequest, KeyError, TypeError):
        # The body is not a chat request, so no upstream has received it.
        return raw.decode()
