"""Measures services against their objectives; computes burn rates."""

from typing import NamedTuple

from cactusridge.settings.schema import ObjectiveSettings
from cactusridge.slo.window import (
    NO_COUNTS,
    GoodBadCounts,
    ServiceWindow,
    split_at,
)

PERFECT_TARGET = 1
# Burn rate reported once an objective with a target of 100 % has been missed,
# as it has no error budget to divide by.
VIOLATED_BURN = 1_000_000


class Measure(NamedTuple):
    """The target share of an objective and its good and bad counts."""

    target: float
    counted: GoodBadCounts

    def burn(self) -> float:
        """Return the burn rate.

        At a rate of 1 the share of bad events is exactly the share that the
        target allows; at a rate of 2 it is twice that share.
        """
        total = self.counted.good + self.counted.bad
        if not total or not self.counted.bad:
            return 0
        if self.target >= PERFECT_TARGET:
            return VIOLATED_BURN
        return self.counted.bad / total / (1 - self.target)


def measure(
    window: ServiceWindow,
    objective: ObjectiveSettings,
) -> dict[str, Measure]:
    """Return the measure of each objective over ``window`` by its name."""
    first = split_at(window.first, objective.first_token_s)
    between = split_at(window.between, objective.between_tokens_s)
    once = window.batch.get('exactly_once', NO_COUNTS)
    return {
        'availability': Measure(
            objective.availability,
            GoodBadCounts(window.good, window.bad),
        ),
        'first_token': Measure(objective.latency_share, first),
        'between_tokens': Measure(objective.latency_share, between),
        'due_met': Measure(
            objective.due_met,
            window.batch.get('due_met', NO_COUNTS),
        ),
        'exactly_once': Measure(PERFECT_TARGET, once),
    }


# The usual thresholds of multi-window burn rate alerts: a page for 2% of a
# quarter's budget within an hour, a ticket for 10% within three days.
PAGE_BURN = 14.4
TICKET_BURN = 6


class AlertRule(NamedTuple):
    """Alerts if the burn rates of both windows are above ``rate``."""

    severity: str
    short: str
    long: str
    rate: float


ALERTS = (
    AlertRule('page', '1h', '6h', PAGE_BURN),
    AlertRule('ticket', '6h', '3d', TICKET_BURN),
)


def alerts(rates: dict[str, dict[str, float]]) -> list[dict[str, object]]:
    """Return the alerts for burn rates by window and objective."""
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
