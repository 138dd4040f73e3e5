"""One upstream together with its admission control and its client."""

from cactusridge.clock import Clock
from cactusridge.orders import ServiceReport
from cactusridge.settings.schema import ServiceSettings
from cactusridge.sidecar.controllers import (
    BatchController,
    FillSlotsController,
    ObjectiveController,
)
from cactusridge.sidecar.gate import AdmissionGate
from cactusridge.sidecar.limits import (
    ConcurrencyLimit,
    FixedLimit,
    ObjectiveLimit,
)
from cactusridge.sidecar.stopwatch import Stopwatch
from cactusridge.sidecar.upstream import Upstream
from cactusridge.startup.models import SidecarSettings, UpstreamSettings

SMOOTHING_FACTOR = 0.05


class ManagedUpstream:
    """The client, the gate and the limits of one upstream."""

    def __init__(
        self,
        cfg: UpstreamSettings,
        host_cfg: SidecarSettings,
        clock: Clock,
    ) -> None:
        """Use the default objective until the service settings arrive."""
        self.cfg = cfg
        self.draining = False
        self.client = Upstream(cfg, host_cfg)
        self._clock = clock
        self._policy = host_cfg.policy
        self.gate = AdmissionGate(
            cfg,
            self._limit(ServiceSettings()),
            self._controller(ServiceSettings()),
            clock,
        )

    def configure(self, settings: ServiceSettings) -> None:
        """Rebuild the limits for the objective in ``settings``."""
        self.gate.controller = self._controller(settings)
        self.gate.online_limit = self._limit(settings)

    def observe(self, watch: Stopwatch, gap_s: float) -> None:
        """Record the ``gap_s`` seconds that a token of a stream took.

        The first gap that ``watch`` measured is the time to first token.
        """
        first_s = watch.first_s
        if first_s is not None and first_s == gap_s:
            running = self.gate.report()['online_running']
            self.gate.online_limit.observe(first_s, running)
            self.gate.controller.observe_first_token(first_s)
            return
        self.gate.controller.observe_token_gap(gap_s)
        smoothed = self.gate.token_s or gap_s
        self.gate.token_s = smoothed + (gap_s - smoothed) * SMOOTHING_FACTOR

    def report(self) -> ServiceReport:
        """Return the current load of the upstream."""
        return self.gate.report()

    def _limit(self, settings: ServiceSettings) -> ConcurrencyLimit:
        if self._policy.limit == 'fixed':
            return FixedLimit(self.cfg.slots)
        return ObjectiveLimit(
            self.cfg.slots,
            settings.objective,
            self._clock,
        )

    def _controller(self, settings: ServiceSettings) -> BatchController:
        if self._policy.batch == 'fill':
            return FillSlotsController(self.cfg.slots)
        return ObjectiveController(
            self.cfg.slots,
            settings.objective,
            settings.batch_share,
            self._clock,
        )
