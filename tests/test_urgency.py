"""Tests of the order of waiting items under overload."""

import unittest
from typing import NamedTuple

from nose2.tools import params

from cactusridge.jobs.run_times import RunTimeEstimator
from cactusridge.jobs.urgency import (
    DueFirst,
    ItemTimes,
    OnTimeFirst,
    Urgency,
    UrgencyClass,
)

RUN_S = 5.4
DUE_S = 18
GIVE_UP_S = 60
SLOTS = 16
JOB_ITEMS = 10
# One job every three seconds requires 18 slots, more than the 16 available.
JOB_EVERY_S = 3.0
JOBS = 20
STEP_S = 0.1


class Done(NamedTuple):
    """Times at which an item was submitted and completed, in seconds."""

    submitted_at: float
    ended_at: float

    @property
    def on_time(self):
        """Whether the item completed by its due time."""
        return self.ended_at <= self.submitted_at + DUE_S


class Overload:
    """Simulates incoming jobs on slots of which some are lost."""

    def __init__(self, urgency: Urgency, lost_share: float) -> None:
        """Order items by ``urgency`` on the remaining slots."""
        self.done: list[Done] = []
        self._urgency = urgency
        self._slots = round(SLOTS * (1 - lost_share))
        self._waiting: list[float] = []

    def play(self) -> list[Done]:
        """Run the simulation; return the times of all items."""
        steps = 0
        while len(self.done) < JOBS * JOB_ITEMS:
            now = steps * STEP_S
            steps += 1
            self._submit(now)
            running = sum(each.ended_at > now for each in self.done)
            for _ in range(min(self._slots - running, len(self._waiting))):
                self._start(now)
        return self.done

    def _submit(self, now: float) -> None:
        number, rest = divmod(round(now / STEP_S), round(JOB_EVERY_S / STEP_S))
        if not rest and number < JOBS:
            self._waiting.extend([now] * JOB_ITEMS)

    def _start(self, now: float) -> None:
        def rank(submitted_at: float) -> tuple[UrgencyClass, float]:
            age_s = now - submitted_at
            times = ItemTimes(DUE_S - age_s, GIVE_UP_S - age_s, RUN_S)
            return self._urgency.rank(times)

        first = min(self._waiting, key=rank)
        self._waiting.remove(first)
        self.done.append(Done(first, now + RUN_S))


def on_time(urgency: Urgency, lost_share: float) -> int:
    """Return how many items completed by their due time."""
    done = Overload(urgency, lost_share).play()
    return sum(each.on_time for each in done)


class TestUrgency(unittest.TestCase):
    """Ranks of items, and the effect of their order under overload."""

    @params(
        (ItemTimes(18, 60, 5), UrgencyClass.on_time),
        (ItemTimes(4, 46, 5), UrgencyClass.late),
        (ItemTimes(4, 46, 3), UrgencyClass.on_time),
        (ItemTimes(-30, 7, 1), UrgencyClass.expiring),
        (ItemTimes(-30, 9, 5), UrgencyClass.expiring),
        (ItemTimes(-30, 12, 5), UrgencyClass.late),
    )
    def test_standing(self, times, wanted):
        """The urgency class depends on due time, give-up time and run time."""
        self.assertEqual(wanted, OnTimeFirst().rank(times)[0])

    @params((0.25, 1.5), (0.5, 2.0))
    def test_more_on_time(self, lost_share, times_more):
        """With lost slots far more items are on time than by due time alone."""
        naive = on_time(DueFirst(), lost_share)
        ours = on_time(OnTimeFirst(), lost_share)
        self.assertGreater(ours, times_more * naive)

    def test_no_worse_with_all_slots(self):
        """With all slots at least as many items are on time as by due time."""
        self.assertGreaterEqual(
            on_time(OnTimeFirst(), 0),
            on_time(DueFirst(), 0),
        )

    @params(0.25, 0.5)
    def test_none_waits_too_long(self, lost_share):
        """Items complete within the give-up time or as fast as by due time."""
        done = Overload(OnTimeFirst(), lost_share).play()
        naive = Overload(DueFirst(), lost_share).play()
        self.assertLessEqual(
            max(each.ended_at - each.submitted_at for each in done),
            max(
                GIVE_UP_S,
                *(each.ended_at - each.submitted_at for each in naive),
            ),
        )


class TestPace(unittest.TestCase):
    """Estimates of the remaining run time of an item."""

    def test_learns(self):
        """The estimate is 0 before the first run, then follows the averages."""
        estimator = RunTimeEstimator()
        self.assertEqual(0, estimator.remaining_s(0))
        estimator.record_run(100, 2.0)
        estimator.record_run(100, 2.0)
        estimator.record_completion(200)
        self.assertAlmostEqual(4.0, estimator.remaining_s(0))
        self.assertAlmostEqual(1.0, estimator.remaining_s(150))
        self.assertEqual(0, estimator.remaining_s(300))
