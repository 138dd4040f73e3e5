"""The order in which waiting requests of one service get free slots."""

from collections import Counter, defaultdict
from collections.abc import Hashable
from functools import cache
from typing import Generic, NamedTuple, TypeVar

from cactusridge.routing.fair_queue import FairQueue

# One of this many turns in a row goes to a lower priority if a request of a
# lower priority waits. Lower priorities then cannot starve, and the highest
# one keeps nine tenths of the slots.
LOWER_TURN_EVERY = 10

Waiting = TypeVar('Waiting', bound=Hashable)


class Turn(NamedTuple):
    """What decides when a waiting request has its turn.

    ``priority`` 0 is the highest; ``deadline_at`` is in seconds on the
    monotonic clock.
    """

    priority: int
    organisation: str
    deadline_at: float


class Turns(Generic[Waiting]):
    """Orders waiting requests by priority, organisation and deadline.

    Priorities are strict, except for one turn in ``LOWER_TURN_EVERY``, which
    goes to the lower priority that has had no turn for longest. Within a
    priority the organisations share the turns equally. Within an
    organisation the earliest deadline comes first.
    """

    def __init__(self) -> None:
        """Create an order without requests."""
        # Also empty ones: which organisations have had their turn counts on
        # when no request waits for a moment.
        self._queues: dict[int, FairQueue] = {}
        self._turns: dict[Waiting, Turn] = {}
        # The number of the last turn of each priority.
        self._last_turns: Counter[int] = Counter()
        self._turn_number = 0
        # Turns of the highest priority since a lower one last had a turn.
        self._passed_over = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._turns)

    def push(self, waiting: Waiting, turn: Turn) -> None:
        """Add a request."""
        queue = self._queues.setdefault(turn.priority, FairQueue())
        queue.push(turn.organisation, 1, turn.deadline_at, waiting)
        self._turns[waiting] = turn

    def first(self) -> Waiting | None:
        """Return the request that has the next turn, or None."""
        if not self._turns:
            return None
        return self._queues[self._next_priority()].peek()

    def take(self) -> Waiting:
        """Remove and return the request that has the next turn.

        There must be one.
        """
        priority = self._next_priority()
        waiting = self._waiting_priorities()
        lower_waits = priority < max(waiting)
        is_highest = priority == min(waiting)
        passes_over = is_highest and lower_waits
        self._passed_over = self._passed_over + 1 if passes_over else 0
        self._turn_number += 1
        self._last_turns[priority] = self._turn_number
        taken = self._queues[priority].pop()
        self._turns.pop(taken)
        return taken

    def discard(self, waiting: Waiting) -> bool:
        """Remove a request; return whether it waited."""
        turn = self._turns.get(waiting)
        if turn is None:
            return False
        self._queues[turn.priority].discard(waiting)
        self._turns.pop(waiting)
        return True

    def places(self) -> dict[Waiting, int]:
        """Return how many requests have their turn before each request.

        Of the turns that lower priorities have in between none is counted.
        """
        members: dict[int, dict[Waiting, Turn]] = defaultdict(dict)
        for waiting, turn in self._turns.items():
            members[turn.priority][waiting] = turn
        higher = 0
        found: dict[Waiting, int] = {}
        for _, turns in sorted(members.items()):
            for waiting, place in _fair_places(turns).items():
                found[waiting] = higher + place
            higher += len(turns)
        return found

    def _waiting_priorities(self) -> list[int]:
        return [each for each, queue in self._queues.items() if queue]

    def _next_priority(self) -> int:
        waiting = self._waiting_priorities()
        highest = min(waiting)
        if self._passed_over < LOWER_TURN_EVERY - 1:
            return highest
        lower = (each for each in waiting if each != highest)
        return min(lower, key=self._last_turns.__getitem__, default=highest)


def _fair_places(turns: dict[Waiting, Turn]) -> dict[Waiting, int]:
    """Return the places within one priority.

    Before the request number ``n`` of an organisation, counted from 0, every
    other organisation has up to ``n + 1`` turns.
    """
    sizes = Counter(turn.organisation for turn in turns.values())

    @cache
    def shared_turns(rounds: int) -> int:  # noqa: WPS430
        return sum(min(size, rounds) for size in sizes.values())

    passed: Counter[str] = Counter()
    found = {}
    in_order = sorted(turns, key=lambda waiting: turns[waiting].deadline_at)
    for waiting in in_order:
        organisation = turns[waiting].organisation
        passed[organisation] += 1
        found[waiting] = shared_turns(passed[organisation]) - 1
    return found
