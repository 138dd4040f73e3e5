"""Permits for single requests, checked before each attempt is sent."""

import abc
from collections.abc import Callable
from typing import Final

from cactusridge.organisations.directory import Directory
from cactusridge.organisations.errors import KeyMoved, UnknownKey
from cactusridge.organisations.key_check import KeyCheck, KeyHolder
from cactusridge.organisations.limiter import Limiter


class Permit(abc.ABC):
    """Decides whether a caller's request may be sent now."""

    @abc.abstractmethod
    def check(self) -> None:
        """Return if the request may go.

        Raises UnknownKey, KeyMoved or KeysUnconfirmed.
        """

    @abc.abstractmethod
    def count(self) -> None:
        """Count the request against its organisation's rate limit.

        Raises OverLimit or LimitUnavailable.
        """

    @abc.abstractmethod
    def undo_count(self) -> None:
        """Undo the count of a request that has not run and never will."""


class OpenPermit(Permit):
    """Permit for requests that need no API key; allows every request."""

    def check(self) -> None:
        """Allow the request."""

    def count(self) -> None:
        """Do nothing, since no rate limit applies."""

    def undo_count(self) -> None:
        """Do nothing, since the request was not counted."""


OPEN_PERMIT: Final = OpenPermit()


class KeyPermit(Permit):
    """Permit for one request that was authenticated by an API key."""

    def __init__(
        self,
        holder: KeyHolder,
        directory: Callable[[], Directory | None],
        keys: KeyCheck,
        limiter: Limiter,
        version: int,
    ) -> None:
        """Create a permit for a request of ``holder``.

        ``directory`` returns the directory in force, against which the key
        is checked again before each attempt. ``version`` is the catalog
        version that contains the organisation's rate limit.
        """
        self._digest = holder.digest
        self._organisation = holder.organisation
        self._directory = directory
        self._keys = keys
        self._limiter = limiter
        self._version = version
        self._counted = False
        self._counted_by = ''

    def check(self) -> None:
        """Return if the key is valid for the request's organisation.

        Raises UnknownKey, KeysUnconfirmed, or KeyMoved if the key belongs to
        another organisation by now: the caller may send the request again.
        """
        self._keys.check_lease()
        directory = self._directory()
        if directory is None:
            return
        found = directory.by_digest(self._digest)
        if found is None:
            raise UnknownKey('the key has been revoked')
        if found.name != self._organisation.name:
            raise KeyMoved

    def count(self) -> None:
        """Count the request once, however many attempts are sent.

        Raises OverLimit, LimitUnavailable, and what ``check`` raises.
        """
        if self._counted:
            return
        counted_by = self._limiter.check(self._organisation, self._version)
        self._counted = True
        self._counted_by = counted_by
        # The key is checked again, because the host may have been suspended
        # while the request to the limiter was pending.
        self.check()

    def undo_count(self) -> None:
        """Undo the count if the request was counted against a limit."""
        if self._counted and self._organisation.limit is not None:
            self._limiter.return_token(
                self._organisation.name, self._counted_by
            )
        self._counted = False
