"""Which open span is worked on next."""

import abc
from collections import Counter
from collections.abc import Iterable, Sequence

from cactusridge.batch.span import Span
from cactusridge.startup.models import EntryPolicy

# Work left in a job is guessed at this many seconds an item.
ITEM_S = 0.05
# A span with less slack than this, in seconds, goes before all that have
# more, whatever their teams.
URGENT_S = 600


class SpanOrder(abc.ABC):
    """Ranks the spans that could be taken."""

    @abc.abstractmethod
    def rank(
        self,
        spans: Sequence[Span],
        held: Iterable[Span],
        now: float,
    ) -> list[Span]:
        """Return ``spans``, the one to take first in front."""


class FirstCome(SpanOrder):
    """Naive: in the order of acceptance."""

    def rank(
        self,
        spans: Sequence[Span],
        held: Iterable[Span],
        now: float,
    ) -> list[Span]:
        """Return the spans by the time of acceptance."""
        return sorted(spans, key=lambda span: (span.created, span.name))


class LeastSlack(SpanOrder):
    """Least slack first; teams take turns among jobs that are not late.

    Slack is the time to the due time less the work left in the job as
    far as it is seen here, at ``item_s`` seconds an item.
    """

    def __init__(self, item_s: float, urgent_s: float) -> None:
        """Count ``item_s`` an item; slack under ``urgent_s`` goes first."""
        self.item_s = item_s
        self._urgent_s = urgent_s

    def rank(
        self,
        spans: Sequence[Span],
        held: Iterable[Span],
        now: float,
    ) -> list[Span]:
        """Return urgent spans by slack, then the others fairly by team."""
        slack = self.slack(spans, now)
        urgent = [span for span in spans if slack[span.name] < self._urgent_s]
        calm = [span for span in spans if slack[span.name] >= self._urgent_s]
        urgent.sort(key=lambda span: slack[span.name])
        calm.sort(key=lambda span: slack[span.name])
        return urgent + _by_turns(calm, Counter(span.team for span in held))

    def slack(self, spans: Sequence[Span], now: float) -> dict[str, float]:
        """Return the seconds of slack by span."""
        left: Counter[str] = Counter()
        for span in spans:
            left[span.job] += span.items
        return {
            span.name: span.due - now - left[span.job] * self.item_s
            for span in spans
        }


def _by_turns(spans: Sequence[Span], served: Counter[str]) -> list[Span]:
    """Return ``spans`` so that the teams least served come first."""
    counts = Counter(served)
    ranked = []
    for span in spans:
        ranked.append((counts[span.team], len(ranked), span))
        counts[span.team] += 1
    return [span for _, _, span in sorted(ranked, key=lambda each: each[:2])]


def make_order(policy: EntryPolicy) -> SpanOrder:
    """Return the order that the start settings name."""
    if policy.spans == 'first_come':
        return FirstCome()
    return LeastSlack(ITEM_S, URGENT_S)
