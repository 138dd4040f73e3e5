"""Decides which parts of prompts crash the replicas that run them."""

from collections.abc import Mapping, Set

from cactusridge.quarantine.strike import QUARANTINE_POINTS, Strike

# Strikes by incarnation key of the replica.
Strikes = Mapping[str, Strike]
# Number of crashes from which parts of the same crashes are all quarantined.
# Before, the next crash is awaited, which tells them apart.
TIED_CRASHES = 5


def guilty_parts(
    strikes: Mapping[str, Strikes], certain: Set[str]
) -> frozenset[str]:
    """Return the keys of the parts to quarantine.

    ``strikes`` are those of parts by key. Strikes by requests in ``certain``,
    which are quarantined as a whole, do not count. A part that others share
    comes with the guilty one: where later parts of prompts, which are more
    specific, account for all its crashes, it is not quarantined. Nor is a part
    whose crashes are some of those of another part.
    """
    suspects = {
        part: counted
        for part, found in strikes.items()
        if _points(counted := _without(found, certain)) >= QUARANTINE_POINTS
    }
    specific = {
        part: found
        for part, found in suspects.items()
        if not _is_explained_by_later(found, suspects)
    }
    return frozenset(
        part
        for part, found in specific.items()
        if not _is_explained(part, specific)
    )


def _without(found: Strikes, certain: Set[str]) -> Strikes:
    return {
        incarnation: strike
        for incarnation, strike in found.items()
        if strike.request not in certain
    }


def _points(found: Strikes) -> int:
    return sum(strike.points for strike in found.values())


def _position(found: Strikes) -> int:
    return max(strike.position for strike in found.values())


def _is_explained_by_later(
    found: Strikes, suspects: Mapping[str, Strikes]
) -> bool:
    """Return whether later parts together account for all crashes."""
    position = _position(found)
    later = (
        other.keys()
        for other in suspects.values()
        if _position(other) > position
    )
    return found.keys() <= set().union(*later)


def _is_explained(part: str, specific: Mapping[str, Strikes]) -> bool:
    """Return whether another part accounts for all crashes and more."""
    crashes = specific[part].keys()
    for other, found in specific.items():
        if crashes < found.keys():
            return True
        tied = other != part and crashes == found.keys()
        if tied and len(crashes) < TIED_CRASHES:
            return True
    return False
