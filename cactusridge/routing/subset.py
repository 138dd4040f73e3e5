"""Selects the replicas that an entry uses in a large fleet."""

from collections.abc import Sequence

from cactusridge.hashing import hash64


def choose_subset(
    entry: str,
    entries: Sequence[str],
    replicas: Sequence[str],
    size: int,
) -> list[str]:
    """Return about ``size`` of ``replicas`` for ``entry``.

    The replicas form a ring in the order of their hashes. Each entry takes a
    contiguous run of the ring, whose start depends on its rank among
    ``entries``. Every replica is therefore used by nearly the same number of
    entries, and a host that joins or leaves changes only the ends of the runs.
    """
    if len(replicas) <= size:
        return sorted(replicas)
    ring = sorted(replicas, key=hash64)
    ranked_entries = sorted({*entries, entry}, key=hash64)
    start = ranked_entries.index(entry) * len(ring) // len(ranked_entries)
    return [ring[(start + step) % len(ring)] for step in range(size)]
