"""Mergeable counts of one service over one period."""

from typing import NamedTuple, NotRequired, TypedDict

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
MICROSECONDS = 1_000_000


class EncodedWindow(TypedDict):
    """A window as it is stored; the histograms are HdrHistogram text."""

    good: int
    bad: int
    first: str
    between: str
    batch: NotRequired[dict[str, list[int]]]


class Quantity(NamedTuple):
    """Counts on both sides of a limit."""

    good: int
    bad: int

    def plus(self, other: 'Quantity') -> 'Quantity':
        """Return the sum of both."""
        return Quantity(self.good + other.good, self.bad + other.bad)


NOTHING = Quantity(0, 0)


class ServiceWindow:
    """Good and bad answers, their times in microseconds, batch items.

    ``batch`` counts items by objective, ``due_met`` or ``exactly_once``.
    """

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.good = 0
        self.bad = 0
        self.first = new_histogram()
        self.between = new_histogram()
        self.batch: dict[str, Quantity] = {}

    def add(
        self,
        good: bool,
        first_s: float | None,
        between_s: float | None,
    ) -> None:
        """Count one answer."""
        self.good += int(good)
        self.bad += int(not good)
        if first_s is not None:
            self.first.record_value(to_us(first_s))
        if between_s is not None:
            self.between.record_value(to_us(between_s))

    def count(self, objective: str, items: Quantity) -> None:
        """Count batch items against an objective."""
        known = self.batch.get(objective, NOTHING)
        self.batch[objective] = known.plus(items)

    def merge(self, other: 'ServiceWindow') -> None:
        """Add the counts of ``other``."""
        self.good += other.good
        self.bad += other.bad
        self.first.add(other.first)
        self.between.add(other.between)
        for objective, items in other.batch.items():
            self.count(objective, items)

    def encode(self) -> EncodedWindow:
        """Return the window as it is stored."""
        return EncodedWindow(
            good=self.good,
            bad=self.bad,
            first=self.first.encode().decode(),
            between=self.between.encode().decode(),
            batch={name: list(items) for name, items in self.batch.items()},
        )

    @classmethod
    def decode(cls, stored: EncodedWindow) -> 'ServiceWindow':
        """Return the window that was stored."""
        window = cls()
        window.good = stored['good']
        window.bad = stored['bad']
        window.first.decode_and_add(stored['first'].encode())
        window.between.decode_and_add(stored['between'].encode())
        for objective, items in stored.get('batch', {}).items():
            window.count(objective, Quantity(*items))
        return window


def new_histogram() -> HdrHistogram:
    """Return an empty histogram over a microsecond to an hour."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def to_us(seconds: float) -> int:
    """Return whole microseconds within the histogram's bounds."""
    wanted = int(seconds * MICROSECONDS)
    return max(LOWEST_US, min(HIGHEST_US, wanted))


def split_at(histogram: HdrHistogram, limit_s: float) -> Quantity:
    """Return the counts at or under ``limit_s`` and over it."""
    total = histogram.get_total_count()
    if not total:
        return Quantity(0, 0)
    limit = to_us(limit_s)
    under = sum(
        recorded.count_added_in_this_iter_step
        for recorded in histogram.get_recorded_iterator()
        if histogram.get_lowest_equivalent_value(
            recorded.value_iterated_to,
        )
        <= limit
    )
    return Quantity(under, total - under)
