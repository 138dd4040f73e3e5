"""Messages by which entries count organisations' requests at the owner."""

import abc
from collections.abc import Sequence
from typing import NamedTuple

from cactusridge.organisations.organisation import RateLimit


class Candidate(NamedTuple):
    """A live entry of the membership list.

    ``name`` is its peer address. ``since_ms`` is the store time, in
    milliseconds, since which it has been a member without interruption.
    """

    name: str
    since_ms: int


class LimitRequest(NamedTuple):
    """Request to count one call of the organisation ``name``.

    ``version`` is the catalog version that contains ``limit``. ``as_backup``
    is set if the receiver should count as a backup owner, because the owner
    did not respond. ``owners_exited`` is set if the processes of all entries
    that were tried before are known to have exited.
    """

    name: str
    limit: RateLimit
    version: int
    as_backup: bool = False
    owners_exited: bool = False


class LimitResponse(NamedTuple):
    """Response to LimitRequest.

    ``wait_s`` is the number of seconds until the call may run, 0 if it may
    run now. ``counted`` is False if the responding entry does not count
    this organisation; ``wait_s`` has no meaning then. ``moved_to`` is the
    entry that counts it instead, if the responding entry knows it.
    """

    counted: bool
    wait_s: float = 0
    moved_to: str = ''


class LimitCopy(NamedTuple):
    """Copy of the ``tokens`` that an organisation's owner has left.

    ``version`` is the catalog version that contains ``limit``.
    """

    name: str
    limit: RateLimit
    version: int
    tokens: float


class Ceder(NamedTuple):
    """An entry that has handed over an organisation although it is ranked.

    It does not count the organisation in its own right until ``until_ms`` of
    the store's clock.
    """

    entry: Candidate
    until_ms: int


class HeldCount(NamedTuple):
    """The counts of one organisation as they are handed over.

    ``ceders`` are entries that counted the organisation before the sender.
    """

    name: str
    limit: RateLimit
    version: int
    tokens: float
    ceders: tuple[Ceder, ...] = ()


class Handover(NamedTuple):
    """Handover of ``counts`` by an entry that has stopped counting them.

    ``number`` is unique among the handovers of the sender. The receiver must
    ignore a handover that arrives after ``until_ms`` of the store's clock, or
    that was meant for an earlier membership of it. ``stopping`` is set if the
    sender will not count any organisation again.
    """

    number: int
    sender: Candidate
    receiver: Candidate
    until_ms: int
    stopping: bool
    counts: tuple[HeldCount, ...]


NOT_COUNTED = LimitResponse(counted=False)


class LimitClient(abc.ABC):
    """Sends limit requests to other entries."""

    @abc.abstractmethod
    def request(
        self, entry: str, request: LimitRequest
    ) -> LimitResponse | None:
        """Return the response of ``entry``, or None after a timeout."""

    @abc.abstractmethod
    def has_exited(self, entry: str) -> bool:
        """Return whether an unresponsive entry's process has surely exited.

        Returns False for an entry that is unreachable or whose host is
        powered off, because its process may still be running.
        """

    @abc.abstractmethod
    def pause(self, length_s: float) -> None:
        """Wait while entries exchange counts."""

    @abc.abstractmethod
    def return_token(self, entry: str, name: str) -> None:
        """Notify ``entry`` that a request it counted has not run."""


class Declined(NamedTuple):
    """Why an entry does not hand over an organisation.

    ``kept_by`` is the entry that still counts it, the responding one or one
    that it has handed it over to; it is empty if the responding entry knows
    of none. ``nobody`` is set if it is sure that nobody counts.
    """

    kept_by: str
    nobody: bool = False


class HandoverLink(abc.ABC):
    """Sends messages about handovers; any of them may be lost."""

    @abc.abstractmethod
    def send_handover(self, handover: Handover) -> None:
        """Send counts to the receiver of ``handover``."""

    @abc.abstractmethod
    def acknowledge(self, entry: str, number: int, *, accepted: bool) -> None:
        """Respond to the handover ``number`` of ``entry``.

        An entry that did not accept it will not do so later either.
        """

    @abc.abstractmethod
    def ask(self, entry: str, asker: Candidate, names: Sequence[str]) -> None:
        """Ask ``entry`` to hand over the organisations ``names``."""

    @abc.abstractmethod
    def decline(
        self, entry: str, names: Sequence[str], reply: Declined
    ) -> None:
        """Respond to ``ask``: ``names`` are not handed over."""

    @abc.abstractmethod
    def announce_stop(self, stopping: Candidate, entry: str = '') -> None:
        """Notify ``entry``, or all entries, that this one has stopped."""


class JoinLink(abc.ABC):
    """Sends messages about entries that join; any of them may be lost."""

    @abc.abstractmethod
    def announce(self, entry: str, joining: Candidate, *, counts: bool) -> None:
        """Notify ``entry`` that ``joining``, this entry, is a member.

        ``counts`` is set once it may count without a handover.
        """

    @abc.abstractmethod
    def confirm(
        self, joining: Candidate, own: Candidate | None, *, counts: bool
    ) -> None:
        """Respond to ``joining`` that this entry knows it from now on.

        This entry is the member ``own``, None if it is none. ``counts`` is set
        if it was confirmed itself.
        """

    @abc.abstractmethod
    def exited(self, entries: Sequence[str]) -> list[str]:
        """Return those of ``entries`` whose processes have surely exited."""
