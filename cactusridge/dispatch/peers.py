"""Entries tell each other how many requests they have at each replica.

Datagrams, since an old count is worth nothing: one that is lost is
repeated by the next. Changes go out by turns, the slower the more peers
there are, so that what an entry has to read does not grow with the fleet.
One request more at a replica is told at once: in a small fleet to all
(without it the slowest hundredth of first tokens took 200 ms instead of
60 on a calm day with nine entries), in a large one to those concerned: an
online request at a full replica to the entries with batch requests there,
since they may have to make room; a batch request, or the claim to start
one, to the entries that run batch there. All counts go out every half
second, which also says that the entry lives, which configuration it has and
whether the store answers it.
"""

from collections.abc import Callable, Iterable, Set
from typing import Any, NamedTuple

import gevent
import orjson
from gevent import socket

from cactusridge import events, logs
from cactusridge.background import keep_doing
from cactusridge.dispatch.load import NO_LOAD, Load, WorkKind
from cactusridge.dispatch.loads import LoadTable
from cactusridge.http.client import parse_address
from cactusridge.work_meter import METER, Part, spawn

# All counts are repeated this often, in seconds.
REPEAT_S = 0.5
# Changes go out after at least this long, in seconds: a twentieth of the
# time that an online request holds a slot.
MIN_PERIOD_S = 0.04
# And by the number of peers, so that an entry reads some 170 datagrams a
# second at most, about a hundredth of a core.
PERIOD_PER_PEER_S = 0.006
MAX_DATAGRAM = 65_507
ALL = 'all'
CHANGED = 'some'
WORD = 'word'
NEWS = 'news'
# News is repeated this often, twice a second: longer than an entry may
# be suspended or cut off and still act on what it knew.
NEWS_REPEATS = 20
Target = tuple[str, int]


class Word(NamedTuple):
    """What an entry tells of itself.

    ``version`` is that of the configuration in force there,
    ``has_store`` whether the store answers it, ``store_s`` for how many
    seconds it has done so without an outage; 0 vouches for nothing, as
    the word of an entry that does not tell it yet.
    """

    version: int
    has_store: bool
    store_s: float = 0


class PeerExchange:
    """Sends this entry's counts to its peers and takes theirs."""

    def __init__(
        self,
        address: Target,
        loads: LoadTable,
        peers: Callable[[], Iterable[Target]],
        word: Callable[[], Word],
        slots: Callable[[str], int],
        sharers: Callable[[str], Set[str]],
    ) -> None:
        """Speak at ``address`` to what ``peers`` returns.

        ``word`` returns what is told of this entry, ``slots`` how many
        requests a replica works on at once, ``sharers`` the names of the
        entries that run batch there.
        """
        self._address = address
        self._loads = loads
        self._peers = peers
        self._word = word
        self._slots = slots
        self._sharers = sharers
        self._on_loads: Callable[[], None] | None = None
        self._news: dict[str, tuple[int, int]] = {}
        self._on_news: Callable[[str, int], None] | None = None
        self._on_word: Callable[[Target, Word], None] | None = None
        self._silent_s = float(0)
        self._told: dict[str, Load] = {}
        self._counts: dict[Target, dict[str, Load]] = {}
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
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
        self._send_raw(orjson.dumps({NEWS: {subject: version}}))

    def start(self) -> None:
        """Bind and begin to speak and to listen."""
        self._sock.bind(self._address)
        spawn(Part.peers_heard, keep_doing, self._listen)
        spawn(Part.peers_told, keep_doing, self._take_turn)

    def _take_turn(self) -> None:
        """Wait for this entry's turn; tell what has changed, or all."""
        targets = len(self._targets())
        period_s = max(MIN_PERIOD_S, targets * PERIOD_PER_PEER_S)
        self._loads.period_s = period_s
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
        if changed:
            self._send(CHANGED, changed)

    def _risen(self, life: str, kind: WorkKind) -> None:
        """Tell of one more request or claim at a replica at once."""
        if self._loads.fresh:
            own = self._loads.own(life)
            self._told[life] = own
            self._send(CHANGED, {life: own})
        elif kind != WorkKind.online:
            self._tell_some(self._sharers(life), life)
        elif self._loads.at(life).total > self._slots(life):
            # Those who may have to make room.
            there = self._loads.peers_at(life)
            holders = {peer for peer, load in there.items() if load.batch}
            self._tell_some(holders, life)

    def _tell_some(self, names: Set[str], life: str) -> None:
        own = list(self._loads.own(life))
        raw = orjson.dumps({CHANGED: {life: own}})
        targets = {parse_address(name) for name in names} - {self._address}
        for target in targets:
            self._send_to(target, raw)

    def _repeat(self) -> None:
        self._told = self._loads.all_own()
        self._send(ALL, self._told)
        self._news = {
            subject: (version, left - 1)
            for subject, (version, left) in self._news.items()
            if left > 1
        }

    def _send(self, kind: str, loads: dict[str, Load]) -> None:
        said: dict[str, Any] = {
            kind: {key: list(load) for key, load in loads.items()},
        }
        if kind == ALL:
            said[WORD] = list(self._word())
            said[NEWS] = {
                subject: version for subject, (version, _) in self._news.items()
            }
        self._send_raw(orjson.dumps(said))

    def _send_raw(self, raw: bytes) -> None:
        for target in self._targets():
            self._send_to(target, raw)

    def _targets(self) -> set[Target]:
        """Return whom to tell: the listed peers and those that are heard.

        An entry that cannot renew its row goes on sending requests to the
        replicas; unheard, these wait behind what it does not know of.
        """
        heard = {parse_address(peer) for peer in self._loads.heard_lately()}
        return (heard | set(self._peers())) - {self._address}

    def _send_to(self, target: Target, raw: bytes) -> None:
        METER.steps['counts_told'] += 1
        try:
            self._sock.sendto(raw, target)
        except OSError as exc:
            logs.emit(
                events.PEER_UNREACHABLE,
                peer=f'{target[0]}:{target[1]}',
                error=repr(exc),
            )

    def _listen(self) -> None:
        try:
            raw, sender = self._sock.recvfrom(MAX_DATAGRAM)
            METER.steps['counts_heard'] += 1
            self._take(raw, sender)
        except OSError as exc:
            logs.emit(events.PEER_UNREADABLE, error=repr(exc))
        except (ValueError, TypeError, AttributeError) as unreadable:
            logs.emit(events.PEER_UNREADABLE, error=repr(unreadable))

    def _take(self, raw: bytes, sender: Target) -> None:
        said = orjson.loads(raw)
        for subject, version in said.get(NEWS, {}).items():
            if self._on_news is not None:
                self._on_news(subject, version)
        known = {} if ALL in said else self._counts.get(sender, {})
        changed = said.get(ALL) or said.get(CHANGED) or {}
        counts = {**known, **_counts(changed)}
        self._counts[sender] = counts
        self._loads.heard(f'{sender[0]}:{sender[1]}', counts)
        if self._on_loads is not None:
            self._on_loads()
        if WORD in said and self._on_word is not None:
            self._on_word(sender, Word(*said[WORD]))


def _counts(raw: dict[str, list[int]]) -> dict[str, Load]:
    return {key: Load(*pair) for key, pair in raw.items()}


def tell_nobody(subject: str, version: int) -> None:
    """Stand in for an exchange that is not there yet."""
