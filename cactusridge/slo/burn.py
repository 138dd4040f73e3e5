"""Reports error budget burn from the stored periods."""

import itertools
from typing import Any

from cactusridge.errors import BadRequest
from cactusridge.settings.schema import ObjectiveSettings
from cactusridge.slo.history import SloHistory
from cactusridge.slo.objectives import (
    PERFECT_TARGET,
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
    """Return the windows no longer than the one named ``longest``.

    Raises BadRequest if no window has that name.
    """
    names = [name for name, _ in WINDOWS]
    if longest not in names:
        raise BadRequest(
            f'window {longest} is not one of {", ".join(names)}',
            param='window',
        )
    return WINDOWS[: names.index(longest) + 1]


class BurnRateReporter:
    """Reads the stored periods and builds burn reports from them."""

    def __init__(self, history: SloHistory) -> None:
        """Read the periods from ``history``."""
        self._history = history

    def report(
        self,
        service: str,
        objective: ObjectiveSettings,
        now: float,
        longest: str = QUARTER,
    ) -> dict[str, Any]:
        """Return the report of ``service`` at ``now`` as JSON data.

        ``now`` is in Unix seconds. The report covers the windows up to the
        one named ``longest``. Only a report that includes the quarter states
        the remaining budget. Raises BadRequest for an unknown window.
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
    """Return burn rates by window, remaining budgets, alerts and gaps."""
    counts = {
        name: measure(window, objective)
        for name, window in _windows_by_name(
            periods, service, now, windows
        ).items()
    }
    rates = {
        name: {kind: measured.burn() for kind, measured in measures.items()}
        for name, measures in counts.items()
    }
    longest = windows[-1][0]
    objectives = {
        kind: _budget_report(measured, kind, rates, _age_s(periods, now))
        for kind, measured in counts[longest].items()
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


def _windows_by_name(
    periods: list[Period],
    service: str,
    now: float,
    windows: Windows,
) -> dict[str, ServiceWindow]:
    """Return the counts of ``service`` by the name of the window.

    Each period is decoded only once: its counts go to the shortest window
    that includes its end, and each window is then added to the next longer
    one.
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
    """Return the seconds since the start of the first period."""
    return now - min((period.start for period in periods), default=now)


def _budget_report(
    measured: Measure,
    kind: str,
    rates: dict[str, dict[str, float]],
    age_s: float,
) -> dict[str, Any]:
    """Return the counts of an objective and its remaining error budget.

    ``budget_left`` is a share of the quarter's budget. ``empty_in_s`` is the
    number of seconds until it is used up at the burn rate of the last 6 h.
    """
    budget = {
        'target': measured.target,
        'good': measured.counted.good,
        'bad': measured.counted.bad,
        'budget_left': None,
        'empty_in_s': None,
    }
    if QUARTER not in rates:
        return budget
    if measured.target >= PERFECT_TARGET:
        return {**budget, 'budget_left': float(not measured.counted.bad)}
    left = 1 - rates[QUARTER][kind] * age_s / QUARTER_S
    rate = rates['6h'][kind]
    empty_in_s = left * QUARTER_S / rate if rate > 0 else None
    return {**budget, 'budget_left': left, 'empty_in_s': empty_in_s}
