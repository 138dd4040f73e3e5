"""How soon waiting requests of one entry are expected to be served."""

from typing import NamedTuple


class Pace(NamedTuple):
    """The expected interval between turns, and the time that one takes.

    ``turn_s`` is the time from one turn of this entry to the next, ``slot_s``
    the time that a request holds a slot. Both are in seconds.
    """

    turn_s: float
    slot_s: float

    def served_in_s(self, place: int, wait_s: float = 0) -> float:
        """Return the expected time to the end of the answer, in seconds.

        ``place`` is the number of requests that have their turn before,
        ``wait_s`` the expected wait for the next slot.
        """
        return wait_s + place * self.turn_s + self.slot_s


def shared_pace(
    slot_s: float,
    slots: int,
    replicas: int,
    entries: int,
) -> Pace:
    """Return the pace of one of ``entries`` that share ``replicas`` evenly.

    Each replica has ``slots``, each of which a request holds for ``slot_s``
    seconds.
    """
    all_slots = max(1, slots) * max(1, replicas)
    return Pace(slot_s * max(1, entries) / all_slots, slot_s)
