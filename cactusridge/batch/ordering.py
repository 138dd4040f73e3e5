"""Orders in which an entry takes open spans."""

import abc
from collections import Counter
from collections.abc import Iterable, Sequence

from cactusridge.batch.span import Span
from cactusridge.startup.models import EntryPolicy

# Assumed run time per item, in seconds, for estimating a job's open work.
ITEM_ESTIMATE_S = 0.05
# Spans with less slack than this, in seconds, come before all other spans,
# regardless of their teams.
URGENT_S = 600


class SpanOrder(abc.ABC):
    """Ranks the open spans that an entry could take."""

    @abc.abstractmethod
    def rank(
        self,
        spans: Sequence[Span],
        held: Iterable[Span],
        now: float,
    ) -> list[Span]:
        """Return ``spans`` in the order in which to take them.

        ``held`` are the spans that this entry holds already; ``now`` is the
        current time in Unix seconds.
        """


class FirstCome(SpanOrder):
    """Naive order: by time of acceptance."""

    def rank(
        self,
        spans: Sequence[Span],
        held: Iterable[Span],
        now: float,
    ) -> list[Span]:
        """Return ``spans`` by time of acceptance."""
        return sorted(spans, key=lambda span: (span.created, span.name))


class LeastSlack(SpanOrder):
    """Least slack first; teams alternate among spans that are not urgent.

    The slack of a span is the time until it is due minus the estimated run
    time of the job's open items, at ``item_s`` seconds per item. Only items
    of the spans passed to the ranking are counted.
    """

    def __init__(self, item_s: float, urgent_s: float) -> None:
        """Estimate ``item_s`` seconds per item.

        Spans with less than ``urgent_s`` seconds of slack come first.
        """
        self.item_s = item_s
        self._urgent_s = urgent_s

    def rank(
        self,
        spans: Sequence[Span],
        held: Iterable[Span],
        now: float,
    ) -> list[Span]:
        """Return urgent spans by slack, then the others alternating by team.

        Spans that this entry holds count as already served to their teams.
        """
        slack = self.slack(spans, now)
        urgent = [span for span in spans if slack[span.name] < self._urgent_s]
        not_urgent = [
            span for span in spans if slack[span.name] >= self._urgent_s
        ]
        urgent.sort(key=lambda span: slack[span.name])
        not_urgent.sort(key=lambda span: slack[span.name])
        return urgent + _fair_by_team(
            not_urgent, Counter(span.team for span in held)
        )

    def slack(self, spans: Sequence[Span], now: float) -> dict[str, float]:
        """Return the slack of each span in seconds, by span name."""
        left: Counter[str] = Counter()
        for span in spans:
            left[span.job] += span.items
        return {
            span.name: span.due - now - left[span.job] * self.item_s
            for span in spans
        }


def _fair_by_team(
    spans: Sequence[Span], held_by_team: Counter[str]
) -> list[Span]:
    """Return ``spans`` so that teams with the fewest spans come first.

    ``held_by_team`` counts the spans that each team has already; a team's
    spans keep their order.
    """
    counts = Counter(held_by_team)
    ranked = []
    for span in spans:
        ranked.append((counts[span.team], len(ranked), span))
        counts[span.team] += 1
    return [span for _, _, span in sorted(ranked, key=lambda each: each[:2])]


def make_order(policy: EntryPolicy) -> SpanOrder:
    """Return the span order that the start settings specify."""
    if policy.spans == 'first_come':
        return FirstCome()
    return LeastSlack(ITEM_ESTIMATE_S, URGENT_S)
