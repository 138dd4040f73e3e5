"""Decides which entry gets a batch slot that several entries want.

When a slot becomes free while several entries have items waiting, all of
them learn of it within a few milliseconds, and each would send an item.
The replica would run one of them; the others would be preempted after
their prompts had been processed in vain, and their connections lost. So an
entry first broadcasts to its peers that it claims the slot, waits until
the claims of its peers must have arrived, and sends the item only if its
claim is granted. All entries compute the granted claims by the same rule.
"""

import abc
from collections import Counter
from collections.abc import Mapping

from cactusridge.hashing import hash64, rendezvous
from cactusridge.peers.load import Load

# Time from a claim to its decision, in seconds: the longest latency between
# entries (1.4 ms) and two iterations of a busy event loop (2 ms each). The
# wait is short compared with the seconds for which an item runs.
CLAIM_WAIT_S = 0.006
# The same time in fleets of several cells, whose entries may get only a
# fifth of a processor each.
LARGE_FLEET_CLAIM_WAIT_S = 0.015


def granted_claims(
    slots: int,
    incarnation: str,
    loads: Mapping[str, Load],
) -> Counter[str]:
    """Return the number of granted claims on a replica by entry name.

    ``incarnation`` is the key of the replica's incarnation; ``loads`` maps each
    entry to its requests and claims at the replica. The first claim of
    each entry precedes the second claim of any entry. Among claims of
    equal rank the order of the entries differs between replicas, so that
    no entry is always last.
    """
    free = slots - sum(load.total for load in loads.values())
    order = rendezvous(loads, hash64(incarnation))
    most = max((load.claims for load in loads.values()), default=0)
    claims = [
        name
        for number in range(most)
        for name in order
        if loads[name].claims > number
    ]
    return Counter(claims[: max(0, free)])


class ClaimRule(abc.ABC):
    """Decides which of the entries that claim a slot may use it."""

    @abc.abstractmethod
    def decision_delay_s(self, large: bool) -> float:
        """Return the time from a claim to its decision, in seconds.

        ``large`` is True if the fleet has several cells.
        """

    @abc.abstractmethod
    def grants(
        self,
        entry: str,
        slots: int,
        incarnation: str,
        loads: Mapping[str, Load],
    ) -> bool:
        """Return whether a claim of ``entry`` on a replica is granted.

        ``incarnation`` is the key of the replica's incarnation; ``loads`` maps
        each entry to its requests and claims at the replica.
        """


class AnnouncedClaims(ClaimRule):
    """Grants the claims that ``granted_claims`` returns at every entry."""

    def decision_delay_s(self, large: bool) -> float:
        """Return the time in which the claims of all peers must arrive."""
        return LARGE_FLEET_CLAIM_WAIT_S if large else CLAIM_WAIT_S

    def grants(
        self,
        entry: str,
        slots: int,
        incarnation: str,
        loads: Mapping[str, Load],
    ) -> bool:
        """Return whether at least one claim of ``entry`` is granted."""
        return granted_claims(slots, incarnation, loads)[entry] > 0


class GrantAllClaims(ClaimRule):
    """Naive rule: grants every claim.

    Surplus items are preempted at the replica afterwards.
    """

    def decision_delay_s(self, large: bool) -> float:
        """Return 0, since no claims of peers are awaited."""
        return 0

    def grants(
        self,
        entry: str,
        slots: int,
        incarnation: str,
        loads: Mapping[str, Load],
    ) -> bool:
        """Return True."""
        return True
