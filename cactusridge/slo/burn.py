"""The report on error budget burn, from the stored periods."""

import itertools
from collections.abc import Iterable
from typing import Any, NamedTuple

from cactusridge import wire
from cactusridge.platform.object_store import ObjectStore
from cactusridge.settings.schema import ObjectiveSettings
from cactusridge.slo.recorder import PREFIX
from cactusridge.slo.window import Quantity, ServiceWindow, split_at

HOUR_S = 3600
DAY_S = 86_400
QUARTER_DAYS = 92
QUARTER_S = QUARTER_DAYS * DAY_S
WINDOWS = (
    ('1h', HOUR_S),
    ('6h', 6 * HOUR_S),
    ('3d', 3 * DAY_S),
    ('quarter', QUARTER_S),
)
# Both windows of a pair have to burn faster than the rate.
ALERTS = (
    ('page', '1h', '6h', 14.4),
    ('ticket', '6h', '3d', 6),
)


class Period(NamedTuple):
    """One stored period of one entry."""

    entry: str
    serial: int
    start: int
    end: int
    last: bool
    services: dict[str, Any]


class Gap(NamedTuple):
    """A stretch of an entry's time that no period covers."""

    entry: str
    after: int
    serial: int


def find_gaps(
    periods: Iterable[Period],
    now: float,
    period_s: float,
) -> list[Gap]:
    """Return what is missing: numbers left out, and ends never told."""
    by_entry: dict[str, list[Period]] = {}
    for period in periods:
        by_entry.setdefault(period.entry, []).append(period)
    gaps = []
    for entry, own in sorted(by_entry.items()):
        own.sort(key=lambda each: each.serial)
        for before, after in itertools.pairwise(own):
            if after.serial != before.serial + 1:
                gaps.append(Gap(entry, before.end, before.serial + 1))
        newest = own[-1]
        # Two periods of grace: one that runs, one on its way.
        if not newest.last and now - newest.end > 2 * period_s:
            gaps.append(Gap(entry, newest.end, newest.serial + 1))
    return gaps


def rate_of(counted: Quantity, target: float) -> float:
    """Return how many times faster than allowed the budget burns."""
    total = counted.good + counted.bad
    allowed = 1 - target
    if not total or not allowed:
        return 0
    return counted.bad / total / allowed


def objective_counts(
    window: ServiceWindow,
    objective: ObjectiveSettings,
) -> dict[str, tuple[float, Quantity]]:
    """Return, for each objective, its target and the counts against it."""
    first = split_at(window.first, objective.first_token_s)
    between = split_at(window.between, objective.between_tokens_s)
    answers = Quantity(window.good, window.bad)
    return {
        'availability': (objective.availability, answers),
        'first_token': (objective.latency_share, first),
        'between_tokens': (objective.latency_share, between),
    }


class BurnReporter:
    """Reads the stored periods of a quarter and adds them up."""

    def __init__(self, objects: ObjectStore) -> None:
        """Read from ``objects``."""
        self._objects = objects

    def report(
        self,
        service: str,
        objective: ObjectiveSettings,
        now: float,
    ) -> dict[str, Any]:
        """Return the report of ``service`` as JSON."""
        periods = list(self._periods(now - QUARTER_S))
        return build_report(service, objective, now, periods)

    def _periods(self, since: float) -> Iterable[Period]:
        after = f'{PREFIX}/{max(0, int(since)):012}'
        while True:
            names = self._objects.names(f'{PREFIX}/', after)
            if not names:
                return
            for name in names:
                yield decode_period(self._objects.get(name))
            after = names[-1]


def decode_period(raw: bytes) -> Period:
    """Return the period in a stored object."""
    message = wire.decode(raw)
    return Period(
        message['entry'],
        message['serial'],
        message['start'],
        message['end'],
        message['last'],
        message['services'],
    )


def build_report(
    service: str,
    objective: ObjectiveSettings,
    now: float,
    periods: list[Period],
) -> dict[str, Any]:
    """Return burn by window, what is left, and what is missing."""
    counts = {
        name: objective_counts(window, objective)
        for name, window in _windows(periods, service, now).items()
    }
    rates = {name: _rates(found) for name, found in counts.items()}
    period_s = max((each.end - each.start for each in periods), default=0)
    gaps = find_gaps(periods, now, period_s)
    return {
        'service': service,
        'at': now,
        'objectives': _budget(counts['quarter'], rates, now, periods),
        'burn': rates,
        'alerts': _alerts(rates),
        'missing': [gap._asdict() for gap in gaps],
    }


def _rates(
    counts: dict[str, tuple[float, Quantity]],
) -> dict[str, float]:
    return {
        kind: rate_of(counted, target)
        for kind, (target, counted) in counts.items()
    }


def _windows(
    periods: list[Period],
    service: str,
    now: float,
) -> dict[str, ServiceWindow]:
    """Return the counts by window; each period is decoded only once.

    A period goes to the shortest window it lies in, and each window is
    then added to the next longer one.
    """
    windows = {name: ServiceWindow() for name, _ in WINDOWS}
    for period in periods:
        stored = period.services.get(service)
        if stored is None:
            continue
        fitting = [
            name for name, length_s in WINDOWS if period.end >= now - length_s
        ]
        if fitting:
            windows[fitting[0]].merge(ServiceWindow.decode(stored))
    for (shorter, _), (longer, _) in itertools.pairwise(WINDOWS):
        windows[longer].merge(windows[shorter])
    return windows


def _budget(
    quarter: dict[str, tuple[float, Quantity]],
    rates: dict[str, dict[str, float]],
    now: float,
    periods: list[Period],
) -> dict[str, Any]:
    began = min((period.start for period in periods), default=now)
    found = {}
    for kind, (target, counted) in quarter.items():
        burnt = rates['quarter'][kind] * (now - began) / QUARTER_S
        left = 1 - burnt
        rate = rates['6h'][kind]
        found[kind] = {
            'target': target,
            'good': counted.good,
            'bad': counted.bad,
            'budget_left': left,
            'empty_in_s': left * QUARTER_S / rate if rate > 0 else None,
        }
    return found


def _alerts(rates: dict[str, dict[str, float]]) -> list[dict[str, Any]]:
    return [
        {'severity': severity, 'objective': kind, 'rate': rates[short][kind]}
        for severity, short, long, limit in ALERTS
        for kind in rates[short]
        if rates[short][kind] > limit and rates[long][kind] > limit
    ]
