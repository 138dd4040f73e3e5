"""What belongs to one upstream: gate, limit, controller, connection."""

from cactusridge.clock import Clock
from cactusridge.orders import ServiceReport
from cactusridge.settings.schema import ServiceSettings
from cactusridge.sidecar.controllers import (
    BatchController,
    FillController,
    ObjectiveController,
)
from cactusridge.sidecar.gate import Gate
from cactusridge.sidecar.limits import (
    ConcurrencyLimit,
    FixedLimit,
    GradientLimit,
)
from cactusridge.sidecar.upstream import Stopwatch, Upstream
from cactusridge.startup.models import SidecarSettings, UpstreamSettings


class Lane:
    """One upstream with its admission."""

    def __init__(
        self,
        cfg: UpstreamSettings,
        host_cfg: SidecarSettings,
        clock: Clock,
    ) -> None:
        """Build the lane with the default objective until settings come."""
        self.cfg = cfg
        self.draining = False
        self.upstream = Upstream(cfg, host_cfg)
        self._clock = clock
        self._policy = host_cfg.policy
        self.gate = Gate(
            cfg,
            self._limit(),
            self._controller(ServiceSettings()),
            clock,
        )

    def configure(self, settings: ServiceSettings) -> None:
        """Follow the objective in ``settings`` from now on."""
        self.gate.controller = self._controller(settings)

    def observe(self, watch: Stopwatch, gap_s: float) -> None:
        """Take the time to a token of online work."""
        first_s = watch.first_s
        if first_s is not None and first_s == gap_s:
            running = self.gate.report()['online_running']
            self.gate.online_limit.observe(first_s, running)
            self.gate.controller.first_token(first_s)
            return
        self.gate.controller.between_tokens(gap_s)

    def report(self) -> ServiceReport:
        """Return the load now."""
        return self.gate.report()

    def _limit(self) -> ConcurrencyLimit:
        if self._policy.limit == 'fixed':
            return FixedLimit(self.cfg.slots)
        return GradientLimit(self.cfg.slots)

    def _controller(self, settings: ServiceSettings) -> BatchController:
        if self._policy.batch == 'fill':
            return FillController(self.cfg.slots)
        return ObjectiveController(
            self.cfg.slots,
            settings.objective,
            settings.batch_share,
            self._clock,
        )
