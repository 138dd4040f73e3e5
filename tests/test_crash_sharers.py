"""Tests that requests which share a replica with a crashing one are served."""

import gevent
from nose2.tools import params

from standins.waiting import wait_for
from tests.crash_case import REPEATS, STREAM, CrashCase

WAIT_S = 20


class TestSharers(CrashCase):
    """Requests on the replicas that another request crashes stay served."""

    def test_others_are_served(self):
        """Requests with another path, caller or body are still served."""
        self.bring_to_crash('/on/1', STREAM)
        gevent.sleep(1)
        for target, body, source in (
            ('/on/1', b'3 0.01', '127.0.0.1'),
            ('/on/2', b'3 0.01', '127.0.0.1'),
            ('/on/1', b'3 0.01', '127.0.0.2'),
        ):
            status = self.bring(target, body, None, source)
            self.assertEqual(200, status)

    def test_items_that_shared_replicas_are_done(self):
        """Batch items interrupted by every crash complete, each once."""
        self.site.submit('one', 'j2', ['60 0.05'] * 12)
        wait_for(
            'they run',
            lambda: sum(each.running for each in self.site.replicas) == 12,
        )
        for _ in range(REPEATS):
            self.bring('/on/1', STREAM)
            gevent.sleep(0.4)
        listed = self.wait_done('two', 'j2', 12)
        self.assertEqual(12, len(set(listed)))

    def test_repeatable_requests_that_shared_replicas_are_served(self):
        """Repeatable streams continue elsewhere and arrive complete."""
        calls = [
            gevent.spawn(self.bring, f'/again/{number}', b'40 0.05')
            for number in range(4)
        ]
        gevent.sleep(0.3)
        self.bring('/on/1', STREAM)
        gevent.joinall(calls, timeout=WAIT_S)
        self.assertEqual([200] * 4, [each.value for each in calls])

    @params(
        ('/on/1', b'3 0.01'),
        ('/again/1', b'3 0.01'),
    )
    def test_cut_connections_hold_nobody_back(self, target, body):
        """A request is not quarantined for connections broken by the network.

        Its connections break at every replica, but the replicas keep running.
        No other requests are sent to them.
        """
        for replica in self.site.replicas:
            replica.close_after_events = [1, 1]
        for _ in range(REPEATS):
            self.bring(target, body)
        gevent.sleep(0.3)
        for replica in self.site.replicas:
            replica.close_after_events = []
        self.assertEqual(200, self.bring(target, body))
