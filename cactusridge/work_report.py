"""Tells in metrics and log what the process has worked on."""

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import gevent

from cactusridge import events, logs, metrics
from cactusridge.work_meter import WorkMeter

# Seconds between two reports: one line of some 800 bytes.
REPORT_S = 5.0
# Decimal places of processor seconds in the log: tenths of a millisecond.
PLACES = 4


class Totals(NamedTuple):
    """What a meter has counted, by part and by step."""

    seconds: Counter[str]
    turns: Counter[str]
    steps: Counter[str]

    def since(self, earlier: 'Totals') -> 'Totals':
        """Return what has come since; what has not grown is left out."""
        return Totals(
            self.seconds - earlier.seconds,
            self.turns - earlier.turns,
            self.steps - earlier.steps,
        )


class WorkReport:
    """Reports what a meter has counted since the last report."""

    def __init__(
        self,
        meter: WorkMeter,
        depths: Callable[[], dict[str, int]],
    ) -> None:
        """Report ``meter`` and the lengths of queues, ``depths``."""
        self._meter = meter
        self._depths = depths
        self._reported = Totals(Counter(), Counter(), Counter())

    def step(self) -> None:
        """Wait until a report is due and make it."""
        gevent.sleep(REPORT_S)
        self.report()

    def report(self) -> None:
        """Add what is new to the metrics and write it to the log."""
        totals = self._totals()
        new = totals.since(self._reported)
        self._reported = totals
        depths = self._depths()
        _add_to_metrics(new, depths)
        rounded = {
            part: round(spent_s, PLACES)
            for part, spent_s in new.seconds.items()
        }
        logs.emit(
            events.WORK_REPORT,
            seconds=rounded,
            turns=new.turns,
            steps=new.steps,
            depths=depths,
        )

    def _totals(self) -> Totals:
        parts = self._meter.parts.items()
        return Totals(
            Counter({name: work.seconds for name, work in parts}),
            Counter({name: work.turns for name, work in parts}),
            Counter(self._meter.steps),
        )


def _add_to_metrics(new: Totals, depths: dict[str, int]) -> None:
    for part, spent_s in new.seconds.items():
        metrics.WORK_SECONDS.add({'part': part}, spent_s)
    for switched_to, turns in new.turns.items():
        metrics.WORK_TURNS.add({'part': switched_to}, turns)
    for step, times in new.steps.items():
        metrics.STEPS.add({'step': step}, times)
    for queue, length in depths.items():
        metrics.DEPTH.set({'queue': queue}, length)
