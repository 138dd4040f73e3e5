"""What is promised of a service, counted; how fast a budget burns."""

from typing import NamedTuple

from cactusridge.settings.schema import ObjectiveSettings
from cactusridge.slo.window import (
    NOTHING,
    Quantity,
    ServiceWindow,
    split_at,
)

NONE_ALLOWED = 1
# Burn of an objective that allows nothing bad, once something was.
VIOLATED = 1_000_000


class Measure(NamedTuple):
    """An objective's target share and the counts against it."""

    target: float
    counted: Quantity

    def burn(self) -> float:
        """Return how many times faster than allowed the budget goes."""
        total = self.counted.good + self.counted.bad
        if not total or not self.counted.bad:
            return 0
        if self.target >= NONE_ALLOWED:
            return VIOLATED
        return self.counted.bad / total / (1 - self.target)


def measure(
    window: ServiceWindow,
    objective: ObjectiveSettings,
) -> dict[str, Measure]:
    """Return the measure of each objective over ``window``."""
    first = split_at(window.first, objective.first_token_s)
    between = split_at(window.between, objective.between_tokens_s)
    once = window.batch.get('exactly_once', NOTHING)
    return {
        'availability': Measure(
            objective.availability,
            Quantity(window.good, window.bad),
        ),
        'first_token': Measure(objective.latency_share, first),
        'between_tokens': Measure(objective.latency_share, between),
        'due_met': Measure(
            objective.due_met,
            window.batch.get('due_met', NOTHING),
        ),
        'exactly_once': Measure(NONE_ALLOWED, once),
    }


# A page: 2% of a quarter's budget within an hour; a ticket: 10% in
# three days. Source: the usual multi-window thresholds.
PAGE_BURN = 14.4
TICKET_BURN = 6


class AlertRule(NamedTuple):
    """Both windows have to burn faster than ``rate``."""

    severity: str
    short: str
    long: str
    rate: float


ALERTS = (
    AlertRule('page', '1h', '6h', PAGE_BURN),
    AlertRule('ticket', '6h', '3d', TICKET_BURN),
)


def alerts(rates: dict[str, dict[str, float]]) -> list[dict[str, object]]:
    """Return the alerts that the burn by window and objective raises."""
    return [
        {
            'severity': rule.severity,
            'objective': kind,
            'rate': rates[rule.short][kind],
        }
        for rule in ALERTS
        if rule.short in rates and rule.long in rates
        for kind in rates[rule.short]
        if min(rates[rule.short][kind], rates[rule.long][kind]) > rule.rate
    ]
