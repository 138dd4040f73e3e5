"""Which organisation holds which key, in one version of the configuration."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from cactusridge.organisations.organisation import Organisation


class Holder(NamedTuple):
    """An organisation and the digests of its keys."""

    organisation: Organisation
    digests: tuple[str, ...]


class Directory:
    """Finds organisations by key and by name."""

    def __init__(self, holders: Iterable[Holder]) -> None:
        """Index the keys of ``holders``."""
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
        """Return the organisation that holds the key of a digest."""
        return self._by_digest.get(digest)

    def named(self, name: str) -> Organisation | None:
        """Return the organisation called ``name``."""
        return self._by_name.get(name)

    def every(self) -> list[Organisation]:
        """Return all organisations."""
        return list(self._by_name.values())
