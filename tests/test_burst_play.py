"""Simulated bursts on whole fleets: answers to callers and datagrams."""

import unittest

from nose2.tools import params

from cactusridge.dispatch.placement import AnyReplica, LeastOnline
from cactusridge.peers.cell_rules import ByZone, OneCell
from tests.burst_entry import HOLD_S
from tests.burst_play import BurstPlay, Fleet, Newcomers
from tests.cells_play import SLOTS

LARGE = Fleet(entries=88, replicas=59, zones=6)
SIZES = {
    'small': Fleet(entries=18, replicas=12, zones=6),
    'medium': Fleet(entries=44, replicas=30, zones=6),
    'large': LARGE,
}
FOR_S = 1
LONG_S = 4
SEED = 1


def play(size, share, rule, placing, for_s=FOR_S):
    """Send a load of ``share`` of the slots; return the outcomes."""
    per_s = share * size.replicas * SLOTS / HOLD_S
    return BurstPlay(size, rule, placing, SEED).ask(per_s, for_s)


def grown(added, placing):
    """Return the outcomes of a burst during which replicas are added."""
    burst = BurstPlay(LARGE, ByZone(), placing, SEED)
    burst.grow(added, LARGE.zones)
    return burst.ask(0.85 * LARGE.replicas * SLOTS / HOLD_S, FOR_S)


class TestBurst(unittest.TestCase):
    """Cells and placement by load are compared with naive policies."""

    @params('small', 'medium', 'large')
    def test_in_time(self, name):
        """A burst below the capacity is served in time at any fleet size."""
        size = SIZES[name]
        ours = play(size, 0.85, ByZone(), LeastOnline())
        self.assertLess(ours.late + ours.refused, ours.asked / 100)
        naive = play(size, 0.85, ByZone(), AnyReplica())
        self.assertGreater(
            naive.late + naive.refused,
            5 * (ours.late + ours.refused),
        )

    @params(1, 1.5, 3)
    def test_newcomers(self, slower):
        """Twenty new replicas do not attract a herd of requests.

        All entries see the same empty replicas at the same time, and may
        send all requests there. The new replicas, also when they are slow
        at first, must get no more than their share of the requests, and
        almost no request may be late or refused.
        """
        added = Newcomers(20, after_s=0.3, slower=slower, cold_s=2)
        found = grown(added, LeastOnline())
        self.assertLess(found.late + found.refused, found.asked / 100)
        share = added.count / (added.count + LARGE.replicas)
        self.assertLess(found.new, found.asked * share)
        self.assertGreater(found.new, found.asked * share / 4)
        naive = grown(added, AnyReplica())
        self.assertGreater(
            naive.late + naive.refused,
            5 * (found.late + found.refused),
        )

    def test_one_cell(self):
        """Several cells miss few more targets than a single cell.

        In a single cell all entries exchange their counts. Several cells
        need less than a third of the datagrams, and most requests stay in
        their availability zone.
        """
        ours = play(LARGE, 0.95, ByZone(), LeastOnline())
        naive = play(LARGE, 0.95, OneCell(), LeastOnline())
        missed = ours.late + ours.refused - naive.late - naive.refused
        self.assertLess(missed, ours.asked / 40)
        self.assertLess(ours.received, naive.received / 3)
        self.assertLess(ours.abroad, ours.asked / 10)

    def test_heard_in_larger_fleets(self):
        """The datagrams received per entry do not grow with the fleet."""
        small = play(Fleet(120, 80, 6), 0.3, ByZone(), LeastOnline())
        large = play(Fleet(240, 160, 12), 0.3, ByZone(), LeastOnline())
        self.assertLess(large.received, small.received * 1.2)

    @params(1.2, 2, 5)
    def test_overload(self, share):
        """Four fifths of the admitted requests are in time in any overload.

        They also use at least four fifths of the slots.
        """
        size = SIZES['medium']
        found = play(size, share, ByZone(), LeastOnline(), LONG_S)
        served = found.asked - found.refused
        in_time = served - found.late
        self.assertGreater(in_time, 0.8 * served)
        slots = size.replicas * SLOTS
        self.assertGreater(in_time, 0.8 * slots / HOLD_S * LONG_S)
