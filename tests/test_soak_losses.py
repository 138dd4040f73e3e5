"""The soak's check of lost requests, on made-up records.

Each rule of the users about requests that planned work may not lose, and each
exclusion from it, has a case on both sides of its bound.
"""

import unittest

from nose2.tools import params

from soak.checks import check_at_end
from soak.loss_checks import LAST_SIXTH_S, LOSS_SLACK_S
from soak.planned_work import CONFIGURATION, RELOAD, STOP, PlannedWork
from soak.record import Call, CallEnd, Disturbance, Record, RunEnd, RunStart

LOST = ['planned work cuts nothing']
FAILED = ['silence is no failure']
# When the planned work begins, in seconds.
AT = 100.0
SIGNED = {'X-Response-Signature': 'sig.i-0'}


class TestLosses(unittest.TestCase):
    """Lost requests are found, and no others."""

    def setUp(self):
        """Record nothing yet."""
        self.record = Record()

    @params(
        (CallEnd.cut, 0.1, True, LOST),
        (CallEnd.closed, 0.1, True, LOST),
        (CallEnd.silent, 8, True, LOST),
        (CallEnd.closed, LOSS_SLACK_S - 0.1, False, []),
        (CallEnd.closed, LOSS_SLACK_S + 0.1, False, LOST),
        (CallEnd.silent, 8, False, LOST),
        (CallEnd.whole, 1, True, []),
        (CallEnd.caller_closed, 1, True, []),
        (CallEnd.unreached, 1, False, []),
    )
    def test_ends(self, end, took_s, ran, broken):
        """A request is lost once a replica has it, or after the slack."""
        self.note_work(STOP)
        self.note_call(1, took_s, end, ran)
        self.check(broken)

    @params(
        (STOP, 'entry-0', 0, 9 - 0.1, 1),
        (STOP, 'entry-0', 0, 9 + 0.1, 0),
        (STOP, 'entry-1', 0, 4, 0),
        (STOP, 'entry-0', -2, -0.1, 0),
        (STOP, 'entry-0', -2, 0.1, 1),
        (RELOAD, 'entry-0', 2 - 0.1, 4, 1),
        (RELOAD, 'entry-0', 2 + 0.1, 4, 0),
        (RELOAD, 'entry-0', -2, -0.1, 0),
        (RELOAD, 'entry-0', -2, 0.1, 1),
        (RELOAD, 'entry-1', 0, 4, 0),
        (CONFIGURATION, '', 1, 0.5 + 3 - 0.1, 1),
        (CONFIGURATION, '', 1, 0.5 + 3 + 0.1, 0),
        (CONFIGURATION, '', -1, -0.1, 0),
        (CONFIGURATION, '', -1, 0.1, 1),
    )
    def test_windows(self, what, entry, sent_s, ended_s, count):
        """A request belongs to the planned work in whose window it ends."""
        work = PlannedWork(what, entry, AT, AT + 0.5)
        self.record.planned_works.add(work)
        found = self.record.planned_works.around(
            'entry-0', AT + sent_s, AT + ended_s
        )
        self.assertEqual([work] * count, found)

    def test_without_work(self):
        """A request is lost at any time if no fault has disturbed the fleet."""
        self.note_call(1, 1, CallEnd.cut, ran=True)
        self.check(LOST)

    @params(
        (STOP, -0.1, LOST),
        (STOP, 0.1, []),
        (None, -3.1, LOST),
        (None, -2.9, []),
    )
    def test_disturbed(self, what, ended_s, broken):
        """A loss in or shortly after an unplanned fault is not counted.

        The recorded end of a fault includes the time to reconnect.
        """
        if what:
            self.note_work(what)
        self.note_call(1, 1, CallEnd.cut, ran=True)
        until = AT + 1 + ended_s
        self.record.disturbances += [
            Disturbance(AT - 9, until, 'Kill entry-0', planned=False),
            Disturbance(AT - 9, AT + 9, 'Silent i-0', planned=True),
        ]
        self.check(broken)

    @params((True, []), (False, LOST))
    def test_broken_off(self, broken_off, broken):
        """A replica that breaks off is not the entry's loss."""
        self.note_work(STOP)
        self.note_call(1, 1, CallEnd.cut, ran=True)
        self.note_run_end(1.9, broken_off)
        self.check(broken)

    def test_other_broke_off(self):
        """A replica that broke off before the last one excuses nothing."""
        self.note_work(STOP)
        self.note_call(1, 1, CallEnd.cut, ran=True)
        self.note_run_end(1.2, broken_off=True)
        self.record.run_starts.append(
            RunStart('r', '/again/x', 'next', AT + 1.3)
        )
        self.check(LOST)

    @params(
        (5.1, 8, CallEnd.cut, []),
        (4.9, 8, CallEnd.cut, LOST),
        (3.6, 3.5, CallEnd.cut, []),
        (3.4, 3.5, CallEnd.cut, LOST),
        (5.1, 8, CallEnd.closed, []),
        (4.9, 8, CallEnd.closed, LOST),
        (8, 8, CallEnd.silent, LOST),
    )
    def test_out_of_time(self, took_s, timeout_s, end, broken):
        """A deadline or time-out that is reached ends a request.

        A request that gets no answer at all is owed one then.
        """
        self.record.planned_works.add(
            PlannedWork(CONFIGURATION, '', AT, AT, timeout_s)
        )
        self.note_call(1, took_s, end, ran=True)
        self.check(broken)

    @params((3.6, 2.9, []), (3.6, 3.1, LOST))
    def test_replaced_timeout(self, took_s, replaced_s, broken):
        """A former time-out is in force until the next one has to apply."""
        for at, timeout_s in ((AT, 3.5), (AT + 10, 8)):
            work = PlannedWork(CONFIGURATION, '', at, at, timeout_s)
            self.record.planned_works.add(work)
        self.note_call(10 + replaced_s, took_s, CallEnd.cut, ran=True)
        self.check(broken)

    @params(
        (2.9, LAST_SIXTH_S + 0.1, []),
        (2.9, LAST_SIXTH_S - 0.1, LOST),
        (3.1, LAST_SIXTH_S + 0.1, LOST),
    )
    def test_last_sixth(self, sent_s, ended_s, broken):
        """A replica at work in the last sixth of the grace is given up.

        This holds for requests sent no later than 3 s after SIGTERM.
        """
        self.note_work(STOP)
        self.note_call(sent_s, ended_s - sent_s, CallEnd.cut, ran=True)
        self.check(broken)

    @params((0.1, []), (-0.1, LOST))
    def test_run_ended_before(self, after_s, broken):
        """An answer that its replica has ended in time has to be passed on."""
        self.note_work(STOP)
        self.note_call(2.9, 7 - 2.9, CallEnd.cut, ran=True)
        self.note_run_end(LAST_SIXTH_S + after_s, broken_off=False)
        self.check(broken)

    @params(
        (502, {}, 1, False, FAILED),
        (504, {}, 1, False, FAILED),
        (502, SIGNED, 1, False, []),
        (503, {'Retry-After': '1'}, 1, False, []),
        (504, {}, 4.9, False, FAILED),
        (504, {}, 5.1, False, []),
        (502, {}, 1, True, []),
    )
    def test_failures(self, status, headers, took_s, disturbed, broken):
        """A silent replica is no reason for a failure of an entry's own."""
        self.note_work(STOP)
        self.record.disturbances += [
            Disturbance(AT, AT + 9, 'Silent i-0', planned=True),
            Disturbance(AT, AT + 9, 'Crash i-0', planned=not disturbed),
        ]
        call = self.call(1, took_s, CallEnd.whole)
        self.record.calls.append(call._replace(status=status, headers=headers))
        self.check(broken)

    def note_work(self, what):
        """Record planned work at the entry of the request."""
        self.record.planned_works.add(PlannedWork(what, 'entry-0', AT, AT))

    def note_call(self, sent_s, took_s, end, ran):
        """Record the request, and its start at a replica if it ``ran``."""
        self.record.calls.append(self.call(sent_s, took_s, end))
        if ran:
            start = RunStart('r', '/again/x', 'life', AT + sent_s)
            self.record.run_starts.append(start)

    def note_run_end(self, ended_s, broken_off):
        """Record the end of the run of the request."""
        end = RunEnd(AT + ended_s, broken_off)
        self.record.run_ends['r', 'life'] = end

    def call(self, sent_s, took_s, end):
        """Return the request, sent some time after the planned work."""
        sent_at = AT + sent_s
        return Call('r', 'again', 'entry-0', sent_at, sent_at + took_s, end)

    def check(self, broken):
        """Check the promises that the record shows to be broken."""
        check_at_end(self.record)
        self.assertEqual(
            broken, [each.promise for each in self.record.violations]
        )
