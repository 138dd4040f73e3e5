"""The report on error budget burn, from the stored periods."""

import itertools
from typing import Any

from cactusridge.errors import BadRequest
from cactusridge.settings.schema import ObjectiveSettings
from cactusridge.slo.history import SloHistory
from cactusridge.slo.objectives import (
    NONE_ALLOWED,
    Measure,
    alerts,
    measure,
)
from cactusridge.slo.period import DAY_S, HOUR_S, Gap, Period, find_gaps
from cactusridge.slo.window import ServiceWindow

QUARTER_DAYS = 92
QUARTER_S = QUARTER_DAYS * DAY_S
QUARTER = 'quarter'
WINDOWS = (
    ('1h', HOUR_S),
    ('6h', 6 * HOUR_S),
    ('3d', 3 * DAY_S),
    (QUARTER, QUARTER_S),
)

Windows = tuple[tuple[str, int], ...]


def windows_up_to(longest: str) -> Windows:
    """Return the windows no longer than the one called ``longest``."""
    names = [name for name, _ in WINDOWS]
    if longest not in names:
        raise BadRequest(
            f'{longest} is none of {", ".join(names)}',
            param='window',
        )
    return WINDOWS[: names.index(longest) + 1]


class BurnReporter:
    """Reads the stored periods of a window and adds them up."""

    def __init__(self, history: SloHistory) -> None:
        """Read from ``history``."""
        self._history = history

    def report(
        self,
        service: str,
        objective: ObjectiveSettings,
        now: float,
        longest: str = QUARTER,
    ) -> dict[str, Any]:
        """Return the report of ``service`` as JSON.

        Covers the windows up to ``longest``; what is left of the
        quarter's budget is known only with the whole quarter.
        """
        windows = windows_up_to(longest)
        periods = list(self._history.periods(now - windows[-1][1]))
        return build_report(service, objective, now, periods, windows)


def build_report(
    service: str,
    objective: ObjectiveSettings,
    now: float,
    periods: list[Period],
    windows: Windows = WINDOWS,
) -> dict[str, Any]:
    """Return burn by window, what is left, and what is missing."""
    counts = {
        name: measure(window, objective)
        for name, window in _counted(periods, service, now, windows).items()
    }
    rates = {
        name: {kind: found.burn() for kind, found in measures.items()}
        for name, measures in counts.items()
    }
    longest = windows[-1][0]
    objectives = {
        kind: _budget(found, kind, rates, _age_s(periods, now))
        for kind, found in counts[longest].items()
    }
    return {
        'service': service,
        'at': now,
        'window': longest,
        'objectives': objectives,
        'burn': rates,
        'alerts': alerts(rates),
        'missing': [gap._asdict() for gap in _gaps(periods, now)],
    }


def _gaps(periods: list[Period], now: float) -> list[Gap]:
    period_s = max((each.period_s for each in periods), default=0)
    return find_gaps(periods, now, period_s)


def _counted(
    periods: list[Period],
    service: str,
    now: float,
    windows: Windows,
) -> dict[str, ServiceWindow]:
    """Return the counts by window; each period is decoded only once.

    A period goes to the shortest window it lies in, and each window is
    then added to the next longer one.
    """
    counted = {name: ServiceWindow() for name, _ in windows}
    for period in periods:
        stored = period.services.get(service)
        if stored is None:
            continue
        fitting = [
            name for name, length_s in windows if period.end >= now - length_s
        ]
        if fitting:
            counted[fitting[0]].merge(ServiceWindow.decode(stored))
    for (shorter, _), (longer, _) in itertools.pairwise(windows):
        counted[longer].merge(counted[shorter])
    return counted


def _age_s(periods: list[Period], now: float) -> float:
    """Return how long ago the first period began."""
    return now - min((period.start for period in periods), default=now)


def _budget(
    found: Measure,
    kind: str,
    rates: dict[str, dict[str, float]],
    age_s: float,
) -> dict[str, Any]:
    """Return the counts of an objective and what is left of its budget."""
    told = {
        'target': found.target,
        'good': found.counted.good,
        'bad': found.counted.bad,
        'budget_left': None,
        'empty_in_s': None,
    }
    if QUARTER not in rates:
        return told
    if found.target >= NONE_ALLOWED:
        return {**told, 'budget_left': float(not found.counted.bad)}
    left = 1 - rates[QUARTER][kind] * age_s / QUARTER_S
    rate = rates['6h'][kind]
    empty_in_s = left * QUARTER_S / rate if rate > 0 else None
    return {**told, 'budget_left': left, 'empty_in_s': empty_in_s}
