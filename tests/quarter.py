"""Simulated days of SLO samples, with all raw samples for comparison."""

import random
from collections.abc import Callable

from cactusridge.clock import ManualClock
from cactusridge.settings.schema import ObjectiveSettings
from cactusridge.slo.burn import BurnRateReporter
from cactusridge.slo.history import SloHistory
from cactusridge.slo.recorder import SloRecorder
from cactusridge.slo.sample import ResponseSample
from standins.memory_table import MemoryTable
from tests.memory_objects import MemoryObjects

SERVICE = '/teams/t/deployments/d/services/s'
PERIOD_S = 3600
START = 1_000_000_000
OBJECTIVE = ObjectiveSettings()


def avoid_limit(limit: float, seconds: float) -> float:
    """Return ``seconds``, or twice ``limit`` if they are within 2% of it.

    The histogram has an error of 1%, so that a time close to the limit could
    be counted on the wrong side.
    """
    near = abs(seconds - limit) < limit / 50
    return limit * 2 if near else seconds


class Quarter:
    """Two simulated entries that record samples for some days."""

    def __init__(
        self,
        seed: int,
        days: int,
        after_hour: Callable[['Quarter'], object] = bool,
    ) -> None:
        """Simulate ``days`` days; call ``after_hour`` after each hour."""
        rng = random.Random(seed)
        self.clock = ManualClock(START)
        self.objects = MemoryObjects()
        self.table = MemoryTable()
        self.events: list[tuple[float, ResponseSample]] = []
        recorders = [
            SloRecorder(f'e{n}', self.objects, PERIOD_S, self.clock)
            for n in range(2)
        ]
        for _ in range(days * 24):
            for recorder in recorders:
                self.hour(recorder, rng)
            self.clock.advance(PERIOD_S)
            for recorder in recorders:
                recorder.flush()
            after_hour(self)

    def hour(self, recorder: SloRecorder, rng: random.Random) -> None:
        """Record the random samples of one hour at one entry."""
        for _ in range(rng.randrange(6)):
            sample = ResponseSample(
                rng.randrange(10) > 0,
                avoid_limit(OBJECTIVE.first_token_s, rng.expovariate(8)),
                avoid_limit(OBJECTIVE.between_tokens_s, rng.expovariate(60)),
            )
            recorder.record(SERVICE, sample)
            self.events.append((self.clock.wall(), sample))

    def report(self) -> dict:
        """Return the burn report at the current time of the clock."""
        reporter = BurnRateReporter(SloHistory(self.objects, self.table))
        return reporter.report(SERVICE, OBJECTIVE, self.clock.wall())

    def expected_burn(self, length_s: float) -> dict[str, float]:
        """Compute the burn rates of the last ``length_s`` s from samples."""
        # A window includes each period that ends within it.
        since = self.clock.wall() - length_s - PERIOD_S
        samples = [sample for at, sample in self.events if at >= since]
        limits = OBJECTIVE.first_token_s, OBJECTIVE.between_tokens_s
        late = 1 - OBJECTIVE.latency_share
        count = len(samples)
        slow = sum(each.first_s > limits[0] for each in samples)
        spread = sum(each.between_s > limits[1] for each in samples)
        bad = sum(not each.good for each in samples)
        return {
            'availability': bad / count / (1 - OBJECTIVE.availability),
            'first_token': slow / count / late,
            'between_tokens': spread / count / late,
        }
