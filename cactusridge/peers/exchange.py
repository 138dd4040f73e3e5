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
from cactusridge.background import run_forever
from cactusridge.peers.audience import Audience
from cactusridge.peers.cells import Cells
from cactusridge.peers.entry_status import EntryStatus
from cactusridge.peers.load import NO_LOAD, Load, WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.offers import decode_offer
from cactusridge.peers.peer_socket import PeerSocket, Target
from cactusridge.work_meter import Part, spawn

# Interval at which all counts are repeated, in seconds.
REPEAT_INTERVAL_S = 0.5
# Shortest interval of sending changed counts, in seconds: a twentieth of the
# time that an online request holds a slot.
MIN_SEND_INTERVAL_S = 0.04
# Part of that interval for each peer in the cell, in seconds. It limits the
# datagrams with changes that an entry reads to some 170 a second.
SEND_INTERVAL_PER_PEER_S = 0.006
ALL = 'all'
CHANGED = 'some'
OFFER = 'offer'
STATUS = 'word'
ANNOUNCED = 'news'
# Number of repeats of an announcement, at two a second. They last longer than
# an entry can be suspended or partitioned and still act on what it knew.
ANNOUNCEMENT_REPEATS = 20
EMPTY: Mapping[str, Any] = MappingProxyType({})


class PeerExchange:
    """Sends this entry's counts to its peers and receives theirs."""

    def __init__(
        self,
        sock: PeerSocket,
        loads: LoadTable,
        audience: Audience,
        cells: Cells,
        get_status: Callable[[], EntryStatus],
    ) -> None:
        """Create an exchange over ``sock`` with the peers in ``audience``.

        ``get_status`` returns the status that this entry sends about itself.
        """
        self._sock = sock
        self._loads = loads
        self._audience = audience
        self._cells = cells
        self._get_status = get_status
        self._load_listeners: list[Callable[[], None]] = []
        self._announcements: dict[str, tuple[int, int]] = {}
        self._on_announcement: Callable[[str, int], None] | None = None
        self._on_status: Callable[[Target, EntryStatus], None] | None = None
        self._message_listeners: dict[str, Callable[[Target, Any], None]] = {}
        self._since_repeat_s = float(0)
        self._last_sent: dict[str, Load] = {}
        self._counts: dict[Target, dict[str, Load]] = {}
        loads.on_increase(self._send_increase)

    def on_loads(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after a peer's counts have been received."""
        self._load_listeners.append(listener)

    def on_status(
        self, listener: Callable[[Target, EntryStatus], None]
    ) -> None:
        """Call ``listener`` with a peer's address and the status it sent."""
        self._on_status = listener

    def on_announcement(self, listener: Callable[[str, int], None]) -> None:
        """Call ``listener`` with each announced subject and version."""
        self._on_announcement = listener

    def announce(self, subject: str, version: int) -> None:
        """Announce a version of ``subject`` to all peers, repeatedly."""
        self._announcements[subject] = (version, ANNOUNCEMENT_REPEATS)
        all_peers = self._audience.all_peers()
        self._sock.send(all_peers, {ANNOUNCED: {subject: version}})

    def broadcast(self, topic: str, payload: Any) -> None:
        """Send a message on ``topic`` to all peers, once."""
        self._sock.send(self._audience.all_peers(), {topic: payload})

    def send_to(self, target: Target, topic: str, payload: Any) -> None:
        """Send a message on ``topic`` to one peer, once."""
        self._sock.send([target], {topic: payload})

    def on_message(
        self,
        topic: str,
        listener: Callable[[Target, Any], None],
    ) -> None:
        """Call ``listener`` with a peer and each message it sends on ``topic``.

        ``listener`` raises ValueError or TypeError for an unreadable message.
        """
        self._message_listeners[topic] = listener

    def start(self) -> None:
        """Bind the socket and start the greenlets that send and receive."""
        self._sock.bind()
        spawn(Part.peers_heard, run_forever, self._receive)
        spawn(Part.peers_told, run_forever, self._send_periodically)

    def _send_periodically(self) -> None:
        """Wait one interval, then send the changed counts or all counts."""
        peers = len(self._audience.local_peers())
        interval_s = max(MIN_SEND_INTERVAL_S, peers * SEND_INTERVAL_PER_PEER_S)
        gevent.sleep(interval_s)
        self._since_repeat_s += interval_s
        if self._since_repeat_s >= REPEAT_INTERVAL_S:
            self._since_repeat_s = 0
            self._send_all()
        else:
            self._send_changes()

    def _send_changes(self) -> None:
        now = self._loads.all_own()
        changed = {
            key: now.get(key, NO_LOAD)
            for key in set(now) | set(self._last_sent)
            if now.get(key) != self._last_sent.get(key)
        }
        self._last_sent = now
        self._send_counts(CHANGED, changed)

    def _send_increase(self, incarnation: str, kind: WorkKind) -> None:
        """Send the count of a replica at once after it has increased."""
        own = self._loads.own(incarnation)
        self._last_sent[incarnation] = own
        self._send_counts(CHANGED, {incarnation: own})

    def _send_all(self) -> None:
        now = self._loads.all_own()
        # Some peers receive only the counts of these replicas; without a zero
        # they would keep the old counts.
        ended = dict.fromkeys(self._last_sent.keys() - now.keys(), NO_LOAD)
        self._last_sent = now
        status = list(self._get_status())
        repeats = self._take_repeats()
        local_peers = self._audience.local_peers()
        self._send_counts(
            ALL,
            {**ended, **now},
            local_peers,
            {STATUS: status, ANNOUNCED: repeats},
        )
        if repeats:
            self._sock.send(
                self._audience.all_peers() - local_peers, {ANNOUNCED: repeats}
            )
        for target, offer in self._audience.offers():
            self._sock.send([target], {OFFER: list(offer), STATUS: status})

    def _take_repeats(self) -> dict[str, int]:
        """Return the announcements due for a repeat, and count the repeats."""
        repeats = self._announcements
        self._announcements = {
            subject: (version, left - 1)
            for subject, (version, left) in repeats.items()
            if left > 1
        }
        return {subject: version for subject, (version, _) in repeats.items()}

    def _send_counts(
        self,
        kind: str,
        loads: Mapping[str, Load],
        local_peers: Iterable[Target] = (),
        more: Mapping[str, Any] = EMPTY,
    ) -> None:
        """Send each count to its audience with ``more``.

        Peers in ``local_peers`` receive ``more`` even if no count goes to them.
        """
        for group in self._audience.groups(loads, local_peers):
            counts = {
                incarnation: loads[incarnation]
                for incarnation in group.incarnations
            }
            self._sock.send(group.targets, {kind: _encode(counts), **more})

    def _receive(self) -> None:
        try:
            self._handle(*self._sock.receive())
        except OSError as exc:
            logs.emit(events.PEER_UNREADABLE, error=repr(exc))
        except (ValueError, TypeError, AttributeError) as unreadable:
            logs.emit(events.PEER_UNREADABLE, error=repr(unreadable))

    def _handle(self, raw: bytes, sender: Target) -> None:
        message = orjson.loads(raw)
        for subject, version in message.get(ANNOUNCED, {}).items():
            if self._on_announcement is not None:
                self._on_announcement(subject, version)
        for topic in message.keys() & self._message_listeners.keys():
            self._message_listeners[topic](sender, message[topic])
        offer = message.get(OFFER)
        if offer is not None:
            self._loads.set_offer(decode_offer(offer))
        if ALL in message or CHANGED in message:
            self._apply_counts(message, sender)
        if STATUS in message and self._on_status is not None:
            self._on_status(sender, EntryStatus(*message[STATUS]))

    def _apply_counts(self, message: dict[str, Any], sender: Target) -> None:
        """Apply the counts in a peer's message."""
        counts = _decode(message.get(ALL) or message.get(CHANGED) or {})
        if ALL not in message:
            counts = {**self._counts.get(sender, {}), **counts}
        counts = {key: load for key, load in counts.items() if load != NO_LOAD}
        name = f'{sender[0]}:{sender[1]}'
        if counts or not self._cells.is_remote(name):
            self._counts[sender] = counts
            self._loads.set_peer_loads(name, counts)
        else:
            # A remote peer without requests here sends no repeats, so its
            # counts need not be kept.
            self._counts.pop(sender, None)
            self._loads.forget(name)
        for listener in self._load_listeners:
            listener()


def _encode(loads: Mapping[str, Load]) -> dict[str, list[int]]:
    return {incarnation: list(load) for incarnation, load in loads.items()}


def _decode(raw: dict[str, list[int]]) -> dict[str, Load]:
    return {key: Load(*pair) for key, pair in raw.items()}


def ignore_announcement(subject: str, version: int) -> None:
    """Do nothing, in place of ``PeerExchange.announce`` before there is one."""
