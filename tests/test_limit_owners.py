"""Which entry counts an organisation, and with how many tokens it starts."""

import unittest

from cactusridge.clock import ManualClock
from cactusridge.jobs.membership_start import MS_PER_S
from cactusridge.organisations.limit_copies import BACKUP_BURST
from cactusridge.organisations.limit_count import BURST_TOLERANCE
from cactusridge.organisations.limit_counter import LimitCounter
from cactusridge.organisations.limit_messages import Candidate, LimitRequest
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.organisations.member_ages import PEER_READ_MS, SETTLE_MS
from cactusridge.organisations.organisation import RateLimit
from tests.store_time import store_clock_at

LIMIT = RateLimit(10, 10)
REQUEST = LimitRequest('o', LIMIT, 1)


class TestOwners(unittest.TestCase):
    """Which entries count requests while entries join and leave."""

    def setUp(self):
        """List two entries that have been members for a long time."""
        self.clock = ManualClock(100)
        self.is_current = True
        self.listed = [Candidate('a:1', 0), Candidate('b:1', 0)]

    def owners(self, own_name='a:1'):
        """Return the owners as seen by the entry ``own_name``."""
        found = LimitOwners(
            own_name,
            lambda: self.listed,
            store_clock_at(self.clock),
            lambda: self.is_current,
            self.clock,
        )
        found.update()
        return found

    def held(self, own_name):
        """Return the organisations of which an entry is the owner."""
        owners = self.owners(own_name)
        names = [f'o{number}' for number in range(40)]
        return {each for each in names if owners.owned_s(each) is not None}

    def test_one_home_each(self):
        """Every organisation has exactly one owner."""
        one, two = self.held('a:1'), self.held('b:1')
        self.assertEqual(40, len(one | two))
        self.assertFalse(one & two)

    def test_without_the_store(self):
        """An entry that cannot renew its row counts no organisation."""
        self.is_current = False
        self.assertFalse(self.held('a:1'))

    def test_newcomer(self):
        """A new entry counts only after all others have read its row."""
        before = self.held('a:1')
        since_ms = int(self.clock.now * MS_PER_S)
        self.listed.append(Candidate('c:1', since_ms))
        self.assertEqual(before, self.held('a:1'))
        self.assertFalse(self.held('c:1'))
        self.clock.advance((SETTLE_MS + 1) / MS_PER_S)
        self.assertLess(self.held('a:1'), before)
        self.assertFalse(self.held('c:1'))
        self.clock.advance(PEER_READ_MS / MS_PER_S)
        self.assertTrue(self.held('c:1'))

    def held_when(self, own_name, *announced):
        """Return the organisations of an entry that knows announcements."""
        owners = self.owners(own_name)
        for entry in announced:
            is_own = entry.name == own_name
            owners.announced.note(
                entry, owners.store_clock.now_ms(), counts=is_own
            )
        owners.update()
        names = [f'o{number}' for number in range(40)]
        return {each for each in names if owners.owned_s(each) is not None}

    def test_all_are_new(self):
        """After a restart of the whole fleet entries count once confirmed.

        Each entry then knows the others, also while its list lacks them.
        """
        now_ms = int(self.clock.now * MS_PER_S)
        one, two = (Candidate(each, now_ms) for each in ('a:1', 'b:1'))
        self.listed = [one, two]
        self.assertFalse(self.held('a:1') | self.held('b:1'))
        held_by_two = self.held_when('b:1', two)
        for listed in ([one], [one, two]):
            self.listed = listed
            held = self.held_when('a:1', one, two)
            self.assertEqual(40, len(held | held_by_two))
            self.assertFalse(held & held_by_two)

    def test_a_taker_starts_with_little(self):
        """A new owner does not admit a full burst once more."""
        counter = LimitCounter(self.owners(), self.clock)
        name = next(iter(self.held('a:1')))
        request = REQUEST._replace(name=name)
        passed = [not counter.count(request).wait_s for _ in range(40)]
        self.assertLess(sum(passed), BURST_TOLERANCE + LIMIT.burst / 2)

    def test_stand_in_goes_on(self):
        """A backup owner continues with the tokens that the owner had left.

        It does so once the owner's process is known to have exited, and
        also when it becomes the owner itself.
        """
        one, two = self.owners('a:1'), self.owners('b:1')
        self.clock.advance(10)
        counter, other = (
            LimitCounter(one, self.clock),
            LimitCounter(two, self.clock),
        )
        counter.on_counted(other.store_copy)
        request = REQUEST._replace(name=next(iter(self.held('a:1'))))
        for _ in range(8):
            self.assertEqual(0, counter.count(request).wait_s)
        backup_request = request._replace(as_backup=True)
        passed = [not other.count(backup_request).wait_s for _ in range(40)]
        self.assertEqual(BACKUP_BURST, sum(passed))
        backup_request = backup_request._replace(owners_exited=True)
        self.assertFalse(other.count(request).counted)
        passed = [not other.count(backup_request).wait_s for _ in range(40)]
        self.assertEqual(LIMIT.burst + BURST_TOLERANCE - 8, sum(passed))
        self.listed = [Candidate('b:1', 0)]
        two.update()
        self.assertTrue(other.count(request).wait_s)

    def test_newer_limit(self):
        """A lower limit applies from the first request that contains it."""
        counter = LimitCounter(self.owners(), self.clock)
        self.clock.advance(10)
        request = REQUEST._replace(name=next(iter(self.held('a:1'))))
        counter.count(request)
        lower = request._replace(limit=RateLimit(1, 1), version=2)
        passed = [not counter.count(lower).wait_s for _ in range(20)]
        self.assertEqual(1 + BURST_TOLERANCE, sum(passed))
