"""A replica that falls silent and goes on is no reason to end a request."""

import signal

import gevent
from nose2.tools import params

from standins.machines.site import ROUTES
from tests.silent_case import (
    FOR_GOOD_S,
    SILENCE_S,
    SILENT_AT,
    SilentCase,
)


def stop_entry(case, number):
    """Stop the entry as planned."""
    case.site.entries['one'].send(signal.SIGTERM)


def reload_entry(case, number):
    """Let the entry read its settings again."""
    case.site.entries['one'].send(signal.SIGHUP)


def configure(case, number):
    """Write a new configuration, with the same routes."""
    case.site.configure(ROUTES)


class TestOneReplicaOfItsVersion(SilentCase):
    """Streams that may go on at the silent replica only."""

    def setUp(self):
        """Give each replica a version of its own."""
        super().setUp()
        self.use_versions('v1', 'v2')

    @params(
        {SILENT_AT: 0.5},
        {SILENT_AT: SILENCE_S},
        {SILENT_AT: 1.9},
        {1: SILENCE_S},
        {3: SILENCE_S, 7: SILENCE_S, 11: SILENCE_S},
    )
    def test_stream_is_cut_after_a_silence(self, silences):
        """The silent replica goes on, and so does its stream."""
        self.plan(silences)
        self.check_whole(self.stream())
        # Before its first event, a stream may still begin at any replica.
        self.assertEqual(1 + (1 in silences), self.runs(self.last_id))

    def test_decisions_are_logged(self):
        """The log shows each silence that was longer than tolerated."""
        self.plan({3: 0.5, 5: SILENCE_S, 9: SILENCE_S})
        self.check_whole(self.stream())
        self.check_decided(*('no_replica', 'went_on') * 2)

    @params(stop_entry, reload_entry, configure)
    def test_stream_is_cut_beside_planned_work(self, action):
        """Planned work begins in the middle of the silence."""
        self.plan(
            {SILENT_AT: SILENCE_S},
            lambda _: gevent.spawn_later(0.3, action, self, 0),
        )
        self.check_whole(self.stream())

    def test_resumed_stream_meets_the_silent_replica(self):
        """The caller resumed it at another entry, where it waits for a head."""
        self.plan({0: 0})
        begun = self.stream('one', events=SILENT_AT)
        self.plan({0: SILENCE_S})
        rest = self.stream('two', resumes='s0', after=begun.last_id)
        self.check_whole(begun, rest)
        self.check_decided('no_replica', 'went_on', entry='two')


class TestLeft(SilentCase):
    """Replicas that do not go on are left for another one."""

    def test_silent_for_good(self):
        """A stream goes on elsewhere within the two seconds of callers."""
        self.plan({SILENT_AT: FOR_GOOD_S})
        self.check_whole(self.stream())
        self._check_gap()
        self.check_decided('left accepted')
        self.check_overlap(self.last_id)

    def test_stalled_connection(self):
        """So does one whose connection alone carries no more data."""
        self.plan(
            {SILENT_AT: 0},
            lambda replica: self._link(replica).stall_connections(),
        )
        self.check_whole(self.stream())
        self._check_gap()

    def test_request_at_a_replica_silent_for_good(self):
        """A request without an answer is answered by another replica."""
        self.plan({0: FOR_GOOD_S})
        self.assertEqual((200, b'plain x'), self.plain('/safe/'))

    def test_no_two_at_work(self):
        """The replica that is left ends its run when it goes on."""
        self.plan({SILENT_AT: SILENCE_S})
        self.check_whole(self.stream())
        self.check_overlap(self.last_id)

    def test_no_crash_is_suspected(self):
        """A replica that was silent does not count as crashed."""
        for seconds in (SILENCE_S, 1.9):
            self.plan({SILENT_AT: seconds})
            self.check_whole(self.stream())
            self.plan({0: seconds})
            self.plain('/safe/')
        gevent.sleep(SILENCE_S)
        log = (self.log_folder / 'one.log').read_text()
        self.assertNotIn('crash_suspected', log)

    def _link(self, replica):
        return self.site.replica_links[self.site.replicas.index(replica)]

    def _check_gap(self):
        """Check that the next event was made within the two seconds."""
        made = [
            at_s
            for number in self.others(self.silent[0])
            for at_s in self.site.replicas[number].work_times_s(self.last_id)
        ]
        self.assertLess(min(made) - self.silent_at_s[0], 2)


class TestOnlyReplica(SilentCase):
    """A service of one replica whose pooled connection stalls."""

    replicas = 1

    def test_new_connection_to_the_same_replica(self):
        """A request on a pooled connection is sent again on a new one."""
        self.plan({})
        self.assertEqual(200, self.plain('/safe/')[0])
        self.site.replica_links[0].stall_connections()
        self.assertEqual((200, b'plain x'), self.plain('/safe/'))
        self.check_decided('left accepted')

    def test_silence_before_the_head(self):
        """A request waits for the only replica, where it may run twice."""
        self.plan({0: SILENCE_S})
        self.assertEqual((200, b'plain x'), self.plain('/safe/'))
        self.check_decided_once('went_on', 'left accepted')

    def test_silence_in_a_stream(self):
        """A stream waits for the only replica."""
        self.plan({SILENT_AT: SILENCE_S})
        self.check_whole(self.stream())
        self.check_decided('no_replica', 'went_on')
