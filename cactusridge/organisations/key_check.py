"""Which organisation a caller's key belongs to."""

from collections.abc import Callable
from typing import NamedTuple

from cactusridge.organisations.directory import Directory
from cactusridge.organisations.errors import KeysUnsure, UnknownKey
from cactusridge.organisations.key_lease import KeyLease
from cactusridge.organisations.keys import bearer_key, key_digest
from cactusridge.organisations.organisation import Organisation


class KeyHolder(NamedTuple):
    """The digest of a caller's key, and who holds it."""

    digest: str
    organisation: Organisation


class KeyCheck:
    """Lets callers in by their keys while the keys may be gone by."""

    def __init__(
        self,
        lease: KeyLease,
        behind: Callable[[], bool],
    ) -> None:
        """Go by keys while ``lease`` is valid.

        ``behind`` tells whether a key that is not known may be a new one.
        """
        self._lease = lease
        self._behind = behind

    def holder(
        self,
        directory: Directory,
        authorization: str,
    ) -> KeyHolder:
        """Return whose key this is.

        Raises UnknownKey or KeysUnsure.
        """
        key = bearer_key(authorization)
        if key is None:
            raise UnknownKey('send Authorization: Bearer KEY')
        self.check_lease()
        digest = key_digest(key)
        found = directory.by_digest(digest)
        if found is None and self._behind():
            raise KeysUnsure('the key may be newer than what is known here')
        if found is None:
            raise UnknownKey('the key is unknown')
        return KeyHolder(digest, found)

    def check_lease(self) -> None:
        """Return if the keys may be gone by, else raise KeysUnsure."""
        if not self._lease.valid:
            raise KeysUnsure
