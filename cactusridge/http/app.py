"""A WSGI application with routes and typed errors."""

import math
import re
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, NamedTuple

from cactusridge import events, logs
from cactusridge.errors import (
    BadRequest,
    CactusridgeError,
    MethodNotAllowed,
    NotFound,
)
from cactusridge.http.exchange import Reply, Req, UnreadableBody, json_reply

# The longest accepted path, in characters.
MAX_PATH = 2048
Handler = Callable[..., Reply]
StartResponse = Callable[..., Any]


class Route(NamedTuple):
    """A method, a pattern of the whole path, and their handler."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler


def route(method: str, pattern: str, handler: Handler) -> Route:
    """Return a route; the method ``*`` matches any method."""
    return Route(method, re.compile(pattern), handler)


def error_reply(exc: CactusridgeError) -> Reply:
    """Return the JSON reply for ``exc``, with Retry-After if it is set."""
    reply = json_reply({'error': exc.body()}, exc.status)
    if exc.retry_after_s is not None:
        seconds = max(1, math.ceil(exc.retry_after_s))
        reply.headers.append(('Retry-After', str(seconds)))
    if isinstance(exc, UnreadableBody):
        reply.headers.append(('Connection', 'close'))
    return reply


class App:
    """Routes requests to handlers and turns errors into replies."""

    def __init__(
        self,
        routes: Iterable[Route],
        max_body: int,
        body_timeout_s: float,
    ) -> None:
        """Serve ``routes``; the first that matches a request handles it.

        A body may have ``max_body`` bytes and take ``body_timeout_s`` to
        be received.
        """
        self.routes = list(routes)
        self.max_body = max_body
        self.body_timeout_s = body_timeout_s

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Serve one request according to WSGI (PEP 3333)."""
        req = Req(environ, self.max_body, self.body_timeout_s)
        reply = self.answer(req)
        try:
            phrase = HTTPStatus(reply.status).phrase
        except ValueError:
            phrase = 'Unknown'
        start_response(f'{reply.status} {phrase}', reply.headers)
        return reply.body

    def answer(self, req: Req) -> Reply:
        """Return the reply to ``req``; turn any exception into a reply."""
        try:
            return self._route(req)
        except CactusridgeError as exc:
            return error_reply(exc)
        except Exception as exc:
            logs.emit(events.INTERNAL_ERROR, error=repr(exc), path=req.path)
            return error_reply(CactusridgeError(repr(exc)))

    def _route(self, req: Req) -> Reply:
        if len(req.path) > MAX_PATH or '..' in req.path.split('/'):
            raise BadRequest('the path is too long or has a ".." segment')
        matches = [
            (found, candidate)
            for candidate in self.routes
            if (found := candidate.pattern.fullmatch(req.path))
        ]
        if not matches:
            raise NotFound(f'there is nothing at {req.path}')
        for found, candidate in matches:
            if candidate.method in {req.method, '*'}:
                return candidate.handler(req, **found.groupdict())
        raise MethodNotAllowed(f'{req.path} does not support {req.method}')
