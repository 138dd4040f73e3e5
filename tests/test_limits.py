"""Rate limits of organisations in fleets of several sizes, with failures."""

import unittest

import gevent
from gevent.server import StreamServer
from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.organisations.errors import OverLimit
from cactusridge.organisations.limit_counter import LimitCounter
from cactusridge.organisations.limit_messages import Candidate, LimitRequest
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.organisations.limiter import FixedShares, NoLimits
from cactusridge.organisations.organisation import Organisation, RateLimit
from cactusridge.organisations.token_bucket import TokenBucket
from cactusridge.peers.exit_check import exited
from cactusridge.peers.limit_requests import LimitRequests
from tests.limits_fleet import Loss
from tests.limits_limiters import BroadcastCounts, by_owners, by_shares
from tests.limits_play import play
from tests.sent_wire import Wire
from tests.store_time import store_clock_at

SEEDS = (1,)
LOSSES = (
    (),
    (Loss(26, 2, 0.5), Loss(33, 4, 0.2)),
    (Loss(27, 1.5, 1),),
    (Loss(27, 5, 1),),
    (Loss(26, 6, 0.2, partitioned=True), Loss(28, 5, 0.17, partitioned=True)),
    (Loss(26, 6, 0.3, partitioned=True, as_group=True),),
    (Loss(26, 6, 0.45, partitioned=True, as_group=True),),
    (Loss(26, 4, 0.2, powered_off=True),),
    tuple(Loss(25 + each * 0.8, 1.2 + each % 4, 0.05) for each in range(12)),
)
LIMIT = RateLimit(10, 10)
REQUEST = LimitRequest('o', LIMIT, 1)


class TestPlayedLimits(unittest.TestCase):
    """Simulations in which two organisations exceed their usual rates."""

    @params(*LOSSES)
    def test_never_over(self, *losses):
        """No window exceeds its bound, whichever entries fail."""
        for seed in SEEDS:
            played = play(28, by_owners, seed, losses)
            self.assertLessEqual(played.over, 0)

    @params((1, 4), (28, 20), (100, 8), (300, 4))
    def test_within_the_limit(self, entries, length_s):
        """Almost no request within its limit is rejected, at any size."""
        played = play(entries, by_owners, 3, length_s=length_s)
        self.assertLess(played.refused, 0.001 * played.within_limit + 1)
        self.assertLessEqual(played.over, 0)

    def test_losses_cost_little(self):
        """Few requests within their limits are rejected during failures.

        Backup owners continue for owners whose processes have ended.
        """
        for losses, most in ((LOSSES[1], 0.08), (LOSSES[8], 0.01)):
            played = [play(28, by_owners, seed, losses) for seed in (7, 8)]
            refused = sum(each.refused for each in played)
            within_limit = sum(each.within_limit for each in played)
            self.assertLess(refused, most * within_limit)

    def test_messages_do_not_grow_with_the_fleet(self):
        """A request costs at most about four datagrams at any fleet size."""
        for entries in (28, 100):
            played = play(entries, by_owners, 4, length_s=4, surge_factor=1)
            self.assertLessEqual(played.messages, 4 * played.within_limit * 1.1)

    def test_against_equal_shares(self):
        """Equal shares reject most of the requests within the limits."""
        owners = play(28, by_owners, 5)
        shares = play(28, by_shares, 5)
        self.assertGreater(shares.refused, 0.5 * shares.within_limit)
        self.assertLess(owners.refused, 0.001 * owners.within_limit + 1)

    def test_against_told_counts(self):
        """Counts that are broadcast afterwards do not stop a surge."""
        self.assertGreater(play(28, BroadcastCounts, 6).over, 100)
        self.assertLessEqual(play(28, by_owners, 6).over, 0)


class TestLimiters(unittest.TestCase):
    """Limiters and token buckets on their own."""

    def test_refusal(self):
        """The error has the seconds until a token is available."""
        clock = ManualClock()
        limiter = FixedShares(lambda: 1, clock)
        organisation = Organisation('o', None, RateLimit(2, 1))
        counted_by = limiter.check(organisation, 1)
        with self.assertRaises(OverLimit) as refused:
            limiter.check(organisation, 1)
        self.assertEqual(0.5, refused.exception.retry_after_s)
        limiter.return_token('o', counted_by)
        limiter.check(organisation, 1)

    def test_no_limit(self):
        """Requests of an organisation without a limit are not counted."""
        FixedShares(lambda: 1, ManualClock()).check(Organisation('o'), 1)
        self.assertEqual(0, NoLimits().take('o', LIMIT, 1))

    @params((0, 0, 1), (0.5, 0, 0.5), (0, 1, 0), (10, 0, 0))
    def test_bucket(self, after_s, tokens, wait_s):
        """A bucket refills at the rate of its limit."""
        bucket = TokenBucket(RateLimit(1, 2), tokens, 0)
        self.assertEqual(wait_s, bucket.take(after_s))

    def test_bucket_is_full_at_its_burst(self):
        """A bucket does not collect more tokens than its burst."""
        bucket = TokenBucket(RateLimit(1, 2), 0, 0)
        taken = [not bucket.take(100) for _ in range(4)]
        self.assertEqual([True, True, False, False], taken)


class TestLimitQuestions(unittest.TestCase):
    """Limit requests between entries over a simulated connection."""

    def setUp(self):
        """Make one of two entries the owner of all organisations."""
        self.clock = ManualClock(100)
        self.wires = Wire(), Wire()
        listed = [Candidate('127.0.0.1:9', 0)]
        owners = [
            LimitOwners(
                own_name,
                lambda: listed,
                store_clock_at(self.clock),
                lambda: True,
                self.clock,
            )
            for own_name in ('127.0.0.1:8', '127.0.0.1:9')
        ]
        questions = [
            LimitRequests(wire, LimitCounter(each, self.clock), each)
            for wire, each in zip(self.wires, owners, strict=True)
        ]
        self.client = questions[0]

    def test_answer(self):
        """Each response reaches the request that it belongs to."""
        here, there = self.wires
        answers = [
            gevent.spawn(self.client.request, '127.0.0.1:9', REQUEST)
            for _ in range(8)
        ]
        gevent.sleep(0)
        here.pass_on(there)
        there.pass_on(here)
        replies = [each.get() for each in answers]
        self.assertTrue(all(each.counted for each in replies))
        self.assertEqual(0, replies[0].wait_s)
        self.assertGreater(replies[-1].wait_s, 0)

    def test_has_ended(self):
        """An entry has ended if connections to it are refused."""
        server = StreamServer(('127.0.0.1', 0), lambda sock, _: sock.close())
        server.start()
        entry = f'127.0.0.1:{server.server_port}'
        self.assertFalse(self.client.has_exited(entry))
        self.assertEqual([], exited([entry]))
        server.stop()
        self.assertTrue(self.client.has_exited(entry))
        self.assertEqual([entry], exited([entry]))

    def test_silence(self):
        """A request to an entry that does not respond returns None."""
        self.assertIsNone(self.client.request('127.0.0.1:9', REQUEST))
