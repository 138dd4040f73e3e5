"""Losses of a played day by reason; the reasons add up to the whole."""

import unittest

from nose2.tools import params

from bench.decisions.day import Day, Kind, KindOutcome, Line
from bench.decisions.losses import Reason, losses

ONLINE = Kind('stream', batch=False, worth=3, late_worth=0.5, aim_s=0.3)
BATCH = Kind('job', batch=True, worth=20, late_worth=2, aim_s=0.4)
SLOTS = 8


def day_of(*outcomes, unserved=None, prices=None):
    """Return a day with the given outcomes and zero for all totals."""
    return Day(
        worth=0,
        whole=0,
        worst_windows=0,
        broken=False,
        outcomes=list(outcomes),
        unserved=unserved or {},
        prices=prices or {},
        processor_s=0,
        windows=[],
    )


def line(event, at_s=0, **fields):
    """Return a line of a log."""
    return Line(at_s, 'front-1', event, {'event': event, **fields})


def late_request(name, *online):
    """Return the log lines of a request whose first byte was late.

    ``online`` is the load of the replica at each attempt.
    """
    return [
        *(line('request_placed', request=name, online=each) for each in online),
        line('request_answered', request=name, first_byte_s=0.5),
    ]


class TestLosses(unittest.TestCase):
    """Losses in worth for each way in which a request is lost or late."""

    def check(self, day, log, expected):
        """Check the losses in worth, except prices and zero losses."""
        owed = sum(each.owed * each.kind.worth for each in day.outcomes)
        found = {
            reason: round(share * owed, 6)
            for reason, share in losses(day, log, SLOTS).items()
            if round(share, 9) and reason != Reason.prices
        }
        self.assertEqual(expected, found)

    @params(
        ('deadline', Reason.cut),
        ('no connection', Reason.no_connection),
        ('429', Reason.refused),
        ('502', Reason.failed),
    )
    def test_last_try(self, last_try, reason):
        """The reason of an unserved request is the end of its last try."""
        outcome = KindOutcome(ONLINE, 10, 0, 1, 1, 0.8)
        day = day_of(outcome, unserved={last_try: 2})
        self.check(day, [], {reason: 6})

    @params(
        ((10,), Reason.queued),
        ((3,), Reason.slow),
        ((3, 9), Reason.repeated),
    )
    def test_late_online(self, online, reason):
        """The reason of a late request depends on attempts and loads."""
        outcome = KindOutcome(ONLINE, 10, 1, 0, 0, 27.5 / 30)
        self.check(day_of(outcome), late_request('a', *online), {reason: 2.5})

    def test_late_before_an_entry_saw_it(self):
        """A request that is late for its caller only was late on arrival."""
        outcome = KindOutcome(ONLINE, 10, 1, 0, 0, 27.5 / 30)
        self.check(day_of(outcome), [], {Reason.late_first_try: 2.5})

    @params((10, Reason.taken_late), (20, Reason.done_late))
    def test_late_batch(self, took_s, reason):
        """A batch item is late by its result or by its late job."""
        outcome = KindOutcome(BATCH, 10, 1, 0, 0, 0.91)
        log = [
            line('job_accepted', 1, job='j'),
            line('results_listed', 1 + took_s, job='j', items=['a']),
        ]
        self.check(day_of(outcome), log, {reason: 18})

    def test_all_is_explained(self):
        """Unexplained losses have a reason; prices are as reported."""
        outcome = KindOutcome(ONLINE, 10, 0, 0, 0, 0.5)
        day = day_of(outcome, prices={'machines': 0.01, 'memory': 0.02})
        self.check(day, [], {Reason.sizes: 15})
        found = losses(day, [], SLOTS)
        self.assertAlmostEqual(0.03, found[Reason.prices])
        self.assertAlmostEqual(0.53, sum(found.values()))
