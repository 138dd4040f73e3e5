"""Tests of failing connections and of holders that are lost in turn."""

import base64
import time

import gevent
from nose2.tools import params

from cactusridge import wire
from cactusridge.jobs.lease_times import MEMBER_LEASE_S
from standins.waiting import wait_for
from tests.machine_case import MachineCase, request_headers

# Time in seconds until an entry counts the store as unreachable: three failed
# calls of at most a second each, and the pauses between them.
LOST_S = 6
# A rejection without a call to the store takes less than this, in seconds; a
# call to the store may take a second.
AT_ONCE_S = 0.5
# Number of jobs that have to be rejected in a row, and the pause between them
# in seconds.
IN_A_ROW = 6
BETWEEN_S = 0.2
# Time in seconds after which a returned entry has read the replica list, which
# takes at most a second, and has received a peer's report that the peer reached
# the store, which takes at most half a second.
LEFT_S = 1.2
# Number of requests of which each of two available replicas receives some.
MANY = 16
NEW_ROUTE = {'name': 'new', 'path_prefix': '/new/', 'kind': 'idempotent'}


class TestTurnedAway(MachineCase):
    """One entry cannot reach the store while the other can."""

    def setUp(self):
        """Cut the connection of the first entry to the store."""
        super().setUp()
        self.assertEqual(202, self.site.submit('two', 'j0', ['2']))
        self.wait_done('one', 'j0', 1)
        self.link = self.site.store_links['one']
        self.link.refusing = True
        self.link.shut_down_connections()
        wait_for('jobs are rejected at once', self.refused_at_once, LOST_S)

    def refused_at_once(self):
        """Return whether jobs are rejected without a call to the store.

        Several jobs have to be rejected in a row, since the entry retries
        an unreachable store in between.
        """
        return all(self.refused_soon() for _ in range(IN_A_ROW))

    def refused_soon(self):
        """Return whether one job is rejected without a call to the store."""
        gevent.sleep(BETWEEN_S)
        began = time.monotonic()
        status = self.site.submit('one', f'j{time.monotonic_ns()}', ['2'])
        return status == 503 and time.monotonic() - began < AT_ONCE_S

    def test_new_callers_go_elsewhere(self):
        """The entry is not ready until it reaches the store; its peer is."""
        wait_for(
            'the entry is not ready', lambda: not self.site.is_ready('one'), 2
        )
        self.assertTrue(self.site.is_ready('two'))
        self.link.refusing = False
        wait_for(
            'the entry is ready', lambda: self.site.is_ready('one'), LOST_S
        )

    def test_online_goes_on(self):
        """Online requests are served from the state known before the cut."""
        for number in range(5):
            call = ('one', 'POST', '/on/', b'1', request_headers(f'r{number}'))
            self.assertEqual(200, self.site.call(*call)[0])

    def test_no_false_word_of_jobs(self):
        """A job that cannot be read is unavailable and not reported unknown."""
        found = self.site.call('one', 'GET', '/api/lots/j0')
        self.assertEqual(503, found[0])

    def test_configuration_of_peers(self):
        """A new configuration reaches the entry through its peer."""
        self.site.configure([NEW_ROUTE])
        wait_for('the new route', self.new_route_is_served, 2)

    def test_back(self):
        """Jobs are accepted and completed once the store is reachable."""
        self.link.refusing = False
        wait_for(
            'a job is taken',
            lambda: self.site.submit('one', 'j9', ['3']) == 202,
            LOST_S,
        )
        self.assertEqual(['j9-0'], self.wait_done('two', 'j9', 1))

    def test_left_meanwhile(self):
        """A replica removed during the cut receives no requests afterwards.

        The other entry reaches the store all the time. A missing row of a
        replica therefore means that the replica has left, and not that its
        row has expired.
        """
        gone = self.site.replicas[0]
        self.site.store.remove(('servers', '', gone.id))
        self.link.refusing = False
        wait_for(
            'the entry is ready', lambda: self.site.is_ready('one'), LOST_S
        )
        gevent.sleep(LEFT_S)
        names = [f'after{number}' for number in range(MANY)]
        for name in names:
            found = self.site.call(
                'one', 'POST', '/on/', b'1', request_headers(name)
            )
            self.assertEqual(200, found[0])
        self.assertEqual([], [name for name in names if gone.runs[name]])

    def new_route_is_served(self):
        """Return whether the first entry serves the new route."""
        call = ('one', 'POST', '/new/', b'1', request_headers('n'))
        return self.site.call(*call)[0] == 200


class TestEndedElsewhere(MachineCase):
    """A job is cancelled while its holder cannot reach the store."""

    def test_peers_word_stops_it(self):
        """A peer's announcement stops all items, and none starts again."""
        self.site.submit('one', 'j1', ['400 0.05'] * 4)
        wait_for('the items run', lambda: self.running() == 4)
        link = self.site.store_links['one']
        link.refusing = True
        link.shut_down_connections()
        ended = self.site.call('two', 'DELETE', '/api/lots/j1')
        self.assertEqual(200, ended[0])
        wait_for('all items stop', lambda: not self.running(), 3)
        started = self.started()
        gevent.sleep(MEMBER_LEASE_S)
        self.assertEqual(started, self.started())

    def running(self):
        """Return the number of requests in flight at all replicas."""
        return sum(each.running for each in self.site.replicas)

    def started(self):
        """Return the number of requests that all replicas have received."""
        return sum(sum(each.runs.values()) for each in self.site.replicas)


class TestSilence(MachineCase):
    """Open connections transmit nothing while new connections work."""

    def test_store(self):
        """Jobs are accepted, completed and read over new connections."""
        for link in self.site.store_links.values():
            link.stall_connections()
        wait_for(
            'a job is taken',
            lambda: self.site.submit('one', 'j1', ['3'] * 3) == 202,
            LOST_S,
        )
        self.assertEqual(3, len(set(self.wait_done('two', 'j1', 3))))

    def silence_replicas(self):
        """Open connections to both replicas, then stop their transmission."""
        calls = [
            gevent.spawn(
                self.site.call,
                'one',
                'POST',
                '/again/',
                b'4 0.1',
                request_headers(f'w{number}'),
            )
            for number in range(4)
        ]
        gevent.joinall(calls)
        for link in self.site.replica_links:
            link.stall_connections()

    @params('/again/', '/safe/')
    def test_kept_connections(self, path):
        """A repeatable request is sent again on a new connection."""
        self.silence_replicas()
        call = ('one', 'POST', path, b'1', request_headers('r'))
        self.assertEqual(200, self.site.call(*call)[0])

    def test_running_stream(self):
        """A resumable stream continues over a new connection."""
        call = ('one', 'POST', '/again/', b'10 0.1', request_headers('r'))
        running = gevent.spawn(self.site.call, *call)
        wait_for('the request runs', lambda: self.runs('r'))
        self.silence_replicas()
        status, _, body = running.get()
        self.assertEqual((200, 10), (status, body.count(b'data:')))


class TestHolders(MachineCase):
    """Holders of a job that are killed one after the other."""

    entries = ('one', 'two', 'three')

    def test_two_lost(self):
        """The third holder resumes from the checkpoints of the first two."""
        self.site.submit('one', 'j1', ['100 0.05'] * 3)
        wait_for('a checkpoint is stored', lambda: self.partials(), 5)
        self.site.entries['one'].kill()
        before = self.partials()
        wait_for(
            'another entry resumes the job',
            lambda: self.partials() != before,
            MEMBER_LEASE_S * 3,
        )
        holder = self.holder()
        self.site.entries[holder].kill()
        last = ({'two', 'three'} - {holder}).pop()
        listed = self.wait_done(last, 'j1', 3)
        self.assertEqual(['j1-0', 'j1-1', 'j1-2'], sorted(listed))
        outputs = {each['output'] for each in self.site.results(last, 'j1')}
        self.assertEqual({'\n'.join(f'e{n}' for n in range(1, 101))}, outputs)

    def partials(self):
        """Return the rows of all checkpoints."""
        return {
            place: held
            for place, held in self.site.store.rows.items()
            if place[0] == 'partial'
        }

    def holder(self):
        """Return the name of the job's holder from its row."""
        held = next(
            held
            for place, held in self.site.store.rows.items()
            if place[0] == 'jobs'
        )
        return wire.decode(base64.b64decode(held.packed))['holder']
