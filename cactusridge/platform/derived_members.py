"""What the parts of an entry derive from the members."""

from collections.abc import Callable
from typing import Generic, TypeVar

from cactusridge.jobs.member import Member

DerivedT = TypeVar('DerivedT')


class DerivedMembers(Generic[DerivedT]):
    """A list derived from the members, kept until they change.

    The lists of entries are read many times a second, and the members change
    when an entry starts or stops.
    """

    def __init__(
        self,
        members: Callable[[], tuple[Member, ...]],
        derive: Callable[[tuple[Member, ...]], DerivedT],
    ) -> None:
        """Apply ``derive`` to what ``members`` returns.

        ``members`` returns the same object until they change.
        """
        self._members = members
        self._derive = derive
        self._seen: tuple[Member, ...] = ()
        self._derived = derive(())

    def current(self) -> DerivedT:
        """Return the list for the present members."""
        members = self._members()
        if members is not self._seen:
            self._seen = members
            self._derived = self._derive(members)
        return self._derived
