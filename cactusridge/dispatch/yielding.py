"""How many batch requests an entry ends or starts at a replica.

Answers bursts of online requests that meet replicas full of batch work:
an online request that waits for a batch request to end waits seconds, one
that waits for it to be cancelled waits for the replica's next step, some
milliseconds. Every entry decides for itself from the counts that entries
tell each other, so the rule has to give each the same answer from the
same counts: the excess is taken off by the entry with the most batch
requests there, the name deciding between equals.
"""

from collections.abc import Mapping

from cactusridge.peers.load import Load


def shares_to_yield(
    slots: int,
    loads: Mapping[str, Load],
) -> dict[str, int]:
    """Return by entry how many batch requests it ends at a replica.

    ``loads`` has each entry's requests there. What is over the slots is
    taken off one by one where most are left.
    """
    batch = {name: load.batch for name, load in loads.items()}
    excess = sum(load.total for load in loads.values()) - slots
    shares = dict.fromkeys(batch, 0)
    for _ in range(min(excess, sum(batch.values()))):
        _, name = max((count, each) for each, count in batch.items())
        batch[name] -= 1
        shares[name] += 1
    return shares


def room(slots: int, load: Load) -> int:
    """Return how many batch requests may start at a replica now."""
    return max(0, slots - load.total - load.claims)
