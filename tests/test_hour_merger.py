"""Each hour is merged once, and the merge does not change the report."""

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
    """Return the hour merger of ``entry`` over the simulated periods."""
    return HourMerger(
        quarter.objects,
        quarter.table,
        entry,
        lambda: names,
        SEALED_S,
        quarter.clock,
    )


def sealed_hours(quarter: Quarter) -> set[int]:
    """Return the hours for which no more periods can be stored."""
    oldest = quarter.clock.wall() - SEALED_S
    hours = map(hour_of, quarter.objects.names('slo/'))
    return {hour for hour in hours if hour + HOUR_S < oldest}


def merged_hours(quarter: Quarter) -> set[int]:
    """Return the hours that have a row with a merged object."""
    rows = quarter.table.store.rows
    return {int(key.rpartition('/')[2]) for key in rows}


class TestHourMerger(unittest.TestCase):
    """A merge reduces the objects to read and leaves the report as it is."""

    @given(st.integers(0, 1000), st.integers(1, 3))
    @settings(max_examples=6)
    def test_same_report(self, seed, days):
        """All counts, burn rates and gaps are the same after the merge."""
        quarter = Quarter(seed, days)
        before = quarter.report()
        merge_due_hours(merger_of(quarter))
        self.assertEqual(before, quarter.report())
        for name, length_s in WINDOWS:
            expected = quarter.expected_burn(length_s)
            for kind, rate in expected.items():
                self.assertAlmostEqual(rate, before['burn'][name][kind])

    def test_whole_quarter(self):
        """The burn rates of 92 days of two entries match the raw samples."""
        quarter = Quarter(10, QUARTER_DAYS)
        before = quarter.report()
        merge_due_hours(merger_of(quarter))
        self.assertEqual(before, quarter.report())
        self.assertEqual(sealed_hours(quarter), merged_hours(quarter))
        for name, length_s in WINDOWS:
            expected = quarter.expected_burn(length_s)
            actual = {kind: before['burn'][name][kind] for kind in expected}
            for kind, rate in expected.items():
                self.assertAlmostEqual(rate, actual[kind], msg=kind)
        self.assertEqual([], before['missing'])

    def test_reads_one_object_an_hour(self):
        """A report reads one object for each merged hour and no periods."""
        quarter = Quarter(3, 2)
        merge_due_hours(merger_of(quarter))
        quarter.objects.gets = 0
        quarter.report()
        merged = merged_hours(quarter)
        names = quarter.objects.names('slo/')
        single = [name for name in names if hour_of(name) not in merged]
        expected = len(merged) + len(single)
        self.assertEqual(expected, quarter.objects.gets)
        self.assertLess(expected, len(names) / 2 + len(single))

    def test_concurrent_mergers(self):
        """Two mergers of the same hour insert one row and count it once."""
        quarter = Quarter(4, 1)
        before = quarter.report()
        first = merger_of(quarter)
        second = merger_of(quarter)
        real_put = quarter.objects.put

        def put_and_race(*args) -> None:
            quarter.objects.put = real_put
            real_put(*args)
            second.merge_next_due()

        quarter.objects.put = put_and_race
        first.merge_next_due()
        self.assertEqual(1, len(quarter.table.store.rows))
        self.assertEqual(before, quarter.report())

    @params(FaultKind.lose_answer, FaultKind.cut, FaultKind.down)
    def test_failure_between_object_and_row(self, fault):
        """An hour whose row could not be inserted is merged later, once."""
        quarter = Quarter(5, 1)
        before = quarter.report()
        quarter.table.faults.append(fault)
        merge_due_hours(merger_of(quarter))
        merge_due_hours(merger_of(quarter))
        self.assertEqual(before, quarter.report())
        self.assertEqual(sealed_hours(quarter), merged_hours(quarter))

    def test_outage_while_reading(self):
        """After a failed read, the next call merges the remaining hours."""
        quarter = Quarter(6, 1)
        before = quarter.report()
        quarter.objects.failing = 1
        merge_due_hours(merger_of(quarter))
        merge_due_hours(merger_of(quarter))
        self.assertEqual(before, quarter.report())

    def test_missing_periods_stay_listed(self):
        """The report still lists a gap after its hour has been merged."""
        quarter = Quarter(7, 1)
        lost = sorted(quarter.objects.stored)[10]
        quarter.objects.stored.pop(lost)
        before = quarter.report()['missing']
        merge_due_hours(merger_of(quarter))
        self.assertEqual(1, len(before))
        self.assertEqual(before, quarter.report()['missing'])

    def test_entries_share_the_hours(self):
        """Each hour is merged by one entry, and every entry merges some."""
        done = Counter[str]()

        def merge(quarter: Quarter) -> None:
            for name in NAMES:
                merger = merger_of(quarter, name, NAMES)
                done[name] += len(list(iter(merger.merge_next_due, None)))

        quarter = Quarter(8, 2, merge)
        self.assertEqual(sealed_hours(quarter), merged_hours(quarter))
        self.assertEqual(set(NAMES), set(+done))
        self.assertEqual(done.total(), len(merged_hours(quarter)))

    def test_failed_entry(self):
        """The other entries take over its hours, each an hour later."""

        def merge(quarter: Quarter) -> None:
            for name in NAMES[1:]:
                merge_due_hours(merger_of(quarter, name, NAMES))

        quarter = Quarter(9, 2, merge)
        expected = sealed_hours(quarter)
        quarter.clock.advance(len(NAMES) * HOUR_S)
        merge(quarter)
        self.assertLessEqual(expected, merged_hours(quarter))

    def test_open_hours_are_not_merged(self):
        """An hour is not merged while more periods of it can be stored."""
        quarter = Quarter(9, 1)
        merge_due_hours(merger_of(quarter))
        self.assertEqual(sealed_hours(quarter), merged_hours(quarter))


class TestUnavailable(unittest.TestCase):
    """The merge loop handles an unavailable store."""

    def test_table_down(self):
        """A failed scan raises no error and merges nothing."""
        quarter = Quarter(1, 1)

        def fail(*args) -> None:
            raise StoreUnavailable(retry_after_s=1)

        quarter.table.scan = fail
        merge_due_hours(merger_of(quarter))
        self.assertEqual({}, dict(quarter.table.store.rows))
