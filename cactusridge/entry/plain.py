"""Forwards calls to plain HTTP services."""

from urllib.parse import quote

from cactusridge.entry.request_fields import (
    forwarded_headers,
    read_request_fields,
)
from cactusridge.entry.responses import open_response
from cactusridge.http.app import Route, route
from cactusridge.http.exchange import Reply, Req
from cactusridge.settings.catalog import Service
from cactusridge.sidecar_dispatch.dispatch import Buffering, Dispatch
from cactusridge.sidecar_dispatch.entry_components import EntryComponents

REPEATABLE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
PATH_SAFE = "/:@!$&'()*+,;=~-._"


def may_repeat(service: Service, method: str, path: str) -> bool:
    """Return whether a call may be retried.

    The matching route with the longest prefix decides. Without a matching
    route only GET, HEAD and OPTIONS may be retried. PUT and DELETE need a
    route: the HTTP standard defines them as idempotent, but only the
    service can guarantee it.
    """
    matching = [
        each
        for each in service.settings.routes
        if each.method in {'*', method} and path.startswith(each.prefix)
    ]
    if not matching:
        return method in REPEATABLE_METHODS
    return max(matching, key=lambda each: len(each.prefix)).repeatable


class PlainApi:
    """Forwards calls to plain services."""

    def __init__(self, parts: EntryComponents) -> None:
        """Serve with the components ``parts``."""
        self._parts = parts

    def routes(self) -> list[Route]:
        """Return the routes of this interface."""
        return [
            route('*', '/services/(?P<name>[^/]+)(?P<path>/.*)?', self.call),
        ]

    def call(self, req: Req, name: str, path: str | None) -> Reply:
        """Forward one call to its service and return the whole response."""
        caller = self._parts.access.caller(req.header('Authorization'))
        service = self._parts.catalog.plain(name, caller.team)
        fields = read_request_fields(
            req,
            service,
            self._parts.tree,
            caller.team,
            self._parts.clock,
        )
        target = path or '/'
        dispatch = Dispatch(
            service=service,
            team=caller.team,
            work=fields.work,
            method=req.method,
            path=_with_query(target, req),
            headers=forwarded_headers(req),
            body=req.body(),
            deadline_at=fields.deadline_at,
            repeatable=may_repeat(service, req.method, target),
            buffering=Buffering.whole,
            share=fields.share,
        )
        return open_response(self._parts, req, dispatch).as_reply()


def _with_query(path: str, req: Req) -> str:
    query = req.environ.get('QUERY_STRING', '')
    quoted = quote(path.encode('latin-1'), safe=PATH_SAFE)
    return f'{quoted}?{query}' if query else quoted
