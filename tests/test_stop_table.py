"""A planned stop of an entry process, with requests in every state.

The failure: a request that was sent in full gets neither an answer nor a
refusal because of the stop, or a refusal although a replica runs it.
"""

from types import MappingProxyType

import gevent
from nose2.tools import params

from standins.machines.raw_replica import Manner
from standins.machines.site import ROUTES
from tests.stop_table_case import READINESS_DELAY_S, SLACK_S, StopTableCase

LISTED_AS = MappingProxyType({'draining': 'draining', 'restarting': 'ready'})
NOT_RESUMABLE = '/on/'
ORGANISATIONS = 20_000
APPLY_S = 3


class TestStopTable(StopTableCase):
    """The replicas behave in some manner during the stop."""

    @params(*Manner)
    def test_manners(self, manner):
        """Replicas answer, or not, in some manner all the time."""
        for raw in self.raw:
            raw.manner = manner
        outcomes = self.stop()
        self.check(outcomes)
        statuses = {outcome.status for _, outcome in outcomes}
        self.assertIn(503, statuses)
        answers = manner not in {Manner.silent, Manner.hanging}
        self.assertEqual(answers, 502 not in statuses)

    @params('draining', 'restarting')
    def test_replica_leaves(self, how):
        """A replica drains or restarts during the stop.

        Streams go on at the other one.
        """
        raw, listed = self.raw[0], self.site.replicas[0]

        def leave():
            gevent.sleep(READINESS_DELAY_S)
            if how == 'restarting':
                self.cut_off.add(NOT_RESUMABLE)
                raw.reset()
                listed.restart()
            self.site.register(listed, raw.address, LISTED_AS[how])

        outcomes = self.stop(lambda: gevent.spawn(leave))
        self.check(outcomes)
        resumed = [line for line in self.lines() if line.get('after_event')]
        self.assertEqual(how == 'restarting', bool(resumed))

    def test_large_process(self):
        """Idle connections end with the drain, not with the interpreter.

        Freeing the memory of a process takes long on a busy machine.
        """
        self.site.configure(
            ROUTES,
            [
                {'name': f'o{number}', 'api_keys': [f'k{number}']}
                for number in range(ORGANISATIONS)
            ],
        )
        gevent.sleep(APPLY_S)
        self.stop()
        self.assertLess(max(self.closed) - min(self.closed), SLACK_S)
        self.assertLess(max(self.closed), self.drain_ended_at())
