"""Two runs of a stream whose replica falls silent."""

import unittest
from types import SimpleNamespace

from nose2.tools import params

from cactusridge.dispatch.event_splitter import EventSplitter
from cactusridge.dispatch.hedge_race import Polled, Verdict, decide
from cactusridge.dispatch.hedged_stream import HedgedStream
from cactusridge.dispatch.hedged_wait import HANDOVER_S
from cactusridge.dispatch.run import NotRun
from cactusridge.errors import NoReplica, TruncatedReply
from tests.hedged_case import SUCCESS, HedgedCase

WHOLE = b'id: 1\ndata: a\n\n'
PART = b'id: 2\nda'
REST = b'ta: b\n\n'
BROKEN = TruncatedReply('reset')
NOTHING = Polled()
HEAD = Polled(SUCCESS)
BYTES = Polled(WHOLE)
FAILED = Polled(failure=BROKEN)


class TestVerdict(unittest.TestCase):
    """Which of two runs goes on."""

    @params(
        (NOTHING, NOTHING, False, None),
        (NOTHING, NOTHING, True, Verdict.handed_over),
        (NOTHING, HEAD, False, Verdict.accepted),
        (BYTES, NOTHING, False, Verdict.went_on),
        (BYTES, HEAD, True, Verdict.went_on),
        (Polled(b''), HEAD, True, Verdict.went_on),
        (NOTHING, FAILED, True, Verdict.refused),
        (BYTES, FAILED, False, Verdict.refused),
        (FAILED, FAILED, True, Verdict.refused),
        (FAILED, NOTHING, False, Verdict.broken),
        (FAILED, HEAD, False, Verdict.broken),
    )
    def test_run_with_bytes_is_closed(self, first, second, overdue, wanted):
        """The run that has brought part of the stream is preferred."""
        self.assertEqual(wanted, decide(first, second, overdue))


class TestStreams(HedgedCase):
    """Streams whose first run has brought a whole event and a part of one."""

    def stream(self):
        """Return the bytes of all whole events."""
        splitter = EventSplitter()
        stream = HedgedStream(
            self.hedging, self.clock, self.call, self.progress, splitter
        )
        stream.start(self.first)
        events = []
        while received := stream.read():
            events += [event.raw for event in splitter.feed(received)]
        self.assertFalse(splitter.pending)
        self.goes_on = stream.run
        return b''.join(events)

    @params(
        ([(1.5, REST), (1.6, b'')], [(9, SUCCESS)]),
        ([(1.25, REST), (1.26, b'')], [(1.25, SUCCESS)]),
        ([(1.5, REST), (1.6, b'')], [(1.25, NotRun())]),
    )
    def test_partial_event_is_lost_in_the_run_that_is_kept(self, then, second):
        """Its bytes are read on after a second run was tried in vain."""
        self.runs([(0, WHOLE + PART), *then], second)
        if then[0][0] > 1.2 + HANDOVER_S:
            self.attempts.open.side_effect = NoReplica
        self.assertEqual(WHOLE + PART + REST, self.stream())
        self.assertIs(self.first, self.goes_on)

    @params(1.25, 1.5)
    def test_event_is_missing_or_doubled_in_the_second_run(self, at_s):
        """The second run resumes after the last whole event of the first."""
        self.runs(
            [(0, WHOLE + PART), (9, REST)],
            [(at_s, SUCCESS), (at_s, PART + REST), (at_s, b'')],
        )
        self.assertEqual(WHOLE + PART + REST, self.stream())
        self.assertIs(self.second, self.goes_on)
        self.assertEqual(['1'], [req.resume_after for req in self.sent])
        self.assertTrue(self.first.is_closed)
        self.assertEqual(1, self.first.checks)

    def test_silent_run_breaks_beside_the_second(self):
        """The second run goes on, and no other attempt is needed."""
        self.runs(
            [(0, WHOLE + PART), (1.25, BROKEN)],
            [(1.3, SUCCESS), (1.4, PART + REST), (1.5, b'')],
        )
        self.assertEqual(WHOLE + PART + REST, self.stream())
        self.assertEqual(['broken'], self.reasons())
        self.assertEqual(1, len(self.sent))

    def test_both_runs_break(self):
        """The failure of the first run is raised, as without a second."""
        self.runs([(0, WHOLE + PART), (1.205, BROKEN)], [(1.21, NotRun())])
        with self.assertRaises(TruncatedReply):
            self.stream()
        self.assertTrue(self.second.is_closed)

    def test_stream_of_a_version_goes_to_the_same_replica(self):
        """Its silent replica is not sent the stream again."""
        self.runs([(0, WHOLE), (1.5, b'')])
        self.progress.origin = SimpleNamespace(service='s', version='v')
        self.attempts.choose_other.side_effect = NoReplica
        self.stream()
        self.assertFalse(self.attempts.choose_other.call_args.args[3])
