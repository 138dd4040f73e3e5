"""Which entries are told of what."""

import functools
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from cactusridge.fleet.replica import Replica
from cactusridge.http.client import parse_address
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.cell_rules import EntryPlace
from cactusridge.peers.load import NO_LOAD
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.offers import CellOffer, share_offered
from cactusridge.peers.peer_socket import Target

# Names of entries whose address is kept; they come and go for ever.
KEPT_NAMES = 4096

_target = functools.lru_cache(KEPT_NAMES)(parse_address)


class Group(NamedTuple):
    """Entries that are told the same lives."""

    lives: tuple[str, ...]
    targets: set[Target]


class Audience:
    """The peers of one entry, by what each of them needs to know."""

    def __init__(
        self,
        me: Target,
        loads: LoadTable,
        listed: Callable[[], Iterable[Target]],
        sharing: BatchSharing,
    ) -> None:
        """``listed`` returns the peers in the list of entries."""
        self._me = me
        self._loads = loads
        self._listed = listed
        self._sharing = sharing
        self._cells = sharing.cells
        self._divided: tuple[EntryPlace, ...] | None = None
        self._targets: frozenset[Target] = frozenset()
        self._rng = random.Random()  # noqa: S311

    def everybody(self) -> set[Target]:
        """Return the listed peers and those that are heard."""
        return (self._heard() | set(self._listed())) - {self._me}

    def near(self) -> set[Target]:
        """Return the peers in this entry's cell, and those in no cell."""
        near = {_target(name) for name in self._cells.near()}
        return (near | self._in_no_cell()) - {self._me}

    def groups(
        self,
        lives: Iterable[str],
        anyway: Iterable[Target] = (),
    ) -> Iterator[Group]:
        """Yield who is told of which ``lives``: each target once.

        A replica's requests are told to the entries of its cell and to
        those that run or may run batch there. Those in ``anyway`` are told
        even if there is nothing for them.
        """
        told: dict[Target, list[str]] = {target: [] for target in anyway}
        in_no_cell = self._in_no_cell()
        for life in lives:
            for target in self._told_of(life) | in_no_cell:
                told.setdefault(target, []).append(life)
        alike: dict[tuple[str, ...], set[Target]] = defaultdict(set)
        for target, its_lives in told.items():
            alike[tuple(its_lives)].add(target)
        return itertools.starmap(Group, alike.items())

    def offers(self) -> Iterator[tuple[Target, CellOffer]]:
        """Yield what is offered to each far entry that this one tells."""
        near = tuple(self._cells.near_replicas())
        entries = len(self._cells.far())
        for name in self._cells.told_from_here(self._loads.heard_lately()):
            shares = {
                each.life: self._share(each, name, entries) for each in near
            }
            slots = {life: share for life, share in shares.items() if share}
            shared = [
                each.life
                for each in near
                if name in self._sharing.of(each.life)
            ]
            yield _target(name), CellOffer(self._cells.own, slots, shared)

    def _share(self, replica: Replica, name: str, entries: int) -> int:
        """Return how many requests one of the far entries may have there."""
        online = self._loads.at(replica.life).online
        more = share_offered(replica.slots, online, entries, self._rng)
        if not more:
            return 0
        there = self._loads.peers_at(replica.life).get(name, NO_LOAD)
        return there.online + more

    def _told_of(self, life: str) -> set[Target]:
        names = self._cells.entries_at(life) | self._sharing.of(life)
        # Who has requests there has to know when to yield, also if the
        # cells have changed since.
        names |= self._loads.peers_at(life).keys()
        return {_target(name) for name in names} - {self._me}

    def _in_no_cell(self) -> set[Target]:
        """Return the peers that are heard or listed and in no cell.

        An entry that cannot renew its row goes on sending requests to the
        replicas; unheard, these wait behind what it does not know of. One
        that has just come into the list is in a cell only after a moment.
        """
        known = self._heard() | set(self._listed())
        return known - self._in_cells() - {self._me}

    def _in_cells(self) -> frozenset[Target]:
        """Return the entries in cells, found anew when they change."""
        entries = self._cells.entries()
        if entries is not self._divided:
            self._divided = entries
            self._targets = frozenset(_target(each.name) for each in entries)
        return self._targets

    def _heard(self) -> set[Target]:
        return {_target(peer) for peer in self._loads.heard_lately()}
