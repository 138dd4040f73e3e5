"""Several entries after the same free slot."""

import heapq
import itertools
import random
import unittest
from collections import Counter
from typing import Any, NamedTuple

from nose2.tools import params

from cactusridge.dispatch.claims import CLAIM_WAIT_S, granted_claims
from cactusridge.dispatch.yielding import room
from cactusridge.peers.load import Load

SLOTS = 8
ENTRIES = tuple(f'10.0.{number}.1:80' for number in range(9))
# The longest way between entries and the longest turn of a busy event
# loop, in seconds.
WAY_S = 0.0014
TURN_S = 0.002
FREED = 200


class Word(NamedTuple):
    """What reaches an entry, and when."""

    at: float
    number: int
    what: str
    entry: str
    sender: str = ''
    load: Load = Load()


class FreedSlots:
    """Nine entries with items to run; the one slot of a replica is free.

    Everybody hears of it within a turn of its event loop, and of each
    other's counts after the way between them.
    """

    def __init__(self, wait_s: float, seed: int) -> None:
        """Send an item ``wait_s`` after its claim, if that is kept."""
        self.sent = 0
        self._wait_s = wait_s
        self._replica = f'replica-{seed}'
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._heard = {name: dict.fromkeys(ENTRIES, Load()) for name in ENTRIES}
        self._todo: list[Word] = []

    def play(self) -> int:
        """Free the slot; return how many items were sent."""
        for name in ENTRIES:
            self._later(0, 'freed', name)
        while self._todo:
            word = heapq.heappop(self._todo)
            if word.what == 'told':
                self._heard[word.entry][word.sender] = word.load
            elif word.what == 'freed':
                self._claim(word)
            else:
                self._settle(word)
        return self.sent

    def _claim(self, word: Word) -> None:
        seen = self._heard[word.entry].values()
        counts = Load(*map(sum, zip(*seen, strict=True)))
        if room(1, counts):
            self._tell(word, Load(0, 0, 1))
            settle = word._replace(at=word.at + self._wait_s, what='settle')
            heapq.heappush(self._todo, settle)

    def _settle(self, word: Word) -> None:
        seen = self._heard[word.entry]
        kept = granted_claims(1, self._replica, seen)[word.entry]
        self.sent += kept
        self._tell(word, Load(0, kept, 0))

    def _tell(self, word: Word, load: Load) -> None:
        self._heard[word.entry][word.entry] = load
        for peer in ENTRIES:
            if peer != word.entry:
                self._later(word.at + WAY_S, 'told', peer, word.entry, load)

    def _later(self, at: float, *rest: Any) -> None:
        at += self._rng.uniform(0, TURN_S)
        heapq.heappush(self._todo, Word(at, next(self._numbers), *rest))


def sent_for(wait_s: float) -> list[int]:
    """Return how many items are sent for each slot that comes free."""
    return [FreedSlots(wait_s, seed).play() for seed in range(FREED)]


class TestClaims(unittest.TestCase):
    """One of those after a slot gets it, and it is not left empty."""

    @params(
        ({'a': Load(0, 7, 1), 'b': Load(0, 0, 1)}, 1),
        ({'a': Load(0, 6, 2), 'b': Load(0, 0, 2)}, 2),
        ({'a': Load(8, 0, 1)}, 0),
        ({'a': Load(0, 0, 3)}, 3),
        ({'a': Load(12, 0, 3), 'b': Load()}, 0),
    )
    def test_as_many_as_fit(self, loads, wanted):
        """Claims are kept while slots are free."""
        kept = granted_claims(SLOTS, 'x', loads)
        self.assertEqual(wanted, sum(kept.values()))

    def test_in_turn(self):
        """Nobody gets a second slot before each has got one."""
        loads = {name: Load(0, 0, 3) for name in 'abcd'}
        self.assertEqual(
            Counter('abcd'),
            granted_claims(4, 'x', loads),
        )

    def test_no_entry_is_always_last(self):
        """Between equals each replica has another order."""
        loads = {name: Load(0, 0, 1) for name in ENTRIES}
        kept = [granted_claims(1, f'replica-{n}', loads) for n in range(FREED)]
        winners = set(itertools.chain.from_iterable(kept))
        self.assertEqual(set(ENTRIES), winners)

    def test_freed_slots_are_taken_once(self):
        """Nearly no run is sent in vain; without waiting most are."""
        self.assertGreater(sum(sent_for(0)), 3 * FREED)
        settled = sent_for(CLAIM_WAIT_S)
        self.assertEqual(1, min(settled))
        self.assertLess(sum(settled), 1.02 * FREED)
