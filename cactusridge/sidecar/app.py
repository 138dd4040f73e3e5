"""The sidecar's HTTP interface to entries."""

import secrets
from collections.abc import Iterator
from http import HTTPStatus

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.errors import (
    CactusridgeError,
    Draining,
    NotFound,
    StaleOrder,
)
from cactusridge.http import frames
from cactusridge.http.app import App, Route, route
from cactusridge.http.exchange import Reply, Req, json_reply
from cactusridge.http.secret import check_secret
from cactusridge.orders import (
    Probe,
    RunOrder,
    SettingsPush,
    SidecarReport,
    TombstoneOrder,
    Verdict,
    WorkClass,
    parse_message,
    parse_order,
)
from cactusridge.settings import schema
from cactusridge.settings.paths import NodeKind
from cactusridge.sidecar.fences import FenceRegister
from cactusridge.sidecar.lane import Lane
from cactusridge.sidecar.ledger import RunLedger
from cactusridge.sidecar.run import Run, end_frame, refusal_frame
from cactusridge.startup.models import SidecarSettings

FRAMES_TYPE = 'application/x-cactusridge-frames'
INCARNATION_BYTES = 8


class Sidecar:
    """All that one sidecar holds; none of it outlives the process."""

    def __init__(self, cfg: SidecarSettings, clock: Clock) -> None:
        """Start with a new incarnation and no memory of an old one."""
        self.cfg = cfg
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.draining = False
        self.settings_version = 0
        self.lanes = {
            upstream.service: Lane(upstream, cfg, clock)
            for upstream in cfg.upstreams
        }
        self.ledger = RunLedger(cfg, clock)
        self.fences = FenceRegister()
        self.app = App(self._routes(), cfg.max_body_bytes, cfg.body_timeout_s)

    def begin_drain(self) -> None:
        """Take no new work from now on."""
        self.draining = True
        for lane in self.lanes.values():
            lane.draining = True

    def tick(self) -> None:
        """Let every gate look again at what it may admit."""
        for lane in self.lanes.values():
            lane.gate.tick()

    def report(self) -> SidecarReport:
        """Return what entries need to know."""
        return SidecarReport(
            incarnation=self.incarnation,
            draining=self.draining,
            settings_version=self.settings_version,
            services={path: lane.report() for path, lane in self.lanes.items()},
        )

    def run(self, req: Req) -> Reply:
        """Answer ``POST /internal/run`` with frames."""
        self._check_secret(req)
        order, body = parse_order(req.body())
        try:
            lane = self._admit(order)
        except CactusridgeError as exc:
            return _frames_reply(self._refusal(exc, order.id))
        run = Run(order, body, lane, self.ledger, self.report)
        return _frames_reply(run.frames(self.cfg.heartbeat_s))

    def probe(self, req: Req) -> Reply:
        """Answer ``POST /internal/probe`` with the report."""
        self._check_secret(req)
        parse_message(Probe, req.body())
        return json_reply(self.report())

    def tombstone(self, req: Req) -> Reply:
        """Answer whether an order ran; keep it from running if not."""
        self._check_secret(req)
        order = parse_message(TombstoneOrder, req.body())
        verdict = Verdict.unknown
        if order.incarnation == self.incarnation:
            verdict = self.ledger.tombstone(order)
        report = self.report()
        report['verdict'] = verdict.value
        return json_reply(report)

    def settings(self, req: Req) -> Reply:
        """Apply pushed settings if they are newer than those in force."""
        self._check_secret(req)
        push = parse_message(SettingsPush, req.body())
        if push.version > self.settings_version:
            self._apply(push)
        return json_reply(self.report())

    def livez(self, req: Req) -> Reply:
        """Answer that the process runs."""
        return json_reply({'status': 'live'})

    def readyz(self, req: Req) -> Reply:
        """Answer whether new work is taken."""
        if self.draining:
            raise Draining
        return json_reply({'status': 'ready'})

    def _admit(self, order: RunOrder) -> Lane:
        """Return the lane for ``order``, noted in the ledger, or refuse."""
        lane = self._lane(order.service)
        if self.draining:
            raise Draining
        if order.incarnation != self.incarnation:
            raise StaleOrder('the order is for another incarnation')
        if order.work == WorkClass.batch:
            self.fences.check(order.fence)
        self.ledger.queue(order.id)
        return lane

    def _refusal(self, exc: CactusridgeError, order_id: str) -> Iterator[bytes]:
        yield frames.encode(refusal_frame(exc))
        yield frames.encode(end_frame(order_id, self.report()))

    def _apply(self, push: SettingsPush) -> None:
        for path, raw in push.services.items():
            lane = self.lanes.get(path)
            if lane is not None:
                lane.configure(schema.validate(NodeKind.service, raw))
        self.settings_version = push.version
        metrics.SETTINGS_VERSION.set({}, push.version)
        logs.emit(events.SETTINGS_APPLIED, version=push.version)

    def _routes(self) -> list[Route]:
        return [
            route('POST', '/internal/run', self.run),
            route('POST', '/internal/probe', self.probe),
            route('POST', '/internal/tombstone', self.tombstone),
            route('POST', '/internal/settings', self.settings),
            route('GET', '/livez', self.livez),
            route('GET', '/readyz', self.readyz),
            route('GET', '/metrics', metrics.serve),
        ]

    def _lane(self, service: str) -> Lane:
        lane = self.lanes.get(service)
        if lane is None:
            raise NotFound(f'no upstream of {service} is on this host')
        return lane

    def _check_secret(self, req: Req) -> None:
        check_secret(req, self.cfg.internal_secret)


def _frames_reply(body: Iterator[bytes]) -> Reply:
    return Reply(HTTPStatus.OK, [('Content-Type', FRAMES_TYPE)], body)
