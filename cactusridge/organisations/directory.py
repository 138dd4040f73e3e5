"""Index of organisations by API key and name, for one catalog version."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from cactusridge.organisations.organisation import Organisation


class KeyOwner(NamedTuple):
    """An organisation and the SHA-256 digests (hex) of its API keys."""

    organisation: Organisation
    digests: tuple[str, ...]


class Directory:
    """Looks up organisations by key digest and by name; immutable."""

    def __init__(self, holders: Iterable[KeyOwner]) -> None:
        """Index ``holders`` by key digest and by organisation name."""
        listed = tuple(holders)
        self._by_digest: Mapping[str, Organisation] = MappingProxyType(
            {
                digest: holder.organisation
                for holder in listed
                for digest in holder.digests
            },
        )
        self._by_name: Mapping[str, Organisation] = MappingProxyType(
            {each.organisation.name: each.organisation for each in listed},
        )

    def by_digest(self, digest: str) -> Organisation | None:
        """Return the organisation whose key has ``digest``, or None."""
        return self._by_digest.get(digest)

    def named(self, name: str) -> Organisation | None:
        """Return the organisation called ``name``, or None."""
        return self._by_name.get(name)

    def every(self) -> list[Organisation]:
        """Return all organisations of this catalog version."""
        return list(self._by_name.values())
