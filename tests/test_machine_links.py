"""Ways that are cut or fall silent, and holders lost one after another."""

import base64
import time

import gevent
from nose2.tools import params

from cactusridge import wire
from cactusridge.jobs.session import LEASE_S
from standins.waiting import wait_for
from tests.machine_case import MachineCase
from tests.test_machine_failures import sent

# Until an entry counts the store as lost: three calls that fail, of at
# most a second each, and what lies between them.
LOST_S = 6
# Far under the second that a call of the store may take.
AT_ONCE_S = 0.5
IN_A_ROW = 6
BETWEEN_S = 0.2
# The list is read again within a second of the store's return, and a peer
# says within half a second that it had the store.
LEFT_S = 1.2
# Requests of which a replica in choice gets some, with two to choose from.
MANY = 16
NEW_ROUTE = {'name': 'new', 'path_prefix': '/new/', 'kind': 'idempotent'}


class TestTurnedAway(MachineCase):
    """One entry loses the store; the other has it."""

    def setUp(self):
        """Cut the first entry's way to the store."""
        super().setUp()
        self.assertEqual(202, self.site.submit('two', 'j0', ['2']))
        self.wait_done('one', 'j0', 1)
        self.link = self.site.store_links['one']
        self.link.refusing = True
        self.link.cut()
        wait_for('it is told at once', self.refused_at_once, LOST_S)

    def refused_at_once(self):
        """Tell whether jobs are refused without asking the store.

        Several in a row, since a store that counts as lost is asked
        again in between.
        """
        return all(self.refused_soon() for _ in range(IN_A_ROW))

    def refused_soon(self):
        """Tell whether one job is refused without asking the store."""
        gevent.sleep(BETWEEN_S)
        began = time.monotonic()
        status = self.site.submit('one', f'j{time.monotonic_ns()}', ['2'])
        return status == 503 and time.monotonic() - began < AT_ONCE_S

    def test_new_callers_go_elsewhere(self):
        """It is not ready until it has the store again; the peer is."""
        wait_for('it is not ready', lambda: not self.site.is_ready('one'), 2)
        self.assertTrue(self.site.is_ready('two'))
        self.link.refusing = False
        wait_for('it is ready', lambda: self.site.is_ready('one'), LOST_S)

    def test_online_goes_on(self):
        """Requests are served by what the entry knew."""
        for number in range(5):
            call = ('one', 'POST', '/on/', b'1', sent(f'r{number}'))
            self.assertEqual(200, self.site.call(*call)[0])

    def test_no_false_word_of_jobs(self):
        """What cannot be read is unavailable, not unknown."""
        found = self.site.call('one', 'GET', '/api/lots/j0')
        self.assertEqual(503, found[0])

    def test_configuration_of_peers(self):
        """A new configuration comes from the entry that has it."""
        self.site.configure([NEW_ROUTE])
        wait_for('the new route', self.new_route_is_served, 2)

    def test_back(self):
        """Once the store is back jobs are accepted and done."""
        self.link.refusing = False
        wait_for(
            'a job is taken',
            lambda: self.site.submit('one', 'j9', ['3']) == 202,
            LOST_S,
        )
        self.assertEqual(['j9-0'], self.wait_done('two', 'j9', 1))

    def test_left_meanwhile(self):
        """A replica that left in the cut gets nothing after it.

        The other entry has the store all along: that an entry is not
        there says that its replica has left, not that it has lapsed.
        """
        gone = self.site.replicas[0]
        self.site.store.remove(('servers', '', gone.id))
        self.link.refusing = False
        wait_for('it is back', lambda: self.site.is_ready('one'), LOST_S)
        gevent.sleep(LEFT_S)
        names = [f'after{number}' for number in range(MANY)]
        for name in names:
            found = self.site.call('one', 'POST', '/on/', b'1', sent(name))
            self.assertEqual(200, found[0])
        self.assertEqual([], [name for name in names if gone.runs[name]])

    def new_route_is_served(self):
        """Tell whether the first entry knows the new route."""
        call = ('one', 'POST', '/new/', b'1', sent('n'))
        return self.site.call(*call)[0] == 200


class TestEndedElsewhere(MachineCase):
    """A job ends while the store turns its holder away."""

    def test_peers_word_stops_it(self):
        """Another entry's word ends all items, and none starts again."""
        self.site.submit('one', 'j1', ['400 0.05'] * 4)
        wait_for('the items run', lambda: self.running() == 4)
        link = self.site.store_links['one']
        link.refusing = True
        link.cut()
        ended = self.site.call('two', 'DELETE', '/api/lots/j1')
        self.assertEqual(200, ended[0])
        wait_for('all items stop', lambda: not self.running(), 3)
        started = self.started()
        gevent.sleep(LEASE_S)
        self.assertEqual(started, self.started())

    def running(self):
        """Return how many requests replicas work on."""
        return sum(each.running for each in self.site.replicas)

    def started(self):
        """Return how many requests replicas have had."""
        return sum(sum(each.runs.values()) for each in self.site.replicas)


class TestSilence(MachineCase):
    """Open connections fall silent while new ones work."""

    def test_store(self):
        """Jobs are accepted, done and read over new connections."""
        for link in self.site.store_links.values():
            link.silence()
        wait_for(
            'a job is taken',
            lambda: self.site.submit('one', 'j1', ['3'] * 3) == 202,
            LOST_S,
        )
        self.assertEqual(3, len(set(self.wait_done('two', 'j1', 3))))

    def silence_replicas(self):
        """Let connections to both replicas be kept, then fall silent."""
        calls = [
            gevent.spawn(
                self.site.call,
                'one',
                'POST',
                '/again/',
                b'4 0.1',
                sent(f'w{number}'),
            )
            for number in range(4)
        ]
        gevent.joinall(calls)
        for link in self.site.replica_links:
            link.silence()

    @params('/again/', '/safe/')
    def test_kept_connections(self, path):
        """What may be repeated goes out again, on a new connection."""
        self.silence_replicas()
        call = ('one', 'POST', path, b'1', sent('r'))
        self.assertEqual(200, self.site.call(*call)[0])

    def test_running_stream(self):
        """A stream that may be resumed goes on over a new connection."""
        call = ('one', 'POST', '/again/', b'10 0.1', sent('r'))
        running = gevent.spawn(self.site.call, *call)
        wait_for('it runs', lambda: self.runs('r'))
        self.silence_replicas()
        status, _, body = running.get()
        self.assertEqual((200, 10), (status, body.count(b'data:')))


class TestHolders(MachineCase):
    """Holders that are lost one after the other."""

    entries = ('one', 'two', 'three')

    def test_two_lost(self):
        """The third goes on with what the first two had stored."""
        self.site.submit('one', 'j1', ['100 0.05'] * 3)
        wait_for('output is stored', lambda: self.partials(), 5)
        self.site.entries['one'].kill()
        before = self.partials()
        wait_for(
            'another goes on',
            lambda: self.partials() != before,
            LEASE_S * 3,
        )
        holder = self.holder()
        self.site.entries[holder].kill()
        last = ({'two', 'three'} - {holder}).pop()
        listed = self.wait_done(last, 'j1', 3)
        self.assertEqual(['j1-0', 'j1-1', 'j1-2'], sorted(listed))
        outputs = {each['output'] for each in self.site.results(last, 'j1')}
        self.assertEqual({'\n'.join(f'e{n}' for n in range(1, 101))}, outputs)

    def partials(self):
        """Return the stored unfinished outputs."""
        return {
            place: held
            for place, held in self.site.store.rows.items()
            if place[0] == 'partial'
        }

    def holder(self):
        """Return who holds the job, by its row."""
        held = next(
            held
            for place, held in self.site.store.rows.items()
            if place[0] == 'jobs'
        )
        return wire.decode(base64.b64decode(held.packed))['holder']
