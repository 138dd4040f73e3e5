"""The results of a replay."""

from typing import NamedTuple

import numpy as np

MILLISECONDS = 1000


class Answer(NamedTuple):
    """The result of one online request.

    Times are in seconds: ``at`` from the start of the trace, ``first_s`` to
    the first token and ``gaps_s`` between tokens.
    """

    at: float
    first_s: float
    gaps_s: tuple[float, ...]
    outcome: str


class Outcome(NamedTuple):
    """The result of one replay of a trace under one policy."""

    trace: str
    policy: str
    answers: tuple[Answer, ...]
    batch_tokens: int
    generated: int
    attempts: float
    redone: float
    due_met: int
    due_missed: int
    seconds: float
    batch_curve: tuple[tuple[float, int], ...]

    def first_ms(self, percentile: float) -> float:
        """Return a percentile of the time to the first token, in ms."""
        return _percentile([each.first_s for each in self._whole()], percentile)

    def gap_ms(self, percentile: float) -> float:
        """Return a percentile of the time between tokens, in ms."""
        gaps = [gap for answer in self._whole() for gap in answer.gaps_s]
        return _percentile(gaps, percentile)

    def failed(self) -> int:
        """Return the number of requests without a complete response."""
        return len(self.answers) - len(self._whole())

    def batch_per_s(self) -> float:
        """Return the committed batch tokens per second."""
        return self.batch_tokens / self.seconds

    def batch_made_per_s(self) -> float:
        """Return the tokens per second not delivered to online requests."""
        online = sum(len(each.gaps_s) + 1 for each in self._whole())
        return max(0, self.generated - online) / self.seconds

    def generated_per_s(self) -> float:
        """Return all generated tokens per second."""
        return self.generated / self.seconds

    def _whole(self) -> list[Answer]:
        return [each for each in self.answers if each.outcome == 'whole']


def _percentile(seconds: list[float], percentile: float) -> float:
    if not seconds:
        return 0
    return float(np.percentile(seconds, percentile)) * MILLISECONDS
