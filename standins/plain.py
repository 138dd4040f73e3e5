"""The stand-in of a plain service: it echoes and records calls."""

from typing import Any

import gevent

from cactusridge.http.app import App, route
from cactusridge.http.exchange import Reply, Req, json_reply
from standins.close_connection import close_connection
from standins.fault_control import FaultControl
from standins.faults import FaultKind, Faults, wait_out

MAX_BODY = 1 << 26
BODY_TIMEOUT_S = 60


class PlainStandIn:
    """Returns each request to its sender and records it."""

    def __init__(self) -> None:
        """Create a service without recorded calls."""
        self.calls: list[dict[str, Any]] = []
        self.faults = Faults()
        self.app = App(
            [
                route('GET', '/control/calls', self.get_calls),
                route('*', '/.*', self.echo),
                *FaultControl(self.faults).routes(),
            ],
            MAX_BODY,
            BODY_TIMEOUT_S,
        )

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Serve one request, following the WSGI protocol."""
        return self.app(environ, start_response)

    def echo(self, req: Req) -> Reply:
        """Return the received method, path, query, headers and body."""
        body = req.body().decode(errors='replace')
        fault = self.faults.take(f'{req.method} {req.path}')
        if fault is not None and fault.kind == FaultKind.cut:
            close_connection(req)
            return json_reply({})
        call = {
            'method': req.method,
            'path': req.path,
            'query': req.environ.get('QUERY_STRING', ''),
            'body': body,
            'headers': dict(req.headers()),
        }
        self.calls.append(call)
        wait_out(fault)
        if fault is not None and fault.kind == FaultKind.lose_answer:
            close_connection(req)
        reply = json_reply(call)
        reply.headers.append(('X-Plain', 'stand-in'))
        return reply

    def get_calls(self, req: Req) -> Reply:
        """Return the recorded calls."""
        gevent.sleep(0)
        return json_reply({'calls': self.calls})
