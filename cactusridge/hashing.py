"""Hashes that are the same in every process and on every host."""

import itertools
from collections.abc import Iterable

import xxhash


def hash64(text: str, seed: int = 0) -> int:
    """Return the 64-bit xxHash of ``text``."""
    return xxhash.xxh64_intdigest(text.encode(), seed=seed)


def rendezvous(names: Iterable[str], key: int) -> list[str]:
    """Return ``names`` in their rendezvous order for ``key``, best first.

    All processes that have the same names compute the same order, and
    removing a name does not change the order of the others.
    """
    # Calls xxhash directly, since this runs for each name of a large fleet.
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(name.encode(), seed=key),
        reverse=True,
    )


def is_among_first(
    count: int, name: str, others: Iterable[str], key: int
) -> bool:
    """Return whether ``name`` is among the first ``count`` for ``key``.

    The order is the rendezvous order of ``name`` and ``others``. The search
    stops as soon as ``count`` names come before ``name``.
    """
    own = hash64(name, key)
    before = (each for each in others if hash64(each, key) > own)
    return sum(1 for _ in itertools.islice(before, count)) < count
