"""Stable hashes: the same in every process and on every host."""

from collections.abc import Iterable

import xxhash


def hash64(text: str, seed: int = 0) -> int:
    """Return the 64-bit xxHash of ``text``."""
    return xxhash.xxh64_intdigest(text.encode(), seed=seed)


def rendezvous(names: Iterable[str], thing: int) -> list[str]:
    """Return ``names`` by rank for ``thing``, the best first.

    Everyone who knows the same names finds the same order, and a name
    that goes moves no other.
    """
    return sorted(names, key=lambda name: hash64(name, thing), reverse=True)
