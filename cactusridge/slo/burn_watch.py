"""Raises alerts from what this entry itself has counted."""

from collections import deque
from collections.abc import Callable
from itertools import chain
from types import MappingProxyType
from typing import NamedTuple

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.settings.schema import ObjectiveSettings
from cactusridge.slo.objectives import (
    NONE_ALLOWED,
    Measure,
    alerts,
    measure,
)
from cactusridge.slo.period import DAY_S, HOUR_S
from cactusridge.slo.window import NOTHING, ServiceWindow

BUCKET_S = 300
MIN_COUNTED = 20
WINDOWS_S = MappingProxyType(
    {'1h': HOUR_S, '6h': 6 * HOUR_S, '3d': 3 * DAY_S},
)
LONGEST_S = max(WINDOWS_S.values())

Measures = dict[str, Measure]
ObjectiveOf = Callable[[str], ObjectiveSettings | None]


class Bucket(NamedTuple):
    """What was counted in the ``BUCKET_S`` seconds from ``start``."""

    start: int
    measures: Measures


class BurnWatch:
    """Watches the burn of each service as this entry sees it.

    The balancer spreads callers over the entries, so each sees a fair
    sample; no entry reads what the others have stored, and an outage of
    the store silences no alert. An entry knows only its own lifetime;
    the report over the stored periods is what counts in the end.
    """

    def __init__(self, objective_of: ObjectiveOf, clock: Clock) -> None:
        """Look objectives up by the path of a service."""
        self._objective_of = objective_of
        self._clock = clock
        self._buckets: dict[str, deque[Bucket]] = {}
        self._firing: set[tuple[str, str, str]] = set()

    def add(self, windows: dict[str, ServiceWindow]) -> None:
        """Take the counts of a period; alert where burn is too fast."""
        now = int(self._clock.wall())
        for service, window in windows.items():
            objective = self._objective_of(service)
            if objective is not None:
                self._take(service, now, measure(window, objective))
        for service in self._buckets:
            self._judge(service, now)

    def _take(self, service: str, now: int, found: Measures) -> None:
        start = now - now % BUCKET_S
        kept = self._buckets.setdefault(service, deque())
        if kept and kept[-1].start == start:
            newest = kept.pop()
            found = _sum_of([newest.measures, found])
        kept.append(Bucket(start, found))
        while kept[0].start < now - LONGEST_S:
            kept.popleft()

    def _judge(self, service: str, now: int) -> None:
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
        for kind, found in _sum_of(within).items():
            rates[kind] = found.burn() if _enough(found) else float(0)
            labels = {'service': service, 'objective': kind, 'window': name}
            metrics.BURN.set(labels, rates[kind])
        return rates


def _enough(found: Measure) -> bool:
    """Tell whether a share of what was counted says anything."""
    total = found.counted.good + found.counted.bad
    return total >= MIN_COUNTED or found.target >= NONE_ALLOWED


def _sum_of(parts: list[Measures]) -> Measures:
    summed: Measures = {}
    for kind, found in chain.from_iterable(part.items() for part in parts):
        known = summed.get(kind, Measure(found.target, NOTHING))
        summed[kind] = found._replace(
            counted=known.counted.plus(found.counted),
        )
    return summed
