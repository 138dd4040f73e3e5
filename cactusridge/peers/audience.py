"""Selects the peers that receive each message."""

import functools
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from cactusridge.fleet.entry_place import EntryPlace
from cactusridge.fleet.replica import Replica
from cactusridge.http.client import parse_address
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.load import NO_LOAD, Load
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.offers import CellOffer, slots_to_offer
from cactusridge.peers.peer_socket import Target

# Size of the cache of parsed entry addresses. Entries come and go for as long
# as the process runs.
KEPT_NAMES = 4096

_target = functools.lru_cache(KEPT_NAMES)(parse_address)


class Group(NamedTuple):
    """Entries that receive the counts of the same replica incarnations."""

    incarnations: tuple[str, ...]
    targets: set[Target]


class LocalReplica(NamedTuple):
    """A replica of the local cell and its online requests, all and by peer.

    ``sharers`` are the entries that run batch there.
    """

    incarnation: str
    slots: int
    online: int
    by_peer: dict[str, Load]
    sharers: frozenset[str]


class Audience:
    """The peers of one entry, selected by what each needs to receive."""

    def __init__(
        self,
        own_address: Target,
        loads: LoadTable,
        listed: Callable[[], Iterable[Target]],
        sharing: BatchSharing,
    ) -> None:
        """Create an audience for the entry at ``own_address``.

        ``listed`` returns the peers in the membership list.
        """
        self._own_address = own_address
        self._loads = loads
        self._listed = listed
        self._sharing = sharing
        self._cells = sharing.cells
        self._cached_entries: tuple[EntryPlace, ...] | None = None
        self._cell_targets: frozenset[Target] = frozenset()
        self._rng = random.Random()  # noqa: S311

    def all_peers(self) -> set[Target]:
        """Return the peers that are listed or from which counts are current."""
        return (self._current_peers() | set(self._listed())) - {
            self._own_address
        }

    def local_peers(self) -> set[Target]:
        """Return the peers in the local cell and those assigned to no cell."""
        local_peers = {_target(name) for name in self._cells.local_names()}
        return (local_peers | self._in_no_cell()) - {self._own_address}

    def groups(
        self,
        incarnations: Iterable[str],
        always: Iterable[Target] = (),
    ) -> Iterator[Group]:
        """Yield groups of peers that receive the same counts.

        ``incarnations`` are incarnation keys. The counts of a replica go to the
        entries of its cell, to the entries that may run batch there, to peers
        that report in-flight requests there, and to the peers in no cell. Each
        peer is in one group. Peers in ``always`` are included even if no count
        goes to them.
        """
        by_target: dict[Target, list[str]] = {target: [] for target in always}
        in_no_cell = self._in_no_cell()
        for incarnation in incarnations:
            for target in self._recipients(incarnation) | in_no_cell:
                by_target.setdefault(target, []).append(incarnation)
        by_lives: dict[tuple[str, ...], set[Target]] = defaultdict(set)
        for target, its_lives in by_target.items():
            by_lives[tuple(its_lives)].add(target)
        return itertools.starmap(Group, by_lives.items())

    def offers(self) -> Iterator[tuple[Target, CellOffer]]:
        """Yield the offer for each remote entry that this entry serves."""
        entries = len(self._cells.remote_names())
        names = self._cells.offer_recipients(self._loads.current_peers())
        local = [self._local(each) for each in self._cells.local_replicas()]
        for name in names:
            shares = {
                each.incarnation: self._share(each, name, entries)
                for each in local
            }
            slots = {
                incarnation: share
                for incarnation, share in shares.items()
                if share
            }
            shared = [
                each.incarnation for each in local if name in each.sharers
            ]
            yield (
                _target(name),
                CellOffer(self._cells.local_cell, slots, shared),
            )

    def _local(self, replica: Replica) -> LocalReplica:
        incarnation = replica.incarnation
        return LocalReplica(
            incarnation,
            replica.slots,
            self._loads.total_at(incarnation).online,
            self._loads.peers_at(incarnation),
            self._sharing.sharers_of(incarnation),
        )

    def _share(self, replica: LocalReplica, name: str, entries: int) -> int:
        """Return how many online requests a remote entry may have there."""
        more = slots_to_offer(replica.slots, replica.online, entries, self._rng)
        if not more:
            return 0
        return replica.by_peer.get(name, NO_LOAD).online + more

    def _recipients(self, incarnation: str) -> set[Target]:
        names = self._cells.entries_of_replica(
            incarnation
        ) | self._sharing.sharers_of(incarnation)
        # A peer with in-flight requests at the replica must know when to
        # preempt them, even if the cells have changed since it sent them.
        names |= self._loads.peers_at(incarnation).keys()
        return {_target(name) for name in names} - {self._own_address}

    def _in_no_cell(self) -> set[Target]:
        """Return the known peers that are assigned to no cell.

        An entry that cannot renew its membership row still sends requests to
        the replicas. Without counts from its peers it would send requests to
        replicas that are already full. An entry that has just joined the
        membership list is assigned to a cell only after a short delay.
        """
        known = self._current_peers() | set(self._listed())
        return known - self._in_cells() - {self._own_address}

    def _in_cells(self) -> frozenset[Target]:
        """Return the addresses of all entries in cells.

        The result is cached until the entries change.
        """
        entries = self._cells.entries()
        if entries is not self._cached_entries:
            self._cached_entries = entries
            self._cell_targets = frozenset(
                _target(each.name) for each in entries
            )
        return self._cell_targets

    def _current_peers(self) -> set[Target]:
        return {_target(peer) for peer in self._loads.current_peers()}
