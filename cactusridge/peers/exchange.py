"""Exchanges counts of in-flight requests between entries by datagram.

Datagrams suffice because an old count is useless: the next datagram makes up
for a lost one. An additional request at a replica is sent at once to the
entries of its cell and those that run batch there. Other changes are sent to
them periodically, less often the more peers a cell has. Every half second an
entry repeats all its counts, which also serves as a heartbeat, together with
its configuration version and whether the store responds to it. At the same
interval, one entry of a cell sends each remote entry an offer of free slots.
The datagrams an entry reads thus grow with the number of cells, not entries.
"""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Any

import gevent
import orjson

from cactusridge import events, logs
from cactusridge.background import keep_doing
from cactusridge.peers.audience import Audience
from cactusridge.peers.cells import Cells
from cactusridge.peers.load import NO_LOAD, Load, WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.offers import offer_in
from cactusridge.peers.peer_socket import PeerSocket, Target
from cactusridge.peers.word import Word
from cactusridge.work_meter import Part, spawn

# Interval at which all counts are repeated, in seconds.
REPEAT_S = 0.5
# Shortest interval of sending changed counts, in seconds: a twentieth of the
# time that an online request holds a slot.
MIN_PERIOD_S = 0.04
# Part of that interval for each peer in the cell, in seconds. It limits the
# datagrams with changes that an entry reads to some 170 a second.
PERIOD_PER_PEER_S = 0.006
ALL = 'all'
CHANGED = 'some'
OFFER = 'offer'
WORD = 'word'
NEWS = 'news'
# Number of repeats of an announcement, at two a second. They last longer than
# an entry can be suspended or partitioned and still act on what it knew.
NEWS_REPEATS = 20
NOTHING: Mapping[str, Any] = MappingProxyType({})


class PeerExchange:
    """Sends this entry's counts to its peers and receives theirs."""

    def __init__(
        self,
        sock: PeerSocket,
        loads: LoadTable,
        audience: Audience,
        cells: Cells,
        word: Callable[[], Word],
    ) -> None:
        """Create an exchange over ``sock`` with the peers in ``audience``.

        ``word`` returns the status that this entry sends about itself.
        """
        self._sock = sock
        self._loads = loads
        self._audience = audience
        self._cells = cells
        self._word = word
        self._on_loads: Callable[[], None] | None = None
        self._news: dict[str, tuple[int, int]] = {}
        self._on_news: Callable[[str, int], None] | None = None
        self._on_word: Callable[[Target, Word], None] | None = None
        self._on_said: dict[str, Callable[[Target, Any], None]] = {}
        self._silent_s = float(0)
        self._told: dict[str, Load] = {}
        self._counts: dict[Target, dict[str, Load]] = {}
        loads.on_rise(self._risen)

    def on_loads(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after a peer's counts have been received."""
        self._on_loads = listener

    def on_word(self, listener: Callable[[Target, Word], None]) -> None:
        """Call ``listener`` with a peer's address and the status it sent."""
        self._on_word = listener

    def on_news(self, listener: Callable[[str, int], None]) -> None:
        """Call ``listener`` with each announced subject and version."""
        self._on_news = listener

    def tell(self, subject: str, version: int) -> None:
        """Announce a newer version of ``subject`` to all peers.

        The announcement is repeated NEWS_REPEATS times.
        """
        self._news[subject] = (version, NEWS_REPEATS)
        everybody = self._audience.everybody()
        self._sock.send(everybody, {NEWS: {subject: version}})

    def say(self, topic: str, about: Any) -> None:
        """Send a message on ``topic`` to all peers, once."""
        self._sock.send(self._audience.everybody(), {topic: about})

    def say_to(self, target: Target, topic: str, about: Any) -> None:
        """Send a message on ``topic`` to one peer, once."""
        self._sock.send([target], {topic: about})

    def on_said(
        self,
        topic: str,
        listener: Callable[[Target, Any], None],
    ) -> None:
        """Call ``listener`` with a peer and each message it sends on ``topic``.

        ``listener`` raises ValueError or TypeError for an unreadable message.
        """
        self._on_said[topic] = listener

    def start(self) -> None:
        """Bind the socket and start the greenlets that send and receive."""
        self._sock.bind()
        spawn(Part.peers_heard, keep_doing, self._listen)
        spawn(Part.peers_told, keep_doing, self._take_turn)

    def _take_turn(self) -> None:
        """Wait one interval, then send the changed counts or all counts."""
        peers = len(self._audience.near())
        period_s = max(MIN_PERIOD_S, peers * PERIOD_PER_PEER_S)
        gevent.sleep(period_s)
        self._silent_s += period_s
        if self._silent_s >= REPEAT_S:
            self._silent_s = 0
            self._repeat()
        else:
            self._tell_changes()

    def _tell_changes(self) -> None:
        now = self._loads.all_own()
        changed = {
            key: now.get(key, NO_LOAD)
            for key in set(now) | set(self._told)
            if now.get(key) != self._told.get(key)
        }
        self._told = now
        self._tell(CHANGED, changed)

    def _risen(self, life: str, kind: WorkKind) -> None:
        """Send the count of a replica at once after it has increased."""
        own = self._loads.own(life)
        self._told[life] = own
        self._tell(CHANGED, {life: own})

    def _repeat(self) -> None:
        now = self._loads.all_own()
        # Some peers receive only the counts of these replicas; without a zero
        # they would keep the old counts.
        over = dict.fromkeys(self._told.keys() - now.keys(), NO_LOAD)
        self._told = now
        word = list(self._word())
        news = self._repeated_news()
        near = self._audience.near()
        self._tell(ALL, {**over, **now}, near, {WORD: word, NEWS: news})
        if news:
            self._sock.send(self._audience.everybody() - near, {NEWS: news})
        for target, offer in self._audience.offers():
            self._sock.send([target], {OFFER: list(offer), WORD: word})

    def _repeated_news(self) -> dict[str, int]:
        """Return the announcements due for a repeat, and count the repeats."""
        news = self._news
        self._news = {
            subject: (version, left - 1)
            for subject, (version, left) in news.items()
            if left > 1
        }
        return {subject: version for subject, (version, _) in news.items()}

    def _tell(
        self,
        kind: str,
        loads: Mapping[str, Load],
        near: Iterable[Target] = (),
        more: Mapping[str, Any] = NOTHING,
    ) -> None:
        """Send each count to its audience with ``more``.

        Peers in ``near`` receive ``more`` even if no count goes to them.
        """
        for group in self._audience.groups(loads, near):
            counts = {life: loads[life] for life in group.lives}
            self._sock.send(group.targets, {kind: _plain(counts), **more})

    def _listen(self) -> None:
        try:
            self._take(*self._sock.receive())
        except OSError as exc:
            logs.emit(events.PEER_UNREADABLE, error=repr(exc))
        except (ValueError, TypeError, AttributeError) as unreadable:
            logs.emit(events.PEER_UNREADABLE, error=repr(unreadable))

    def _take(self, raw: bytes, sender: Target) -> None:
        said = orjson.loads(raw)
        for subject, version in said.get(NEWS, {}).items():
            if self._on_news is not None:
                self._on_news(subject, version)
        for topic in said.keys() & self._on_said.keys():
            self._on_said[topic](sender, said[topic])
        offer = said.get(OFFER)
        if offer is not None:
            self._loads.heard_offer(offer_in(offer))
        if ALL in said or CHANGED in said:
            self._take_counts(said, sender)
        if WORD in said and self._on_word is not None:
            self._on_word(sender, Word(*said[WORD]))

    def _take_counts(self, said: dict[str, Any], sender: Target) -> None:
        """Apply the counts in a peer's message."""
        counts = _counts(said.get(ALL) or said.get(CHANGED) or {})
        if ALL not in said:
            counts = {**self._counts.get(sender, {}), **counts}
        counts = {key: load for key, load in counts.items() if load != NO_LOAD}
        name = f'{sender[0]}:{sender[1]}'
        if counts or not self._cells.is_far(name):
            self._counts[sender] = counts
            self._loads.heard(name, counts)
        else:
            # A remote peer without requests here sends no repeats, so its
            # counts need not be kept.
            self._counts.pop(sender, None)
            self._loads.forget(name)
        if self._on_loads is not None:
            self._on_loads()


def _plain(loads: Mapping[str, Load]) -> dict[str, list[int]]:
    return {life: list(load) for life, load in loads.items()}


def _counts(raw: dict[str, list[int]]) -> dict[str, Load]:
    return {key: Load(*pair) for key, pair in raw.items()}


def tell_nobody(subject: str, version: int) -> None:
    """Do nothing, in place of ``PeerExchange.tell`` before there is one."""
