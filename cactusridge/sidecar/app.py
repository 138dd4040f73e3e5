"""The HTTP interface that a sidecar offers to entries."""

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
from cactusridge.sidecar.fencing import FencingRegister
from cactusridge.sidecar.managed_upstream import ManagedUpstream
from cactusridge.sidecar.order_ledger import OrderLedger
from cactusridge.sidecar.run import Run, end_frame, refusal_frame
from cactusridge.startup.models import SidecarSettings

FRAMES_TYPE = 'application/x-cactusridge-frames'
INCARNATION_BYTES = 8


class Sidecar:
    """The state and the HTTP handlers of one sidecar process.

    All state is in memory and is lost when the process ends.
    """

    def __init__(self, cfg: SidecarSettings, clock: Clock) -> None:
        """Create a new incarnation id and empty state for ``cfg.upstreams``."""
        self.cfg = cfg
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.draining = False
        self.settings_version = 0
        self.upstreams = {
            upstream.service: ManagedUpstream(upstream, cfg, clock)
            for upstream in cfg.upstreams
        }
        self.ledger = OrderLedger(cfg, clock)
        self.fences = FencingRegister()
        self.app = App(self._routes(), cfg.max_body_bytes, cfg.body_timeout_s)

    def begin_drain(self) -> None:
        """Refuse new orders from now on; running orders continue."""
        self.draining = True
        for upstream in self.upstreams.values():
            upstream.draining = True

    def admit_waiting(self) -> None:
        """Let every gate admit the waiting orders that its limits now allow."""
        for upstream in self.upstreams.values():
            upstream.gate.admit_waiting()

    def report(self) -> SidecarReport:
        """Return the load and state of this sidecar, as sent to entries."""
        return SidecarReport(
            incarnation=self.incarnation,
            draining=self.draining,
            settings_version=self.settings_version,
            services={
                path: upstream.report()
                for path, upstream in self.upstreams.items()
            },
        )

    def run(self, req: Req) -> Reply:
        """Handle ``POST /internal/run``: run an order, stream its frames."""
        self._check_secret(req)
        order, body = parse_order(req.body())
        try:
            upstream = self._admit(order)
        except CactusridgeError as exc:
            return _frames_reply(self._refusal(exc, order.id))
        run = Run(order, body, upstream, self.ledger, self.report)
        return _frames_reply(run.frames(self.cfg.heartbeat_s))

    def probe(self, req: Req) -> Reply:
        """Handle ``POST /internal/probe``: return the report."""
        self._check_secret(req)
        parse_message(Probe, req.body())
        return json_reply(self.report())

    def tombstone(self, req: Req) -> Reply:
        """Handle ``POST /internal/tombstone``.

        Returns the report with a verdict on whether the order has run. An
        order that has not run is blocked from running later. An order for
        another incarnation gets the verdict ``unknown``.
        """
        self._check_secret(req)
        order = parse_message(TombstoneOrder, req.body())
        verdict = Verdict.unknown
        if order.incarnation == self.incarnation:
            verdict = self.ledger.tombstone(order)
        report = self.report()
        report['verdict'] = verdict.value
        return json_reply(report)

    def settings(self, req: Req) -> Reply:
        """Handle ``POST /internal/settings``: apply settings if newer."""
        self._check_secret(req)
        push = parse_message(SettingsPush, req.body())
        if push.version > self.settings_version:
            self._apply(push)
        return json_reply(self.report())

    def livez(self, req: Req) -> Reply:
        """Handle ``GET /livez``: always reply 200."""
        return json_reply({'status': 'live'})

    def readyz(self, req: Req) -> Reply:
        """Handle ``GET /readyz``; raise Draining while the sidecar drains."""
        if self.draining:
            raise Draining
        return json_reply({'status': 'ready'})

    def _admit(self, order: RunOrder) -> ManagedUpstream:
        """Record ``order`` in the ledger and return its upstream.

        Raises NotFound for an unknown service, Draining, StaleOrder for
        another incarnation, an outdated fencing number or a repeated id,
        and Tombstoned.
        """
        upstream = self._upstream_of(order.service)
        if self.draining:
            raise Draining
        if order.incarnation != self.incarnation:
            raise StaleOrder('the order is for another incarnation')
        if order.work == WorkClass.batch:
            self.fences.check(order.fence)
        self.ledger.queue(order.id)
        return upstream

    def _refusal(self, exc: CactusridgeError, order_id: str) -> Iterator[bytes]:
        """Yield the frames of a refusal, which always include the report."""
        yield frames.encode(refusal_frame(exc))
        yield frames.encode(end_frame(order_id, self.report()))

    def _apply(self, push: SettingsPush) -> None:
        for path, raw in push.services.items():
            upstream = self.upstreams.get(path)
            if upstream is not None:
                upstream.configure(schema.validate(NodeKind.service, raw))
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

    def _upstream_of(self, service: str) -> ManagedUpstream:
        upstream = self.upstreams.get(service)
        if upstream is None:
            raise NotFound(f'this host has no upstream of service {service}')
        return upstream

    def _check_secret(self, req: Req) -> None:
        check_secret(req, self.cfg.internal_secret)


def _frames_reply(body: Iterator[bytes]) -> Reply:
    return Reply(HTTPStatus.OK, [('Content-Type', FRAMES_TYPE)], body)
