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
from typing import Any

import gevent
import orjson

from cactusridge import events, logs
from cactusridge.background import run_forever
from cactusridge.peers.announcement_repeats import AnnouncementRepeats
from cactusridge.peers.audience import Audience
from cactusridge.peers.cells import Cells
from cactusridge.peers.entry_status import EntryStatus
from cactusridge.peers.load import NO_LOAD, Load, WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.message_parts import (
    changed_counts,
    encode_counts,
    part_of,
    parts_of,
)
from cactusridge.peers.offers import decode_offer
from cactusridge.peers.peer_socket import PeerSocket, Target
from cactusridge.peers.received_counts import ALL, CHANGED, ReceivedCounts
from cactusridge.work_meter import Part, spawn

# Interval at which all counts are repeated, in seconds.
REPEAT_INTERVAL_S = 0.5
# Shortest interval of sending changed counts, in seconds: a twentieth of the
# time that an online request holds a slot.
MIN_SEND_INTERVAL_S = 0.04
# Part of that interval for each peer in the cell, in seconds. It limits the
# datagrams with changes that an entry reads to some 170 a second.
SEND_INTERVAL_PER_PEER_S = 0.006
OFFER = 'offer'
STATUS = 'word'
ANNOUNCED = 'news'


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
        self._get_status = get_status
        self._load_listeners: list[Callable[[], None]] = []
        self._announcements = AnnouncementRepeats()
        self._on_announcement: Callable[[str, int], None] | None = None
        self._on_status: Callable[[Target, EntryStatus], None] | None = None
        self._message_listeners: dict[str, Callable[[Target, Any], None]] = {}
        self._added: dict[str, Callable[[], Mapping[str, Any]]] = {}
        self._since_repeat_s = float(0)
        self._last_sent: dict[str, Load] = {}
        self._received = ReceivedCounts(loads, cells)
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
        self._announcements.add(subject, version)
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

    def add_to_repeats(
        self,
        topic: str,
        take: Callable[[], Mapping[str, Any]],
    ) -> None:
        """Send what ``take`` returns with each repeat of all counts.

        It returns values by incarnation key. Each value is sent on ``topic`` to
        the audience of that replica's counts.
        """
        self._added[topic] = take

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
        changed = changed_counts(self._last_sent, now)
        self._last_sent = now
        self._send_changed(changed)

    def _send_increase(self, incarnation: str, kind: WorkKind) -> None:
        """Send the count of a replica at once after it has increased."""
        own = self._loads.own(incarnation)
        self._last_sent[incarnation] = own
        self._send_changed({incarnation: own})

    def _send_all(self) -> None:
        now = self._loads.all_own()
        # Some peers receive only the counts of these replicas; without a zero
        # they would keep the old counts.
        ended = dict.fromkeys(self._last_sent.keys() - now.keys(), NO_LOAD)
        self._last_sent = now
        status = list(self._get_status())
        repeats = self._announcements.take()
        local_peers = self._audience.local_peers()
        self._send_repeats(
            encode_counts({**ended, **now}),
            local_peers,
            {STATUS: status, ANNOUNCED: repeats},
        )
        if repeats:
            self._sock.send(
                self._audience.all_peers() - local_peers, {ANNOUNCED: repeats}
            )
        for target, offer in self._audience.offers():
            self._sock.send([target], {OFFER: list(offer), STATUS: status})

    def _send_repeats(
        self,
        counts: Mapping[str, Any],
        local_peers: Iterable[Target],
        more: Mapping[str, Any],
    ) -> None:
        """Send each count and what is added to repeats, with ``more``.

        Peers in ``local_peers`` receive ``more`` even if no count goes to them.
        """
        added = {topic: take() for topic, take in self._added.items()}
        keys = counts.keys() | {key for each in added.values() for key in each}
        for group in self._audience.groups(keys, local_peers):
            message = {ALL: part_of(counts, group), **more}
            message |= parts_of(added, group)
            self._sock.send(group.targets, message)

    def _send_changed(self, loads: Mapping[str, Load]) -> None:
        """Send each count to its audience."""
        counts = encode_counts(loads)
        for group in self._audience.groups(loads):
            self._sock.send(group.targets, {CHANGED: part_of(counts, group)})

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
        offer = message.get(OFFER)
        if offer is not None:
            self._loads.set_offer(decode_offer(offer))
        if ALL in message or CHANGED in message:
            self._received.apply(message, sender)
            for listener in self._load_listeners:
                listener()
        if STATUS in message and self._on_status is not None:
            self._on_status(sender, EntryStatus(*message[STATUS]))
        # An unreadable message on a topic leaves the counts beside it in force.
        for topic in message.keys() & self._message_listeners.keys():
            self._message_listeners[topic](sender, message[topic])


def ignore_announcement(subject: str, version: int) -> None:
    """Do nothing, in place of ``PeerExchange.announce`` before there is one."""
