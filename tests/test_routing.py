"""Tests routing decisions in isolation, compared with naive policies."""

import itertools
import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.routing.candidates import Candidate, PickRequest, load_of
from cactusridge.routing.membership import Evidence, HostStatus, host_status
from cactusridge.routing.outliers import NoEjection, OutlierEjector
from cactusridge.routing.pickers import PrefixPicker, RoundRobinPicker
from cactusridge.routing.retry_budget import RetryBudget, RetryThrice
from cactusridge.routing.subset import choose_subset
from cactusridge.store.host_list import HostState

PROBE_S = 0.5
SLOTS = 8
PLAIN = PickRequest('a')


def replicas(*busy: int, zone: str = 'a') -> list[Candidate]:
    """Return a replica for each number of own in-flight requests."""
    return [
        Candidate(f'{zone}{number}', zone, own=own, limit=SLOTS)
        for number, own in enumerate(busy)
    ]


class TestPickers(unittest.TestCase):
    """The selection of a replica."""

    def setUp(self):
        """Create a picker with a seeded random source."""
        self.picker = PrefixPicker(random.Random(1))

    def test_busy_replica_is_left_alone(self):
        """A busy replica is not selected; the naive policy selects it."""
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
        """The entry's zone is preferred unless another has a lower load."""
        both = replicas(*near) + replicas(*far, zone='b')
        chosen = {self.picker.pick(both, PLAIN).zone for _ in range(30)}
        self.assertEqual(wanted, chosen)

    @given(st.binary(min_size=1, max_size=8), st.integers(2, 8))
    @settings(max_examples=50)
    def test_prefix_stays_together(self, prefix, count):
        """A prefix stays at one replica, also when another one leaves."""
        idle = replicas(*itertools.repeat(0, count))
        request = PickRequest('a', prefix)
        first = self.picker.pick(idle, request)
        other = next(each for each in idle if each != first)
        left = [each for each in idle if each != other]
        self.assertEqual(first, self.picker.pick(idle, request))
        self.assertEqual(first, self.picker.pick(left, request))

    def test_hot_prefix_spreads(self):
        """Requests with one prefix use every replica before they queue."""
        counts = Counter({f'a{number}': 0 for number in range(4)})
        for _ in range(4 * SLOTS):
            found = [
                Candidate(key, 'a', own=own, limit=SLOTS)
                for key, own in counts.items()
            ]
            counts[self.picker.pick(found, PickRequest('a', b'hot')).key] += 1
        self.assertEqual({SLOTS}, set(counts.values()))

    def test_old_report_is_not_herded_to(self):
        """A low load in an old report does not keep attracting requests."""
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
    @settings(max_examples=100)
    def test_load_grows_with_own(self, own, reported, own_at_report, age_s):
        """An additional own request always increases the load of a replica."""
        less = Candidate('x', 'a', own, reported, own_at_report, age_s, SLOTS)
        more = less._replace(own=own + 1)
        self.assertGreaterEqual(load_of(less), 0)
        self.assertGreater(load_of(more), load_of(less))


class TestOutliers(unittest.TestCase):
    """The ejection of replicas."""

    keys = ('a', 'b', 'c', 'd')

    def setUp(self):
        """Create four healthy replicas."""
        self.clock = ManualClock()
        self.ejector = OutlierEjector(self.clock)
        for _ in range(10):
            for key in self.keys:
                self.ejector.succeeded(key, 0.01)

    def fail(self, key: str, times: int = 3) -> None:
        """Record failures of a replica."""
        for _ in range(times):
            self.ejector.failed(key)

    def test_failing_replica_is_out(self):
        """A failing replica is ejected; the naive detector keeps it."""
        naive = NoEjection()
        for _ in range(9):
            naive.failed('a')
        self.fail('a')
        self.assertEqual({'b', 'c', 'd'}, self.ejector.selectable(self.keys))
        self.assertEqual(set(self.keys), naive.selectable(self.keys))

    def test_slow_replica_is_out(self):
        """A pace far above the median ejects; a slightly slower one stays."""
        self.ejector.succeeded('a', 0.02)
        self.assertIn('a', self.ejector.selectable(self.keys))
        self.ejector.succeeded('a', 0.04)
        self.assertNotIn('a', self.ejector.selectable(self.keys))

    @params(1, 2, 3, 4)
    def test_half_stay(self, failing):
        """Half of the replicas may be chosen, however many fail."""
        for key in self.keys[:failing]:
            self.fail(key)
        allowed = self.ejector.selectable(self.keys)
        self.assertEqual(max(2, 4 - failing), len(allowed))

    def test_trials(self):
        """A replica is tried after its ejection; a failed trial doubles it."""
        self.fail('a')
        self.clock.advance(2.1)
        self.assertIn('a', self.ejector.selectable(self.keys))
        self.fail('a', 1)
        self.clock.advance(2.1)
        self.assertNotIn('a', self.ejector.selectable(self.keys))
        self.clock.advance(2)
        self.ejector.succeeded('a', 0.01)
        self.ejector.succeeded('a', 0.01)
        self.fail('a', 2)
        self.assertIn('a', self.ejector.selectable(self.keys))


class TestRetryBudget(unittest.TestCase):
    """How often a failed request is retried."""

    @params((RetryBudget(0.1), 1.12), (RetryThrice(), 4))
    def test_total_outage(self, policy, wanted):
        """Attempts stay near the share; the naive policy makes four each."""
        requests = 1000
        attempts = 0
        for _ in range(requests):
            policy.record_request()
            attempts += 1
            tries = 1
            while policy.allow(tries):
                tries += 1
                attempts += 1
        self.assertLessEqual(attempts, requests * wanted)
        self.assertGreater(attempts, requests * (wanted - 0.03))

    def test_quiet_time_saves_no_storm(self):
        """The saved tokens are bounded after many successful requests."""
        budget = RetryBudget(0.1)
        for _ in range(100_000):
            budget.record_request()
        allowed = sum(budget.allow(1) for _ in range(1000))
        self.assertEqual(50, allowed)


class TestSubset(unittest.TestCase):
    """The replicas that an entry uses."""

    @params((360, 12_000, 64), (4, 20, 10), (7, 100, 20))
    def test_every_replica_is_known(self, entries, count, size):
        """Each replica is used by nearly the same number of entries."""
        names = [f'entry-{number}' for number in range(entries)]
        hosts = [f'host-{number}' for number in range(count)]
        uses = Counter(hosts)
        for name in names:
            uses.update(choose_subset(name, names, hosts, size))
        fair = entries * size / count
        self.assertGreaterEqual(min(uses.values()) - 1, int(fair))
        self.assertLessEqual(max(uses.values()) - 1, int(fair) + 1)

    def test_few_replicas_are_all_known(self):
        """All replicas are used if there are at most ``size`` of them."""
        self.assertEqual(['a', 'b'], choose_subset('e', ['e'], ['b', 'a'], 2))


class TestMembership(unittest.TestCase):
    """The state of a host from the list and its own responses."""

    @params(
        (HostState.live, 0, 0, False, HostStatus.serving),
        (HostState.live, 0, 4.4, False, HostStatus.serving),
        (HostState.live, 0, 4.6, False, HostStatus.silent),
        (HostState.live, 0, None, False, HostStatus.silent),
        (HostState.live, 0, 0, True, HostStatus.leaving),
        (HostState.leaving, 0, 0, False, HostStatus.leaving),
        (HostState.leaving, 0, 9, True, HostStatus.leaving),
        (None, 29, 0, False, HostStatus.serving),
        (None, 31, 0, False, HostStatus.removed),
        (None, 1, 4.6, False, HostStatus.removed),
        (None, 1, None, False, HostStatus.removed),
        (None, 1, 0, True, HostStatus.leaving),
    )
    def test_word_against_word(self, listed, unlisted, heard, drains, wanted):
        """The state follows from list, silence and drain as in the table."""
        evidence = Evidence(listed, unlisted, heard, drains, PROBE_S)
        self.assertEqual(wanted, host_status(evidence))
