"""The platform stand-in: table, objects, host list and weights.

A new host list is served only after a lag.
"""

import re
from typing import Any

import gevent

from cactusridge import wire
from cactusridge.errors import CactusridgeError, NotFound
from cactusridge.hashing import hash64
from cactusridge.http.app import App, route
from cactusridge.http.exchange import Reply, Req, json_reply
from standins.close_connection import close_connection
from standins.fault_control import FaultControl
from standins.faults import Fault, FaultKind, Faults, wait_out
from standins.rate import Rate
from standins.table_store import TableStore
from standins.weights import WeightStore

MAX_BODY = 1 << 30
BODY_TIMEOUT_S = 60
NAME_PAGE = 1000
GARBLED = 'standins.garbled'
GARBAGE = b'?'
RANGE = re.compile(r'bytes=(\d+)-(\d*)')


class StandInDown(CactusridgeError):
    """The stand-in was told to be down."""

    status = 503
    code = 'down'


class LimitReached(CactusridgeError):
    """The platform's rate limit was reached."""

    status = 429
    code = 'rate_limited'


class PlatformStandIn:
    """Keeps all data in memory and applies injected faults."""

    def __init__(self, writes_per_s: float, reads_per_s: float) -> None:
        """Limit writes and reads per second, as the platform does."""
        self.table = TableStore()
        self.objects: dict[str, bytes] = {}
        self.hosts: list[dict[str, Any]] = []
        self.host_lag_s = float(1)
        self.faults = Faults()
        self.writes = Rate(writes_per_s)
        self.reads = Rate(reads_per_s)
        self.weights = WeightStore(1)
        self.counts: dict[str, int] = {}
        self.app = App(
            [
                route('POST', '/table/transact', self.transact),
                route('POST', '/table/read', self.read),
                route('POST', '/table/scan', self.scan),
                route('PUT', '/objects/(?P<name>.+)', self.put_object),
                route('GET', '/objects/(?P<name>.+)', self.get_object),
                route('GET', '/object-names', self.object_names),
                *self.weights.routes(),
                route('GET', '/hosts', self.get_hosts),
                route('PUT', '/hosts', self.put_hosts),
                route('GET', '/control/history', self.get_history),
                route('GET', '/control/counts', self.get_counts),
                route('GET', '/control/held/(?P<holder>.+)', self.get_held),
                *FaultControl(self.faults).routes(),
            ],
            MAX_BODY,
            BODY_TIMEOUT_S,
        )

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Serve one request, following the WSGI protocol."""
        blocks = self.app(environ, start_response)
        if environ.get(GARBLED):
            return [GARBAGE * len(block) for block in blocks]
        return blocks

    def transact(self, req: Req) -> Reply:
        """Apply a conditional transaction; 409 with the rows that differ."""
        raw = req.body()
        message = wire.decode(raw)
        fault = self._admit(req, 'transact', raw.decode(), self.writes)
        differing = self.table.differing(message['conditions'])
        if differing:
            return json_reply({'rows': differing}, 409)
        version = self.table.apply(message['writes'])
        self._apply_response_fault(req, fault)
        return json_reply({'version': version})

    def read(self, req: Req) -> Reply:
        """Return the rows at the requested keys."""
        raw = req.body()
        self._admit(req, 'read', raw.decode(), self.reads)
        keys = wire.decode(raw)['keys']
        return json_reply({'rows': [self.table.row(key) for key in keys]})

    def scan(self, req: Req) -> Reply:
        """Return a page of the rows below a prefix."""
        raw = req.body()
        self._admit(req, 'scan', raw.decode(), self.reads)
        message = wire.decode(raw)
        rows = self.table.scan(
            message['prefix'],
            message['after'],
            message['limit'],
        )
        return json_reply({'rows': rows})

    def put_object(self, req: Req, name: str) -> Reply:
        """Store an object."""
        body = req.body()
        fault = self._admit(req, 'put', name, self.writes)
        self.objects[name] = body
        self._apply_response_fault(req, fault)
        return json_reply({})

    def get_object(self, req: Req, name: str) -> Reply:
        """Return an object or a byte range of it; raise NotFound."""
        self._admit(req, 'get', name, self.reads)
        if name not in self.objects:
            raise NotFound(name)
        body = self.objects[name]
        found = RANGE.fullmatch(req.header('Range'))
        if found:
            last = int(found[2]) + 1 if found[2] else len(body)
            body = body[int(found[1]) : last]
        return Reply(200, [('Content-Length', str(len(body)))], [body])

    def object_names(self, req: Req) -> Reply:
        """Return a page of object names, one per line."""
        prefix = req.query('prefix')
        self._admit(req, 'names', prefix, self.reads)
        after = req.query('after')
        found = sorted(
            name
            for name in self.objects
            if name.startswith(prefix) and name > after
        )
        body = '\n'.join(found[:NAME_PAGE]).encode()
        return Reply(200, [('Content-Length', str(len(body)))], [body])

    def get_hosts(self, req: Req) -> Reply:
        """Return the published host list, or 304 if the ETag matches."""
        self._admit(req, 'hosts', '', self.reads)
        raw = wire.encode({'hosts': self.hosts})
        tag = f'"{hash64(raw.decode()):x}"'
        if req.header('If-None-Match') == tag:
            return Reply(304, [('ETag', tag)], [])
        self.counts['hosts sent'] = self.counts.get('hosts sent', 0) + 1
        headers = [('ETag', tag), ('Content-Length', str(len(raw)))]
        return Reply(200, headers, [raw])

    def put_hosts(self, req: Req) -> Reply:
        """Accept a new host list and publish it after the lag."""
        hosts = req.json()['hosts']
        gevent.spawn_later(self.host_lag_s, self._publish, hosts)
        return json_reply({})

    def get_history(self, req: Req) -> Reply:
        """Return all commits since the stand-in started."""
        return json_reply({'history': self.table.history})

    def get_held(self, req: Req, holder: str) -> Reply:
        """Return the number of spans whose lease an entry holds."""
        held = [
            key
            for key, (stored, _) in self.table.rows.items()
            if key.startswith('spans/') and stored['holder'].startswith(holder)
        ]
        return json_reply({'held': len(held)})

    def get_counts(self, req: Req) -> Reply:
        """Return the number of calls of each kind."""
        return json_reply(self.counts)

    def _publish(self, hosts: list[dict[str, Any]]) -> None:
        self.hosts = hosts

    def _admit(
        self,
        req: Req,
        kind: str,
        text: str,
        rate: Rate,
    ) -> Fault | None:
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if not rate.take():
            raise LimitReached
        fault = self.faults.take(f'{kind} {text}')
        wait_out(fault)
        if fault is not None and fault.kind == FaultKind.down:
            raise StandInDown
        req.environ[GARBLED] = (
            fault is not None and fault.kind == FaultKind.garble
        )
        if fault is not None and fault.kind == FaultKind.cut:
            close_connection(req)
            raise StandInDown
        return fault

    def _apply_response_fault(self, req: Req, fault: Fault | None) -> None:
        if fault is not None and fault.kind == FaultKind.lose_answer:
            close_connection(req)
