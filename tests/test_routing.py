"""Routing decisions by themselves, beside their naive versions."""

import itertools
import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.routing.candidates import Candidate, PickRequest, load_of
from cactusridge.routing.membership import Belief, Evidence, judge
from cactusridge.routing.outliers import OutlierEjector, TrustAll
from cactusridge.routing.pickers import PrefixPicker, RoundRobinPicker
from cactusridge.routing.retry_budget import RetryBudget, RetryThrice
from cactusridge.routing.subset import choose_subset
from cactusridge.store.host_list import HostState

PROBE_S = 0.5
SLOTS = 8
PLAIN = PickRequest('a')


def replicas(*busy: int, zone: str = 'a') -> list[Candidate]:
    """Return a replica for each number of own requests in flight."""
    return [
        Candidate(f'{zone}{number}', zone, own=own, limit=SLOTS)
        for number, own in enumerate(busy)
    ]


class TestPickers(unittest.TestCase):
    """Which replica is chosen."""

    def setUp(self):
        """Draw from a seeded source."""
        self.picker = PrefixPicker(random.Random(1))

    def test_busy_replica_is_left_alone(self):
        """The naive way goes on sending to it."""
        found = replicas(0, 7, 0)
        naive = RoundRobinPicker()
        chosen = {self.picker.pick(found, PLAIN).key for _ in range(30)}
        turns = {naive.pick(found, PLAIN).key for _ in range(30)}
        self.assertEqual({'a0', 'a2'}, chosen)
        self.assertEqual({'a0', 'a1', 'a2'}, turns)

    @params(
        ((1, 1), (1, 1), {'a'}),
        ((3, 3), (0, 0), {'b'}),
        ((0, 5), (4, 4), {'a'}),
    )
    def test_same_zone_while_it_costs_nothing(self, near, far, wanted):
        """The zone of the entry goes first unless the other is freer."""
        both = replicas(*near) + replicas(*far, zone='b')
        chosen = {self.picker.pick(both, PLAIN).zone for _ in range(30)}
        self.assertEqual(wanted, chosen)

    @given(st.binary(min_size=1, max_size=8), st.integers(2, 8))
    @settings(max_examples=50, deadline=None, derandomize=True)
    def test_prefix_stays_together(self, prefix, count):
        """One prefix goes to one replica, also when another is gone."""
        idle = replicas(*itertools.repeat(0, count))
        request = PickRequest('a', prefix)
        home = self.picker.pick(idle, request)
        other = next(each for each in idle if each != home)
        left = [each for each in idle if each != other]
        self.assertEqual(home, self.picker.pick(idle, request))
        self.assertEqual(home, self.picker.pick(left, request))

    def test_hot_prefix_spreads(self):
        """Requests of one prefix use every replica before they queue."""
        counts = Counter({f'a{number}': 0 for number in range(4)})
        for _ in range(4 * SLOTS):
            found = [
                Candidate(key, 'a', own=own, limit=SLOTS)
                for key, own in counts.items()
            ]
            counts[self.picker.pick(found, PickRequest('a', b'hot')).key] += 1
        self.assertEqual({SLOTS}, set(counts.values()))

    def test_old_report_is_not_herded_to(self):
        """A report that happened to be low is not believed for ever."""
        fresh = Candidate('x', 'a', 4, 0, 0, 0, SLOTS, sharers=10)
        aged = fresh._replace(age_s=30)
        self.assertAlmostEqual(4 / SLOTS, load_of(fresh))
        self.assertAlmostEqual(40 / SLOTS, load_of(aged), places=3)

    @given(
        st.integers(0, 50),
        st.integers(0, 50),
        st.integers(0, 50),
        st.floats(0, 100),
    )
    @settings(max_examples=100, deadline=None, derandomize=True)
    def test_load_grows_with_own(self, own, reported, then, age_s):
        """One more request never makes a replica look freer."""
        known = Candidate('x', 'a', own, reported, then, age_s, SLOTS)
        more = known._replace(own=own + 1)
        self.assertGreaterEqual(load_of(known), 0)
        self.assertGreater(load_of(more), load_of(known))


class TestOutliers(unittest.TestCase):
    """Which replicas may be chosen."""

    keys = ('a', 'b', 'c', 'd')

    def setUp(self):
        """Know four good replicas."""
        self.clock = ManualClock()
        self.ejector = OutlierEjector(self.clock)
        for _ in range(10):
            for key in self.keys:
                self.ejector.succeeded(key, 0.01)

    def fail(self, key: str, times: int = 3) -> None:
        """Let a replica fail."""
        for _ in range(times):
            self.ejector.failed(key)

    def test_failing_replica_is_out(self):
        """The naive way goes on trusting it."""
        naive = TrustAll()
        for _ in range(9):
            naive.failed('a')
        self.fail('a')
        self.assertEqual({'b', 'c', 'd'}, self.ejector.allowed(self.keys))
        self.assertEqual(set(self.keys), naive.allowed(self.keys))

    def test_slow_replica_is_out(self):
        """A multiple of the others' pace ejects, a little more does not."""
        self.ejector.succeeded('a', 0.02)
        self.assertIn('a', self.ejector.allowed(self.keys))
        self.ejector.succeeded('a', 0.04)
        self.assertNotIn('a', self.ejector.allowed(self.keys))

    @params(1, 2, 3, 4)
    def test_half_stay(self, failing):
        """Whatever fails, half of the replicas may be chosen."""
        for key in self.keys[:failing]:
            self.fail(key)
        allowed = self.ejector.allowed(self.keys)
        self.assertEqual(max(2, 4 - failing), len(allowed))

    def test_trials(self):
        """It is tried after a pause; a failed trial doubles the pause."""
        self.fail('a')
        self.clock.advance(2.1)
        self.assertIn('a', self.ejector.allowed(self.keys))
        self.fail('a', 1)
        self.clock.advance(2.1)
        self.assertNotIn('a', self.ejector.allowed(self.keys))
        self.clock.advance(2)
        self.ejector.succeeded('a', 0.01)
        self.ejector.succeeded('a', 0.01)
        self.fail('a', 2)
        self.assertIn('a', self.ejector.allowed(self.keys))


class TestRetryBudget(unittest.TestCase):
    """How often a failed request goes again."""

    @params((RetryBudget(0.1), 1.12), (RetryThrice(), 4))
    def test_total_outage(self, policy, wanted):
        """Attempts stay near the share; the naive way takes four each."""
        requests = 1000
        attempts = 0
        for _ in range(requests):
            policy.request()
            attempts += 1
            tries = 1
            while policy.allow(tries):
                tries += 1
                attempts += 1
        self.assertLessEqual(attempts, requests * wanted)
        self.assertGreater(attempts, requests * (wanted - 0.03))

    def test_quiet_time_saves_no_storm(self):
        """After a million good requests the store of tokens is bounded."""
        budget = RetryBudget(0.1)
        for _ in range(100_000):
            budget.request()
        allowed = sum(budget.allow(1) for _ in range(1000))
        self.assertEqual(50, allowed)


class TestSubset(unittest.TestCase):
    """Which replicas an entry knows."""

    @params((360, 12_000, 64), (4, 20, 10), (7, 100, 20))
    def test_every_replica_is_known(self, entries, count, size):
        """Each replica is known to nearly the same number of entries."""
        names = [f'entry-{number}' for number in range(entries)]
        hosts = [f'host-{number}' for number in range(count)]
        known = Counter(hosts)
        for name in names:
            known.update(choose_subset(name, names, hosts, size))
        fair = entries * size / count
        self.assertGreaterEqual(min(known.values()) - 1, int(fair))
        self.assertLessEqual(max(known.values()) - 1, int(fair) + 1)

    def test_few_replicas_are_all_known(self):
        """With no more than the size, nobody is left out."""
        self.assertEqual(['a', 'b'], choose_subset('e', ['e'], ['b', 'a'], 2))


class TestMembership(unittest.TestCase):
    """Whose word on a host is believed."""

    @params(
        (HostState.live, 0, 0, False, Belief.serving),
        (HostState.live, 0, 2.9, False, Belief.serving),
        (HostState.live, 0, 3.1, False, Belief.silent),
        (HostState.live, 0, None, False, Belief.silent),
        (HostState.live, 0, 0, True, Belief.leaving),
        (HostState.leaving, 0, 0, False, Belief.leaving),
        (HostState.leaving, 0, 9, True, Belief.leaving),
        (None, 29, 0, False, Belief.serving),
        (None, 31, 0, False, Belief.gone),
        (None, 1, 3.1, False, Belief.gone),
        (None, 1, None, False, Belief.gone),
        (None, 1, 0, True, Belief.leaving),
    )
    def test_word_against_word(self, listed, unlisted, heard, drains, wanted):
        """The table of who is believed for how long."""
        evidence = Evidence(listed, unlisted, heard, drains, PROBE_S)
        self.assertEqual(wanted, judge(evidence))
