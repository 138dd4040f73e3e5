"""Hashes that are the same in every process and on every host."""

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
    return sorted(names, key=lambda name: hash64(name, key), reverse=True)
