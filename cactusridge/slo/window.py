"""Mergeable counts of one service over one period."""

from typing import NamedTuple, NotRequired, TypedDict

from hdrh.histogram import HdrHistogram

MIN_US = 1
MAX_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS = 1_000_000


class EncodedWindow(TypedDict):
    """The stored form of a window.

    ``first`` and ``between`` are histograms in HdrHistogram's text encoding.
    """

    good: int
    bad: int
    first: str
    between: str
    batch: NotRequired[dict[str, list[int]]]


class GoodBadCounts(NamedTuple):
    """Numbers of good and bad events."""

    good: int
    bad: int

    def add(self, other: 'GoodBadCounts') -> 'GoodBadCounts':
        """Return the sums of both counts with those of ``other``."""
        return GoodBadCounts(self.good + other.good, self.bad + other.bad)


NO_COUNTS = GoodBadCounts(0, 0)


class ServiceWindow:
    """Counts of good and bad responses and batch items, and latencies.

    ``first`` and ``between`` are histograms, in microseconds, of the time to
    the first byte and of the time between tokens.

    ``batch`` counts items by objective, ``due_met`` or ``exactly_once``.
    """

    def __init__(self) -> None:
        """Create a window with all counts at zero."""
        self.good = 0
        self.bad = 0
        self.first = new_histogram()
        self.between = new_histogram()
        self.batch: dict[str, GoodBadCounts] = {}

    def add(
        self,
        good: bool,
        first_s: float | None,
        between_s: float | None,
    ) -> None:
        """Count one response with its latencies in seconds, if measured."""
        self.good += int(good)
        self.bad += int(not good)
        if first_s is not None:
            self.first.record_value(to_microseconds(first_s))
        if between_s is not None:
            self.between.record_value(to_microseconds(between_s))

    def count(self, objective: str, items: GoodBadCounts) -> None:
        """Add good and bad batch items to the counts of ``objective``."""
        known = self.batch.get(objective, NO_COUNTS)
        self.batch[objective] = known.add(items)

    def merge(self, other: 'ServiceWindow') -> None:
        """Add the counts of ``other``."""
        self.good += other.good
        self.bad += other.bad
        self.first.add(other.first)
        self.between.add(other.between)
        for objective, items in other.batch.items():
            self.count(objective, items)

    def encode(self) -> EncodedWindow:
        """Return the stored form of the window."""
        return EncodedWindow(
            good=self.good,
            bad=self.bad,
            first=self.first.encode().decode(),
            between=self.between.encode().decode(),
            batch={name: list(items) for name, items in self.batch.items()},
        )

    @classmethod
    def decode(cls, stored: EncodedWindow) -> 'ServiceWindow':
        """Return the window from its stored form."""
        window = cls()
        window.good = stored['good']
        window.bad = stored['bad']
        window.first.decode_and_add(stored['first'].encode())
        window.between.decode_and_add(stored['between'].encode())
        for objective, items in stored.get('batch', {}).items():
            window.count(objective, GoodBadCounts(*items))
        return window


def new_histogram() -> HdrHistogram:
    """Return an empty histogram for one microsecond to one hour."""
    return HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)


def to_microseconds(seconds: float) -> int:
    """Convert seconds to microseconds, clamped to the histogram's range."""
    wanted = int(seconds * MICROSECONDS)
    return max(MIN_US, min(MAX_US, wanted))


def split_at(histogram: HdrHistogram, limit_s: float) -> GoodBadCounts:
    """Return the counts of ``histogram`` up to ``limit_s`` and above it.

    ``limit_s`` is in seconds. A bucket that contains the limit counts as good.
    """
    total = histogram.get_total_count()
    if not total:
        return GoodBadCounts(0, 0)
    limit = to_microseconds(limit_s)
    under = sum(
        recorded.count_added_in_this_iter_step
        for recorded in histogram.get_recorded_iterator()
        if histogram.get_lowest_equivalent_value(
            recorded.value_iterated_to,
        )
        <= limit
    )
    return GoodBadCounts(under, total - under)
