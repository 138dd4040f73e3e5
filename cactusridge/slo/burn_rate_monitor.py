"""Raises burn rate alerts from the counts of this entry alone."""

from collections import deque
from collections.abc import Callable
from itertools import chain
from types import MappingProxyType
from typing import NamedTuple

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.settings.schema import ObjectiveSettings
from cactusridge.slo.objectives import (
    PERFECT_TARGET,
    Measure,
    alerts,
    measure,
)
from cactusridge.slo.period import DAY_S, HOUR_S
from cactusridge.slo.window import NO_COUNTS, ServiceWindow

BUCKET_S = 300
MIN_SAMPLES = 20
WINDOWS_S = MappingProxyType(
    {'1h': HOUR_S, '6h': 6 * HOUR_S, '3d': 3 * DAY_S},
)
LONGEST_S = max(WINDOWS_S.values())

Measures = dict[str, Measure]
ObjectiveOf = Callable[[str], ObjectiveSettings | None]


class Bucket(NamedTuple):
    """Counts of the ``BUCKET_S`` seconds from ``start`` (Unix seconds)."""

    start: int
    measures: Measures


class BurnRateMonitor:
    """Tracks the burn rates of each service from this entry's counts.

    The load balancer spreads callers over all entries, so each entry sees a
    representative sample. The alerts use no stored data and still work while
    the store is unavailable. The counts start with the process; the report
    over the stored periods is authoritative.
    """

    def __init__(self, objective_of: ObjectiveOf, clock: Clock) -> None:
        """Get the objective of a service from ``objective_of`` by its path."""
        self._objective_of = objective_of
        self._clock = clock
        self._buckets: dict[str, deque[Bucket]] = {}
        self._firing: set[tuple[str, str, str]] = set()

    def add(self, windows: dict[str, ServiceWindow]) -> None:
        """Add the counts of a period by service; log new burn rate alerts."""
        now = int(self._clock.wall())
        for service, window in windows.items():
            objective = self._objective_of(service)
            if objective is not None:
                self._add_to_bucket(service, now, measure(window, objective))
        for service in self._buckets:
            self._update_alerts(service, now)

    def _add_to_bucket(
        self, service: str, now: int, measured: Measures
    ) -> None:
        start = now - now % BUCKET_S
        kept = self._buckets.setdefault(service, deque())
        if kept and kept[-1].start == start:
            newest = kept.pop()
            measured = _sum_of([newest.measures, measured])
        kept.append(Bucket(start, measured))
        while kept[0].start < now - LONGEST_S:
            kept.popleft()

    def _update_alerts(self, service: str, now: int) -> None:
        rates = {
            name: self._rates(service, name, now - length_s)
            for name, length_s in WINDOWS_S.items()
        }
        raised = {
            (service, alert['severity'], alert['objective']): alert
            for alert in alerts(rates)
        }
        for key in raised.keys() - self._firing:
            logs.emit(events.BURN_ALERT, service=service, **raised[key])
        others = {key for key in self._firing if key[0] != service}
        self._firing = others | raised.keys()

    def _rates(self, service: str, name: str, since: float) -> dict[str, float]:
        within = [
            bucket.measures
            for bucket in self._buckets[service]
            if bucket.start + BUCKET_S > since
        ]
        rates = {}
        for kind, measured in _sum_of(within).items():
            rates[kind] = (
                measured.burn() if _has_enough_samples(measured) else float(0)
            )
            labels = {'service': service, 'objective': kind, 'window': name}
            metrics.BURN.set(labels, rates[kind])
        return rates


def _has_enough_samples(measured: Measure) -> bool:
    """Return whether there are enough samples for a burn rate.

    For a target of 100 % a single bad sample is enough.
    """
    total = measured.counted.good + measured.counted.bad
    return total >= MIN_SAMPLES or measured.target >= PERFECT_TARGET


def _sum_of(parts: list[Measures]) -> Measures:
    summed: Measures = {}
    for kind, measured in chain.from_iterable(part.items() for part in parts):
        known = summed.get(kind, Measure(measured.target, NO_COUNTS))
        summed[kind] = measured._replace(
            counted=known.counted.add(measured.counted),
        )
    return summed
