"""Placement, admission and preemption, without a network."""

import random
import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.dispatch.admission import AdmitAll, InTime
from cactusridge.dispatch.placement import (
    Choice,
    choose_least_online,
    expected_wait_s,
    tolerated_silence_s,
)
from cactusridge.dispatch.preemption import free_batch_slots, preemption_counts
from cactusridge.fleet.replica import Replica, ReplicaState
from cactusridge.http.client import Address
from cactusridge.peers.load import Load, WorkKind
from cactusridge.peers.loads import LoadTable

SLOTS = 8


def replica(name: str, zone: str = 'a') -> Replica:
    """Return a replica with eight slots."""
    address = Address('127.0.0.1', 1)
    return Replica(name, 's', address, zone, SLOTS, ReplicaState.ready)


def plain_rank(choice):
    """Return the rank of a choice where all replicas are equal."""
    return (
        choice.queue,
        not choice.local,
        choice.load.total,
        choice.replica.zone != 'a',
    )


class TestPlacement(unittest.TestCase):
    """Choice of the replica for an online request."""

    @params(
        # The least loaded wins; batch counts only between equal queues.
        ({'x': Load(3, 0), 'y': Load(2, 0)}, 'y'),
        ({'x': Load(2, 5), 'y': Load(3, 0)}, 'y'),
        # Batch is preempted and online is not: a queue is worse than batch.
        ({'x': Load(8, 0), 'y': Load(2, 6)}, 'y'),
        ({'x': Load(9, 0), 'y': Load(8, 0)}, 'y'),
    )
    def test_least_loaded(self, loads, wanted):
        """The replica with the least work ahead of the request is chosen."""
        choices = [Choice(replica(name), load) for name, load in loads.items()]
        best = choose_least_online(choices, 'a', random.Random(1))
        self.assertEqual(wanted, best.replica.id)

    @params(
        # The expected wait decides, also against the length of the queue.
        (Load(9), 1, Load(8), 0.4, 'x'),
        (Load(9), 1.6, Load(8), 1, 'y'),
        (Load(10), 1.6, Load(9), 1, 'x'),
        # Without a queue the load relative to the speed decides.
        (Load(3), 1.6, Load(2), 1, 'x'),
        (Load(3), 1, Load(2), 0.6, 'x'),
        (Load(4), 1.6, Load(2), 1, 'y'),
        # A free slot of a slow replica is better than any queue.
        (Load(8), 1.6, Load(7), 0.4, 'y'),
    )
    def test_speeds(self, load, speed, other_load, other_speed, wanted):
        """A fast replica gets more requests than a slow one."""
        choices = [
            Choice(replica('x'), load, speed=speed),
            Choice(replica('y'), other_load, speed=other_speed),
        ]
        best = choose_least_online(choices, 'a', random.Random(1))
        self.assertEqual(wanted, best.replica.id)

    def test_equal_replicas(self):
        """Equal replicas are ranked by the keys of a fleet without speeds.

        These are the queue, the cell, the requests per slot and the zone. An
        estimate must not change where requests are placed as long as it shows
        no difference.
        """
        rng = random.Random(7)
        for _ in range(500):
            choices = [
                Choice(
                    replica(str(number), rng.choice('ab')),
                    Load(rng.randrange(0, 14), rng.randrange(0, 9)),
                    rng.random() < rng.random(),
                )
                for number in range(6)
            ]
            best = choose_least_online(choices, 'a', random.Random(1))
            self.assertEqual(
                min(plain_rank(choice) for choice in choices),
                plain_rank(best),
            )

    def test_own_zone_between_equals(self):
        """The availability zone decides between equally loaded replicas."""
        choices = [
            Choice(replica('far', 'b'), Load(1)),
            Choice(replica('near', 'a'), Load(1)),
        ]
        self.assertEqual(
            'near',
            choose_least_online(choices, 'a', random.Random(1)).replica.id,
        )

    @params(
        (Load(7, 0), 0),
        (Load(0, 8), 0),
        (Load(8, 0), 0.1),
        (Load(11, 3), 0.4),
    )
    def test_expected_wait(self, load, wanted):
        """Each request beyond the slots waits for one more slot to be freed."""
        found = expected_wait_s(Choice(replica('x'), load), 0.8)
        self.assertAlmostEqual(wanted, found)

    @params(
        (Load(8, 0), 1, 0.3),
        (Load(2, 9), 1, 0.3),
        (Load(9, 0), 1, 0.9),
        (Load(8, 0), 0.6, 0.5),
        (Load(9, 0), 0.6, 1.5),
        (Load(8, 0), 1.6, 0.3),
    )
    def test_silence(self, load, speed, wanted):
        """A longer silence is tolerated where a longer one is expected.

        That is behind a queue of online requests and at a slow replica.
        """
        found = tolerated_silence_s(load, SLOTS, 0.3, speed)
        self.assertAlmostEqual(wanted, found)

    @params((1.0, 0.79), (0.21, 0), (0.1, -0.11))
    def test_admission(self, wait_s, excess_s):
        """The excess is the wait beyond the allowed share of the target."""
        self.assertAlmostEqual(excess_s, InTime().excess_s(wait_s, 0.3))
        self.assertEqual(0, AdmitAll().excess_s(wait_s, 0.3))


class TestYielding(unittest.TestCase):
    """Preemption of batch requests by each entry."""

    @params(
        ({'a': Load(0, 4), 'b': Load(0, 4)}, {'a': 0, 'b': 0}),
        ({'a': Load(1, 4), 'b': Load(0, 4)}, {'a': 0, 'b': 1}),
        ({'a': Load(2, 2), 'b': Load(0, 6)}, {'a': 0, 'b': 2}),
        ({'a': Load(9, 0), 'b': Load(0, 2)}, {'a': 0, 'b': 2}),
        ({'a': Load(12, 0)}, {'a': 0}),
    )
    def test_shares(self, loads, wanted):
        """No more batch requests are preempted than exceed the slots."""
        self.assertEqual(wanted, preemption_counts(SLOTS, loads))

    @params((Load(0, 0), 8), (Load(3, 5), 0), (Load(12, 0), 0))
    def test_room(self, load, wanted):
        """Batch requests fill the free slots and never queue."""
        self.assertEqual(wanted, free_batch_slots(SLOTS, load))

    def test_burst_frees_as_many_as_come(self):
        """A burst at a full replica frees as many slots as it needs."""
        rng = random.Random(5)
        for _ in range(200):
            batch = [rng.randrange(0, 5) for _ in range(4)]
            batch[0] = max(0, SLOTS - sum(batch[1:]))
            burst = rng.randrange(0, SLOTS + 1)
            loads = {
                str(number): Load(burst if number == 1 else 0, count)
                for number, count in enumerate(batch)
            }
            freed = sum(preemption_counts(SLOTS, loads).values())
            over = max(0, burst + sum(batch) - SLOTS)
            self.assertEqual(min(over, sum(batch)), freed)


class TestLoadTable(unittest.TestCase):
    """The load table counts requests of this entry and its peers."""

    def test_adds_up_and_forgets(self):
        """Counts of a peer are added until the peer falls silent."""
        clock = ManualClock()
        table = LoadTable(clock)
        table.set_peer_loads('p', {'x': Load(2, 1)})
        with table.count_request('x', WorkKind.online):
            self.assertEqual(Load(3, 1), table.total_at('x'))
            clock.advance(2)
            self.assertEqual(Load(1, 0), table.total_at('x'))
        self.assertEqual(Load(0, 0), table.total_at('x'))
        self.assertEqual({}, table.all_own())
