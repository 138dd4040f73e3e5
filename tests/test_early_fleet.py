"""A simulated fleet in which an entry starts before the store replies to it.

The entry dated its report of an outage by the clock of its host. Where that was
ahead of the store's, the report never expired at its peers, and hid that the
entry had the store again.
"""

import unittest
from unittest import mock

from nose2.tools import params

from cactusridge.organisations.errors import LimitUnavailable
from cactusridge.store.store_clock import MS, StoreClock
from tests import limits_process
from tests.limits_chaos import EARLY, KINDS, LIMIT, NAMES, Chaos
from tests.limits_fleet import Fleet
from tests.limits_limiters import by_owners

ENTRIES = 6
STEP_S = 0.05
START_S = 20
# Seconds for which the entry lacks the store after its start.
LACKS_S = 2
SETTLE_S = 10
# Longer than the lease of the others.
OUTAGE_S = 8
SEEDS = range(1000, 1006)
LOST_SHARES = (0, 0, 0.1, 0.3)


class HostTime(StoreClock):
    """Shows the time of the host until the first reply, as it was."""

    def __init__(self, clock):
        """Take the start of ``clock`` for that of the store's clock."""
        super().__init__(clock)
        self.note(clock.monotonic() * MS)


class EarlyFleet:
    """An entry starts without the store, lacks it again, then alone has it."""

    def __init__(self, number: int) -> None:
        """Let the entry with this number restart."""
        self.fleet = Fleet(ENTRIES, by_owners, 1)
        self.early = self.fleet.entries[number]
        self.doubles = 0

    @property
    def counting_on(self) -> list[str]:
        """Return the entries that count without the store.

        None may while another one has it.
        """
        return [
            each.name
            for each in self.fleet.entries
            if each.process.outage.holds()
        ]

    def play(self) -> None:
        """Count in ``doubles`` how often two entries count at a time."""
        self._run(START_S)
        self.early.set_lost(lost=True, powered_off=False)
        self.early.store_lost = True
        self.early.set_lost(lost=False, powered_off=False)
        self._run(LACKS_S)
        self.early.store_lost = False
        self._run(SETTLE_S)
        # It passes on the reports that it has.
        self.early.store_lost = True
        self._run(LACKS_S)
        self.early.store_lost = False
        self._run(SETTLE_S)
        for each in self.fleet.entries:
            each.store_lost = each is not self.early
        self._run(OUTAGE_S)

    def _run(self, length_s: float) -> None:
        clock = self.fleet.clock
        end = clock.now + length_s
        while clock.now < end:
            self.fleet.advance_to(clock.now + STEP_S, ())
            for name in NAMES:
                entry = self.fleet.rng.choice(self.fleet.entries)
                _take(entry, name)
                self.doubles += self.fleet.holders(name) > 1


def _take(entry, name: str) -> None:
    try:
        entry.limiter.take(name, LIMIT, 1)
    except LimitUnavailable:
        return


class TestEarlyEntry(unittest.TestCase):
    """Hosts whose clocks are behind, equal to and ahead of the store's."""

    @params(0, 1, 2)
    def test_one_holder(self, number):
        """No two entries count, and none without the store."""
        found = EarlyFleet(number)
        found.play()
        self.assertEqual((0, []), (found.doubles, found.counting_on))

    def test_found(self):
        """The play finds a clock that is trusted before the first reply."""
        with mock.patch.object(limits_process, 'StoreClock', HostTime):
            found = EarlyFleet(2)
            found.play()
        self.assertTrue(found.counting_on)

    @params(*SEEDS)
    def test_chaos(self, seed):
        """Nor among random stops, freezes and outages."""
        found = Chaos(
            5 + seed % 5, seed, LOST_SHARES[seed % 4], (*KINDS, EARLY, EARLY)
        )
        found.run(30)
        self.assertEqual([], found.doubles)
