"""Hours are merged once; the report is the same before and after."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from cactusridge.errors import StoreUnavailable
from cactusridge.slo.burn import HOUR_S, QUARTER_DAYS, WINDOWS
from cactusridge.slo.hour_merger import HourMerger, merge_due_hours
from cactusridge.slo.period import hour_of
from standins.faults import FaultKind
from tests.quarter import Quarter

NAMES = ('a', 'b', 'c')
SEALED_S = 2 * HOUR_S


def merger_of(quarter: Quarter, entry: str = 'a', names=('a',)) -> HourMerger:
    """Return the merger of one entry over what was replayed."""
    return HourMerger(
        quarter.objects,
        quarter.table,
        entry,
        lambda: names,
        SEALED_S,
        quarter.clock,
    )


def sealed_hours(quarter: Quarter) -> set[int]:
    """Return the hours to which no period can come any more."""
    oldest = quarter.clock.wall() - SEALED_S
    hours = map(hour_of, quarter.objects.names('slo/'))
    return {hour for hour in hours if hour + HOUR_S < oldest}


def merged_hours(quarter: Quarter) -> set[int]:
    """Return the hours that a row names an object for."""
    rows = quarter.table.store.rows
    return {int(key.rpartition('/')[2]) for key in rows}


class TestHourMerger(unittest.TestCase):
    """Merging changes how much is read, never what is reported."""

    @given(st.integers(0, 1000), st.integers(1, 3))
    @settings(max_examples=6, deadline=None, derandomize=True)
    def test_same_report(self, seed, days):
        """Every count, burn and gap is as before the merging."""
        quarter = Quarter(seed, days)
        before = quarter.report()
        merge_due_hours(merger_of(quarter))
        self.assertEqual(before, quarter.report())
        for name, length_s in WINDOWS:
            wanted = quarter.naive(length_s)
            for kind, rate in wanted.items():
                self.assertAlmostEqual(rate, before['burn'][name][kind])

    def test_whole_quarter(self):
        """92 days of two entries burn as their raw events say."""
        quarter = Quarter(10, QUARTER_DAYS)
        before = quarter.report()
        merge_due_hours(merger_of(quarter))
        self.assertEqual(before, quarter.report())
        self.assertEqual(sealed_hours(quarter), merged_hours(quarter))
        for name, length_s in WINDOWS:
            wanted = quarter.naive(length_s)
            found = {kind: before['burn'][name][kind] for kind in wanted}
            for kind, rate in wanted.items():
                self.assertAlmostEqual(rate, found[kind], msg=kind)
        self.assertEqual([], before['missing'])

    def test_reads_one_object_an_hour(self):
        """What is merged is not read again by period."""
        quarter = Quarter(3, 2)
        merge_due_hours(merger_of(quarter))
        quarter.objects.gets = 0
        quarter.report()
        merged = merged_hours(quarter)
        names = quarter.objects.names('slo/')
        single = [name for name in names if hour_of(name) not in merged]
        wanted = len(merged) + len(single)
        self.assertEqual(wanted, quarter.objects.gets)
        self.assertLess(wanted, len(names) / 2 + len(single))

    def test_two_at_once(self):
        """The second to merge an hour changes nothing."""
        quarter = Quarter(4, 1)
        before = quarter.report()
        first = merger_of(quarter)
        second = merger_of(quarter)
        real_put = quarter.objects.put

        def put_and_race(*args) -> None:
            quarter.objects.put = real_put
            real_put(*args)
            second.step()

        quarter.objects.put = put_and_race
        first.step()
        self.assertEqual(1, len(quarter.table.store.rows))
        self.assertEqual(before, quarter.report())

    @params(FaultKind.lose_answer, FaultKind.cut, FaultKind.down)
    def test_lost_between_object_and_row(self, fault):
        """An hour whose naming failed is merged later, once."""
        quarter = Quarter(5, 1)
        before = quarter.report()
        quarter.table.faults.append(fault)
        merge_due_hours(merger_of(quarter))
        merge_due_hours(merger_of(quarter))
        self.assertEqual(before, quarter.report())
        self.assertEqual(sealed_hours(quarter), merged_hours(quarter))

    def test_outage_while_reading(self):
        """The rest is put off, nothing is left out."""
        quarter = Quarter(6, 1)
        before = quarter.report()
        quarter.objects.failing = 1
        merge_due_hours(merger_of(quarter))
        merge_due_hours(merger_of(quarter))
        self.assertEqual(before, quarter.report())

    def test_missing_periods_stay_named(self):
        """A gap is still named when its hour has been merged."""
        quarter = Quarter(7, 1)
        lost = sorted(quarter.objects.stored)[10]
        quarter.objects.stored.pop(lost)
        before = quarter.report()['missing']
        merge_due_hours(merger_of(quarter))
        self.assertEqual(1, len(before))
        self.assertEqual(before, quarter.report()['missing'])

    def test_entries_share_the_hours(self):
        """Each hour is merged by one entry, and each has its share."""
        done = Counter[str]()

        def merge(quarter: Quarter) -> None:
            for name in NAMES:
                merger = merger_of(quarter, name, NAMES)
                done[name] += len(list(iter(merger.step, None)))

        quarter = Quarter(8, 2, merge)
        self.assertEqual(sealed_hours(quarter), merged_hours(quarter))
        self.assertEqual(set(NAMES), set(+done))
        self.assertEqual(done.total(), len(merged_hours(quarter)))

    def test_entry_that_is_gone(self):
        """The others stand in for it, an hour later each."""

        def merge(quarter: Quarter) -> None:
            for name in NAMES[1:]:
                merge_due_hours(merger_of(quarter, name, NAMES))

        quarter = Quarter(9, 2, merge)
        wanted = sealed_hours(quarter)
        quarter.clock.advance(len(NAMES) * HOUR_S)
        merge(quarter)
        self.assertLessEqual(wanted, merged_hours(quarter))

    def test_open_hours_are_left(self):
        """An hour to which a period may still come is not merged."""
        quarter = Quarter(9, 1)
        merge_due_hours(merger_of(quarter))
        self.assertEqual(sealed_hours(quarter), merged_hours(quarter))


class TestUnavailable(unittest.TestCase):
    """The merging loop survives what the store does."""

    def test_table_down(self):
        """A scan that fails is put off."""
        quarter = Quarter(1, 1)

        def fail(*args) -> None:
            raise StoreUnavailable(retry_after_s=1)

        quarter.table.scan = fail
        merge_due_hours(merger_of(quarter))
        self.assertEqual({}, dict(quarter.table.store.rows))
