"""Claims of several entries on the same free slot."""

import heapq
import itertools
import random
import unittest
from collections import Counter
from typing import Any, NamedTuple

from nose2.tools import params

from cactusridge.dispatch.claims import CLAIM_WAIT_S, granted_claims
from cactusridge.dispatch.preemption import free_batch_slots
from cactusridge.peers.load import Load

SLOTS = 8
ENTRIES = tuple(f'10.0.{number}.1:80' for number in range(9))
# The longest latency between entries and the longest iteration of a busy
# event loop, in seconds.
LATENCY_S = 0.0014
LOOP_S = 0.002
FREED = 200


class Event(NamedTuple):
    """A simulated event at ``entry`` at the time ``at`` in seconds.

    ``what`` is one of ``freed`` (the slot became free), ``told`` (the
    counts of ``sender`` arrived) and ``settle`` (a claim is decided).
    """

    at: float
    number: int
    what: str
    entry: str
    sender: str = ''
    load: Load = Load()


class FreedSlots:
    """Simulates nine entries with items and a replica with one free slot.

    Each entry learns of the slot within one iteration of its event loop,
    and receives the counts of its peers after the latency between them.
    """

    def __init__(self, wait_s: float, seed: int) -> None:
        """Decide each claim ``wait_s`` seconds after it was made."""
        self.sent = 0
        self._wait_s = wait_s
        self._replica = f'replica-{seed}'
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._received = {
            name: dict.fromkeys(ENTRIES, Load()) for name in ENTRIES
        }
        self._events: list[Event] = []

    def play(self) -> int:
        """Free the slot and return how many items were sent."""
        for name in ENTRIES:
            self._schedule(0, 'freed', name)
        while self._events:
            event = heapq.heappop(self._events)
            if event.what == 'told':
                self._received[event.entry][event.sender] = event.load
            elif event.what == 'freed':
                self._claim(event)
            else:
                self._settle(event)
        return self.sent

    def _claim(self, event: Event) -> None:
        seen = self._received[event.entry].values()
        counts = Load(*map(sum, zip(*seen, strict=True)))
        if free_batch_slots(1, counts):
            self._broadcast(event, Load(0, 0, 1))
            settle = event._replace(at=event.at + self._wait_s, what='settle')
            heapq.heappush(self._events, settle)

    def _settle(self, event: Event) -> None:
        seen = self._received[event.entry]
        kept = granted_claims(1, self._replica, seen)[event.entry]
        self.sent += kept
        self._broadcast(event, Load(0, kept, 0))

    def _broadcast(self, event: Event, load: Load) -> None:
        self._received[event.entry][event.entry] = load
        for peer in ENTRIES:
            if peer != event.entry:
                self._schedule(
                    event.at + LATENCY_S, 'told', peer, event.entry, load
                )

    def _schedule(self, at: float, *rest: Any) -> None:
        at += self._rng.uniform(0, LOOP_S)
        heapq.heappush(self._events, Event(at, next(self._numbers), *rest))


def sent_for(wait_s: float) -> list[int]:
    """Return how many items are sent for each slot that becomes free."""
    return [FreedSlots(wait_s, seed).play() for seed in range(FREED)]


class TestClaims(unittest.TestCase):
    """Exactly one of the claiming entries gets a free slot."""

    @params(
        ({'a': Load(0, 7, 1), 'b': Load(0, 0, 1)}, 1),
        ({'a': Load(0, 6, 2), 'b': Load(0, 0, 2)}, 2),
        ({'a': Load(8, 0, 1)}, 0),
        ({'a': Load(0, 0, 3)}, 3),
        ({'a': Load(12, 0, 3), 'b': Load()}, 0),
    )
    def test_as_many_as_fit(self, loads, wanted):
        """As many claims are granted as slots are free."""
        kept = granted_claims(SLOTS, 'x', loads)
        self.assertEqual(wanted, sum(kept.values()))

    def test_in_turn(self):
        """No entry gets a second slot before each entry has one."""
        loads = {name: Load(0, 0, 3) for name in 'abcd'}
        self.assertEqual(
            Counter('abcd'),
            granted_claims(4, 'x', loads),
        )

    def test_no_entry_is_always_last(self):
        """The order of equal claims differs between replicas."""
        loads = {name: Load(0, 0, 1) for name in ENTRIES}
        kept = [granted_claims(1, f'replica-{n}', loads) for n in range(FREED)]
        winners = set(itertools.chain.from_iterable(kept))
        self.assertEqual(set(ENTRIES), winners)

    def test_freed_slots_are_taken_once(self):
        """Almost no surplus items are sent; without a wait most are surplus."""
        self.assertGreater(sum(sent_for(0)), 3 * FREED)
        settled = sent_for(CLAIM_WAIT_S)
        self.assertEqual(1, min(settled))
        self.assertLess(sum(settled), 1.02 * FREED)
