"""Which entry gets a batch slot that several want at the same time.

Answers slots that come free while more than one entry has items waiting:
all hear of one within a few milliseconds, and each would send an item.
The replica runs one, the others are cut again, each after its prompt was
read for nothing and its connection lost. So an entry first tells its
peers that it claims the slot, waits until their claims must have come,
and sends only if its claim is among those that every entry finds kept.
"""

import abc
from collections import Counter
from collections.abc import Mapping

from cactusridge.hashing import hash64, rendezvous
from cactusridge.peers.load import Load

# How long a claim waits for others, in seconds: the longest way between
# entries (1.4 ms) and two turns of a busy event loop (2 ms each). An
# item runs for seconds.
CLAIM_S = 0.006
# In large fleets, whose entries may have a fifth of the processor.
FAR_CLAIM_S = 0.015


def claims_kept(
    slots: int,
    life: str,
    loads: Mapping[str, Load],
) -> Counter[str]:
    """Return by entry how many of its claims on a replica are kept.

    ``loads`` has each entry's requests and claims there. Each entry's
    first claim goes before anybody's second; between equals the order
    differs from replica to replica, so that no entry is always last.
    """
    free = slots - sum(load.total for load in loads.values())
    order = rendezvous(loads, hash64(life))
    most = max((load.claims for load in loads.values()), default=0)
    claims = [
        name
        for number in range(most)
        for name in order
        if loads[name].claims > number
    ]
    return Counter(claims[: max(0, free)])


class ClaimRule(abc.ABC):
    """Decides which of the entries that want a slot gets it."""

    @abc.abstractmethod
    def wait_s(self, large: bool) -> float:
        """Return how long a claim waits for others, in seconds.

        ``large`` is whether the fleet has several cells.
        """

    @abc.abstractmethod
    def keeps(
        self,
        entry: str,
        slots: int,
        life: str,
        loads: Mapping[str, Load],
    ) -> bool:
        """Tell whether a claim of ``entry`` on a replica is kept."""


class ToldClaims(ClaimRule):
    """Entries tell their claims and decide alike; see ``claims_kept``."""

    def wait_s(self, large: bool) -> float:
        """Return the time in which all claims must have come."""
        return FAR_CLAIM_S if large else CLAIM_S

    def keeps(
        self,
        entry: str,
        slots: int,
        life: str,
        loads: Mapping[str, Load],
    ) -> bool:
        """Tell whether it is among those that everybody finds kept."""
        return claims_kept(slots, life, loads)[entry] > 0


class NoClaims(ClaimRule):
    """Naive: whoever sees a free slot takes it; yielding sorts it out."""

    def wait_s(self, large: bool) -> float:
        """Return that there is nothing to wait for."""
        return 0

    def keeps(
        self,
        entry: str,
        slots: int,
        life: str,
        loads: Mapping[str, Load],
    ) -> bool:
        """Tell that it is kept."""
        return True
