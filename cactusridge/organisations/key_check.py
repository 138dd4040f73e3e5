"""Authentication of callers by their API keys."""

from collections.abc import Callable
from typing import NamedTuple

from cactusridge.organisations.directory import Directory
from cactusridge.organisations.errors import KeysUnconfirmed, UnknownKey
from cactusridge.organisations.key_lease import KeyLease
from cactusridge.organisations.keys import bearer_key, key_digest
from cactusridge.organisations.organisation import Organisation


class KeyHolder(NamedTuple):
    """The SHA-256 digest (hex) of a caller's key and its organisation."""

    digest: str
    organisation: Organisation


class KeyCheck:
    """Authenticates callers while this entry's key lease is valid."""

    def __init__(
        self,
        lease: KeyLease,
        maybe_stale: Callable[[], bool],
    ) -> None:
        """Accept keys while ``lease`` is valid.

        ``maybe_stale`` returns whether this entry's catalog may be out of
        date, so that an unknown key may be one that was added recently.
        """
        self._lease = lease
        self._maybe_stale = maybe_stale

    def holder(
        self,
        directory: Directory,
        authorization: str,
    ) -> KeyHolder:
        """Return the holder of the key in an ``Authorization`` header.

        Raises UnknownKey if the key is missing or not in ``directory``,
        and KeysUnconfirmed if this entry's copy of the keys may be out of date.
        """
        key = bearer_key(authorization)
        if key is None:
            raise UnknownKey('send Authorization: Bearer KEY')
        self.check_lease()
        digest = key_digest(key)
        found = directory.by_digest(digest)
        if found is None and self._maybe_stale():
            raise KeysUnconfirmed(
                "the key may be newer than this entry's copy of the keys",
            )
        if found is None:
            raise UnknownKey('the key is unknown')
        return KeyHolder(digest, found)

    def check_lease(self) -> None:
        """Raise KeysUnconfirmed unless the key lease is valid."""
        if not self._lease.valid:
            raise KeysUnconfirmed
