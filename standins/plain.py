"""The plain-service stand-in: echoes, counts, may lose answers."""

from typing import Any

import gevent

from cactusridge.http.app import App, route
from cactusridge.http.exchange import Reply, Req, json_reply
from standins.fault_control import FaultControl
from standins.faults import FaultKind, Faults, wait_out
from standins.severing import sever

MAX_BODY = 1 << 26
BODY_TIMEOUT_S = 60


class PlainStandIn:
    """Answers every call with what it got; keeps each in a list."""

    def __init__(self) -> None:
        """Start with no call."""
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
        """Serve one request, as WSGI has it."""
        return self.app(environ, start_response)

    def echo(self, req: Req) -> Reply:
        """Answer with the method, path, headers and body that came."""
        body = req.body().decode(errors='replace')
        fault = self.faults.take(f'{req.method} {req.path}')
        if fault is not None and fault.kind == FaultKind.cut:
            sever(req)
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
            sever(req)
        reply = json_reply(call)
        reply.headers.append(('X-Plain', 'stand-in'))
        return reply

    def get_calls(self, req: Req) -> Reply:
        """Return every call that was carried out."""
        gevent.sleep(0)
        return json_reply({'calls': self.calls})
