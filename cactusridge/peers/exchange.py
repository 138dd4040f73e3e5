"""Entries tell each other how many requests they have at each replica.

Datagrams, since an old count is worth nothing: one that is lost is
repeated by the next. One request more at a replica is told at once to its
audience: the entries of its cell and those that run batch there. Other
changes go to them by turns, the slower the more entries a cell has. All
counts go out every half second, which also says that the entry lives, which
configuration it has and whether the store answers it. The other cells are
offered free slots as often, each entry there by one entry of this cell. So
what an entry reads grows with the number of cells and not with the entries.
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

# All counts are repeated this often, in seconds.
REPEAT_S = 0.5
# Changes go out after at least this long, in seconds: a twentieth of the
# time that an online request holds a slot.
MIN_PERIOD_S = 0.04
# And by the number of peers in the cell, so that an entry reads some 170
# datagrams a second of changes at most.
PERIOD_PER_PEER_S = 0.006
ALL = 'all'
CHANGED = 'some'
OFFER = 'offer'
WORD = 'word'
NEWS = 'news'
# News is repeated this often, twice a second: longer than an entry may
# be suspended or cut off and still act on what it knew.
NEWS_REPEATS = 20
NOTHING: Mapping[str, Any] = MappingProxyType({})


class PeerExchange:
    """Sends this entry's counts to its peers and takes theirs."""

    def __init__(
        self,
        sock: PeerSocket,
        loads: LoadTable,
        audience: Audience,
        cells: Cells,
        word: Callable[[], Word],
    ) -> None:
        """Speak through ``sock`` to the ``audience`` of each count.

        ``word`` returns what is told of this entry.
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
        """Call ``listener`` when a peer's counts have come."""
        self._on_loads = listener

    def on_word(self, listener: Callable[[Target, Word], None]) -> None:
        """Call ``listener`` with a peer and its word of itself."""
        self._on_word = listener

    def on_news(self, listener: Callable[[str, int], None]) -> None:
        """Call ``listener`` with what peers ``tell``."""
        self._on_news = listener

    def tell(self, subject: str, version: int) -> None:
        """Let every peer know of a newer version of something."""
        self._news[subject] = (version, NEWS_REPEATS)
        everybody = self._audience.everybody()
        self._sock.send(everybody, {NEWS: {subject: version}})

    def say(self, topic: str, about: Any) -> None:
        """Tell every peer something once."""
        self._sock.send(self._audience.everybody(), {topic: about})

    def say_to(self, target: Target, topic: str, about: Any) -> None:
        """Tell one peer something once."""
        self._sock.send([target], {topic: about})

    def on_said(
        self,
        topic: str,
        listener: Callable[[Target, Any], None],
    ) -> None:
        """Call ``listener`` with a peer and what it says on a topic.

        It raises ValueError or TypeError for what it cannot read.
        """
        self._on_said[topic] = listener

    def start(self) -> None:
        """Bind and begin to speak and to listen."""
        self._sock.bind()
        spawn(Part.peers_heard, keep_doing, self._listen)
        spawn(Part.peers_told, keep_doing, self._take_turn)

    def _take_turn(self) -> None:
        """Wait for this entry's turn; tell what has changed, or all."""
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
        """Tell of one more request or claim at a replica at once."""
        own = self._loads.own(life)
        self._told[life] = own
        self._tell(CHANGED, {life: own})

    def _repeat(self) -> None:
        now = self._loads.all_own()
        # Who is in the audience of these alone hears nothing else.
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
        """Return the news that is told again, once more for each."""
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
        """Tell each count to its audience, and ``near`` peers ``more``."""
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
        """Take what a peer told of its own requests."""
        counts = _counts(said.get(ALL) or said.get(CHANGED) or {})
        if ALL not in said:
            counts = {**self._counts.get(sender, {}), **counts}
        counts = {key: load for key, load in counts.items() if load != NO_LOAD}
        name = f'{sender[0]}:{sender[1]}'
        if counts or not self._cells.is_far(name):
            self._counts[sender] = counts
            self._loads.heard(name, counts)
        else:
            # It repeats nothing while it has nothing here.
            self._counts.pop(sender, None)
            self._loads.forget(name)
        if self._on_loads is not None:
            self._on_loads()


def _plain(loads: Mapping[str, Load]) -> dict[str, list[int]]:
    return {life: list(load) for life, load in loads.items()}


def _counts(raw: dict[str, list[int]]) -> dict[str, Load]:
    return {key: Load(*pair) for key, pair in raw.items()}


def tell_nobody(subject: str, version: int) -> None:
    """Stand in for an exchange that is not there yet."""
