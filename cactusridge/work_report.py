"""Reports the process's work by part in the metrics and the log."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import gevent

from cactusridge import events, logs, metrics
from cactusridge.work_meter import WorkMeter

# Seconds between two reports; each is a log line of some 800 bytes.
REPORT_S = 5.0
# Decimal places of processor seconds in the log, for a resolution of a tenth
# of a millisecond.
PLACES = 4


class Totals(NamedTuple):
    """The totals of a meter by part and by step."""

    seconds: Counter[str]
    turns: Counter[str]
    steps: Counter[str]

    def since(self, earlier: 'Totals') -> 'Totals':
        """Return the increase since ``earlier``, without zero increases."""
        return Totals(
            self.seconds - earlier.seconds,
            self.turns - earlier.turns,
            self.steps - earlier.steps,
        )


class WorkReport:
    """Reports the increase of a meter's totals since the last report."""

    def __init__(
        self,
        meter: WorkMeter,
        depths: Callable[[], dict[str, int]],
    ) -> None:
        """Report ``meter`` and the queue lengths that ``depths`` returns."""
        self._meter = meter
        self._depths = depths
        self._reported = Totals(Counter(), Counter(), Counter())

    def step(self) -> None:
        """Wait until the next report is due and make it."""
        gevent.sleep(REPORT_S)
        self.report()

    def report(self) -> None:
        """Add the increase since the last report to the metrics and log it."""
        totals = self._totals()
        increase = totals.since(self._reported)
        self._reported = totals
        depths = self._depths()
        _add_to_metrics(increase, depths)
        rounded = {
            part: round(spent_s, PLACES)
            for part, spent_s in increase.seconds.items()
        }
        logs.emit(
            events.WORK_REPORT,
            seconds=rounded,
            turns=increase.turns,
            steps=increase.steps,
            depths=depths,
        )

    def _totals(self) -> Totals:
        parts = self._meter.parts.items()
        return Totals(
            Counter({name: work.seconds for name, work in parts}),
            Counter({name: work.turns for name, work in parts}),
            Counter(self._meter.steps),
        )


def _add_to_metrics(increase: Totals, depths: dict[str, int]) -> None:
    for part, spent_s in increase.seconds.items():
        metrics.WORK_SECONDS.add({'part': part}, spent_s)
    for switched_to, turns in increase.turns.items():
        metrics.WORK_TURNS.add({'part': switched_to}, turns)
    for step, times in increase.steps.items():
        metrics.STEPS.add({'step': step}, times)
    for queue, length in depths.items():
        metrics.DEPTH.set({'queue': queue}, length)
