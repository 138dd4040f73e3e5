"""Replays several days of responses and records every event."""

import random
from collections.abc import Callable

from cactusridge.clock import ManualClock
from cactusridge.settings.schema import ObjectiveSettings
from cactusridge.slo.burn import BurnReporter
from cactusridge.slo.history import SloHistory
from cactusridge.slo.recorder import SloRecorder
from cactusridge.slo.sample import Sample
from standins.memory_table import MemoryTable
from tests.memory_objects import MemoryObjects

SERVICE = '/teams/t/deployments/d/services/s'
PERIOD_S = 3600
START = 1_000_000_000
OBJECTIVE = ObjectiveSettings()


def clear_of(limit: float, seconds: float) -> float:
    """Keep a time off the limit by more than the histogram's 1%."""
    near = abs(seconds - limit) < limit / 50
    return limit * 2 if near else seconds


class Quarter:
    """Entries that answer for some days, and every event they saw."""

    def __init__(
        self,
        seed: int,
        days: int,
        after_hour: Callable[['Quarter'], object] = bool,
    ) -> None:
        """Replay ``days`` days of two entries; call back each hour."""
        rng = random.Random(seed)
        self.clock = ManualClock(START)
        self.objects = MemoryObjects()
        self.table = MemoryTable()
        self.events: list[tuple[float, Sample]] = []
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
        """Record an hour's events at one entry."""
        for _ in range(rng.randrange(6)):
            sample = Sample(
                rng.randrange(10) > 0,
                clear_of(OBJECTIVE.first_token_s, rng.expovariate(8)),
                clear_of(OBJECTIVE.between_tokens_s, rng.expovariate(60)),
            )
            recorder.record(SERVICE, sample)
            self.events.append((self.clock.wall(), sample))

    def report(self) -> dict:
        """Return the report now."""
        reporter = BurnReporter(SloHistory(self.objects, self.table))
        return reporter.report(SERVICE, OBJECTIVE, self.clock.wall())

    def naive(self, length_s: float) -> dict[str, float]:
        """Return the burn over a window, from the raw events."""
        # A period counts when it ends within the window.
        since = self.clock.wall() - length_s - PERIOD_S
        found = [sample for at, sample in self.events if at >= since]
        limits = OBJECTIVE.first_token_s, OBJECTIVE.between_tokens_s
        late = 1 - OBJECTIVE.latency_share
        count = len(found)
        slow = sum(each.first_s > limits[0] for each in found)
        spread = sum(each.between_s > limits[1] for each in found)
        bad = sum(not each.good for each in found)
        return {
            'availability': bad / count / (1 - OBJECTIVE.availability),
            'first_token': slow / count / late,
            'between_tokens': spread / count / late,
        }
