"""A leaving host gets no new requests and finishes those in flight."""

from collections.abc import Callable

import gevent
from nose2.tools import params

from standins.local_fleet import YAZMAN
from standins.waiting import wait_for
from tests.rig_case import RigCase

STREAMS = 8
SOURCES = ('list', 'own', 'both')


class TestLeaving(RigCase):
    """A host is leaving by the host list, by its own report, or by both."""

    # The long requests take 1.2 s of engine time, and several times as long
    # on a busy machine.
    read_timeout_s = 20

    def mark_leaving(self, source: str) -> None:
        """Mark the first sidecar as leaving in ``source``.

        The source is the host list ('list'), the sidecar ('own') or 'both'.
        """
        served = self.rig.sidecars[0]
        if source in {'list', 'both'}:
            link = self.rig.links(served.address)[0]
            self.rig.list_host(link.address, 'sidecar', 'leaving')
        if source in {'own', 'both'}:
            served.subject.begin_drain()

    @params(*SOURCES)
    def test_no_new_work(self, source):
        """One source is enough to stop new requests; streams complete."""
        engine = self.rig.engines[0].subject
        held = self.hold_streams(lambda: engine.batch.running)
        self.mark_leaving(source)
        for served in self.rig.entries:
            self.wait_single_replica(served.subject.parts.fleet)
        begun = len(engine.executions)
        answers = [self.rig.chat(f'later {n}', n % 2) for n in range(20)]
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertEqual(begun, len(engine.executions))
        gevent.joinall(held)
        self.assertEqual({200}, {each.value.status for each in held})

    def test_listed_host_that_never_answers(self):
        """Requests succeed although a listed host refuses connections."""
        link = self.rig.links(self.rig.sidecars[0].address)[0]
        link.stop()
        answers = [self.rig.chat(f'a {n}') for n in range(10)]
        self.assertEqual({200}, {answer.status for answer in answers})

    def hold_streams(
        self,
        reached: Callable[[], bool],
    ) -> list[gevent.Greenlet]:
        """Send long requests until ``reached`` returns true; return all.

        On a busy machine an entry sometimes treats a sidecar as silent and
        sends all requests to the other one, so that a fixed number of
        requests may never reach the first.
        """
        held = [self.hold(number) for number in range(STREAMS)]

        def reached_after_one_more() -> bool:
            held.append(self.hold(len(held)))
            return reached()

        wait_for(
            'requests at the engine',
            lambda: reached() or reached_after_one_more(),
        )
        engines = [each.subject for each in self.rig.engines]
        wait_for(
            'every request at an engine',
            lambda: sum(len(e.executions) for e in engines) >= len(held),
        )
        return held

    def hold(self, number: int) -> gevent.Greenlet:
        """Send a request that takes 1.2 s of engine time."""
        text = f'long {number}'
        return gevent.spawn(self.rig.chat, text, 0, max_tokens=150)

    def wait_single_replica(self, fleet: object) -> None:
        """Wait until an entry's fleet offers a single replica."""
        wait_for('a single replica', lambda: len(fleet.replicas(YAZMAN)) == 1)

    def test_list_is_sent_only_when_changed(self):
        """The platform sends the host list to an entry only when it changed."""
        counts = self.rig.platform.counts
        sent = counts['hosts sent']
        polled = counts['hosts']
        wait_for('polls', lambda: counts['hosts'] > polled + 10)
        self.assertEqual(sent, counts['hosts sent'])
        self.rig.list_host(self.rig.entries[0].address, 'entry', 'leaving')
        wait_for(
            'the changed list at both entries',
            lambda: counts['hosts sent'] >= sent + 2,
        )
