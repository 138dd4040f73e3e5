"""Things served on loopback, and what they answer."""

from typing import Any, NamedTuple

from cactusridge import wire
from cactusridge.errors import BadRequest
from cactusridge.http.client import Address
from cactusridge.http.server import Server

IDLE_S = 60


class Served(NamedTuple):
    """A thing and the server in front of it."""

    subject: Any
    server: Server
    address: Address


class Answer(NamedTuple):
    """Status and JSON (or bytes) of a call."""

    status: int
    body: Any


def serve(subject: Any, app: Any, address: Address) -> Served:
    """Serve ``app`` at ``address``."""
    server = Server(address, app, IDLE_S)
    server.start()
    return Served(subject, server, address)


def prompt_of(raw: bytes) -> str:
    """Return the prompt in a chat completion's body."""
    try:
        parts = wire.decode(raw)['messages']
        return ''.join(part['content'] for part in parts)
    except (BadRequest, KeyError, TypeError):
        # It was no request at all; no upstream can have seen it.
        return raw.decode()
