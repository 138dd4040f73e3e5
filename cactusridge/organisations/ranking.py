"""Order in which entries may count an organisation."""

from collections.abc import Iterable

from cactusridge.hashing import hash64, rendezvous
from cactusridge.organisations.limit_messages import Candidate


class Ranking:
    """The rendezvous order of a fixed set of entries; orders are cached."""

    def __init__(self, members: Iterable[Candidate]) -> None:
        """Rank ``members``, which have different names."""
        self.members = frozenset(members)
        self._by_name = {each.name: each for each in self.members}
        self._ranked: dict[str, list[Candidate]] = {}

    def of(self, organisation: str) -> list[Candidate]:
        """Return all members, the one that counts ``organisation`` first."""
        found = self._ranked.get(organisation)
        if found is None:
            names = rendezvous(self._by_name, hash64(organisation))
            found = [self._by_name[each] for each in names]
            self._ranked[organisation] = found
        return found

    def updated(self, members: frozenset[Candidate]) -> 'Ranking':
        """Return the ranking of ``members``: this one if they are the same."""
        return self if members == self.members else Ranking(members)


def is_outranked(organisation: str, own_name: str, entry: Candidate) -> bool:
    """Return whether ``entry`` comes before ``own_name`` if both are listed."""
    names = (entry.name, own_name)
    return rendezvous(names, hash64(organisation))[0] == entry.name
