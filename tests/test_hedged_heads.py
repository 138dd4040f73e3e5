"""Two runs of a request whose replica is silent before the head."""

from nose2.tools import params

from cactusridge.dispatch.hedged_wait import HANDOVER_S
from cactusridge.dispatch.run import NotRun
from cactusridge.dispatch.upstream import ConnectFailed, UpstreamSilent
from cactusridge.errors import (
    CallerDisconnected,
    NoReplica,
    OutcomeUnknown,
    Quarantined,
    StopLimit,
)
from tests.hedged_case import (
    DEADLINE_S,
    FAILURE,
    SUCCESS,
    HedgedCase,
    replica,
)


class TestHeads(HedgedCase):
    """Requests whose answer has not begun."""

    @params(
        ('choose_other', NoReplica()),
        ('check', Quarantined()),
        ('open', ConnectFailed()),
        ('open', OutcomeUnknown()),
    )
    def test_silent_run_is_closed_without_another(self, step, error):
        """The first run answers late."""
        self.runs([(1.4, SUCCESS)])
        getattr(self.attempts, step).side_effect = error
        self.assertEqual((self.first, SUCCESS), self.head())
        self.assertFalse(self.first.is_closed)
        self.assertEqual(0, self.first.checks)
        self.assertEqual(1, self.first.failures)

    @params((NotRun(),), (OutcomeUnknown(),), (FAILURE,))
    def test_silent_run_is_closed_for_one_that_fails(self, answer):
        """A refusal of the second replica does not end the first run."""
        self.runs([(1.4, SUCCESS)], [(0.35, answer)])
        self.assertEqual((self.first, SUCCESS), self.head())
        self.assertTrue(self.second.is_closed)
        is_refusal = isinstance(answer, NotRun)
        self.assertEqual(2 - is_refusal, self.progress.may_have_run)
        self.assertEqual(int(is_refusal), self.progress.rejections)

    @params(
        ([(1.4, SUCCESS)], [(0.35, StopLimit())]),
        ([(0.35, StopLimit())], [(0.9, SUCCESS)]),
    )
    def test_stop_limit_is_taken_for_a_failure_of_a_replica(self, *steps):
        """The request is answered before the process ends."""
        self.runs(*steps)
        with self.assertRaises(StopLimit):
            self.head()
        self.assertTrue(self.first.is_closed)
        self.assertTrue(self.second.is_closed)

    def test_stop_limit_while_a_second_run_is_sent(self):
        """The request is answered before the process ends."""
        self.runs([(1.4, SUCCESS)])
        self.attempts.open.side_effect = StopLimit
        with self.assertRaises(StopLimit):
            self.head()

    def test_two_replicas_work_on_a_request_for_long(self):
        """The second run goes on alone though it has no head yet."""
        self.runs([(1.4, SUCCESS)], [(0.9, SUCCESS)])
        self.assertEqual((self.second, SUCCESS), self.head())
        self.assertTrue(self.first.is_closed)
        self.assertEqual('handed_over', self.reasons()[0])

    def test_refused_sends_go_on_without_end(self):
        """The number of rejections is limited; the run is still read."""
        self.runs([(3, SUCCESS)])
        self.attempts.choose_other.side_effect = map(replica, 'abcd')
        self.open_failure = ConnectFailed()
        self.assertEqual((self.first, SUCCESS), self.head())
        self.assertEqual(3, self.attempts.open.call_count)
        reasons = ['connect_failed'] * 3 + ['rejections_used', 'went_on']
        self.assertEqual(reasons, self.reasons())

    def test_run_is_kept_beyond_the_deadline(self):
        """The deadline ends the wait, and the replica is checked then."""
        self.runs([(9, SUCCESS)])
        self.attempts.choose_other.side_effect = NoReplica
        with self.assertRaises(UpstreamSilent):
            self.head()
        self.assertAlmostEqual(DEADLINE_S, self.clock.monotonic())
        self.assertTrue(self.first.is_closed)
        self.assertEqual(1, self.first.checks)

    def test_second_run_holds_the_request_beyond_its_deadline(self):
        """A replica found so late cannot answer in time."""
        self.runs([(9, SUCCESS)], [(9, SUCCESS)])
        found_at = DEADLINE_S - HANDOVER_S / 2
        self.attempts.choose_other.side_effect = self._choose_from(found_at)
        with self.assertRaises(UpstreamSilent):
            self.head()
        self.assertAlmostEqual(DEADLINE_S, self.clock.monotonic())
        self.assertEqual([], self.sent)

    def test_request_is_sent_after_its_caller_has_left(self):
        """The caller's leaving ends the wait."""
        self.runs([(3, SUCCESS)])
        self.attempts.check.side_effect = CallerDisconnected
        with self.assertRaises(CallerDisconnected):
            self.head()
        self.attempts.open.assert_not_called()
        self.assertTrue(self.first.is_closed)

    def test_runs_go_on_after_their_caller_has_left(self):
        """A disconnect while both runs are open aborts both."""
        self.runs([(3, SUCCESS)], [(3, SUCCESS)])
        self.first.head = self._leave(self.first.head, 0.35)
        with self.assertRaises(OutcomeUnknown):
            self.head()
        self.assertTrue(self.first.is_closed)
        self.assertTrue(self.second.is_closed)

    def test_request_that_may_not_be_repeated_is_sent_twice(self):
        """Its silence is not even looked at."""
        route = self.call.route._replace(resumable=False)
        self.call = self.call._replace(route=route)
        self.runs([(3, SUCCESS)])
        self.assertEqual((self.first, SUCCESS), self.head())
        self.attempts.choose_other.assert_not_called()

    def test_same_replica_is_sent_a_request_that_was_sent_twice(self):
        """Only the first send may have met a broken pooled connection."""
        self.runs([(1, SUCCESS)])
        self.attempts.choose_other.side_effect = NoReplica
        self.progress.tried = ['none', 'one']
        self.head()
        self.assertFalse(self.attempts.choose_other.call_args.args[3])

    def test_same_replica_has_no_time_to_answer_on_a_new_connection(self):
        """Both connections stay open until one brings something."""
        self.runs([], [(2, SUCCESS)])
        self.second.replica = self.first.replica
        self.assertEqual((self.second, SUCCESS), self.head())
        self.assertTrue(self.first.is_closed)

    def test_first_run_is_closed_though_its_replica_goes_on(self):
        """The first answers just after the second, at the same replica."""
        self.runs([(1.405, SUCCESS)], [(1.4, SUCCESS)])
        self.second.replica = self.first.replica
        self.assertEqual((self.first, SUCCESS), self.head())
        self.assertEqual(['went_on'], self.reasons())

    def _choose_from(self, ready_at):
        def choose(*_):
            if self.clock.monotonic() < ready_at:
                raise NoReplica
            return replica('two')

        return choose

    def _leave(self, head, at_s):
        def leaving(wait_s, final=True):
            if self.clock.monotonic() >= at_s:
                self.call.caller.record_disconnect()
            return head(wait_s)

        return leaving
