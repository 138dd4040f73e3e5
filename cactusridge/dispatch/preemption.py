"""Computes how many batch requests an entry preempts or starts.

The rules deal with bursts of online requests at replicas that are full of
batch work. An online request that waits for a batch request to end waits
for seconds; one that waits for it to be cancelled waits only for the next
step of the replica, some milliseconds. Every entry decides on its own from
the counts that entries send to each other, so the rule must give the same
result at all entries for the same counts. The entry with the most batch
requests at a replica preempts first; its name decides between equals.
"""

from collections.abc import Mapping

from cactusridge.peers.load import Load


def preemption_counts(
    slots: int,
    loads: Mapping[str, Load],
) -> dict[str, int]:
    """Return the number of batch requests to preempt by entry name.

    ``loads`` maps each entry to its requests at the replica. The requests
    beyond ``slots`` are removed one by one, each time from the entry that
    has the most batch requests left.
    """
    batch = {name: load.batch for name, load in loads.items()}
    excess = sum(load.total for load in loads.values()) - slots
    shares = dict.fromkeys(batch, 0)
    for _ in range(min(excess, sum(batch.values()))):
        _, name = max((count, each) for each, count in batch.items())
        batch[name] -= 1
        shares[name] += 1
    return shares


def free_batch_slots(slots: int, load: Load) -> int:
    """Return how many more batch requests may start at a replica now."""
    return max(0, slots - load.total - load.claims)
