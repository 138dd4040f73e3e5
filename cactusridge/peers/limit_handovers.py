"""Messages between entries that hand over the counts of limits."""

from collections.abc import Sequence
from typing import Any

from cactusridge.http.client import parse_address
from cactusridge.organisations.limit_handover import LimitHandover
from cactusridge.organisations.limit_messages import (
    Candidate,
    Ceder,
    Declined,
    Handover,
    HandoverLink,
    HeldCount,
)
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.peer_socket import Target
from cactusridge.peers.plain import plain_message
from cactusridge.peers.rate_limits import decode_limit

GIVEN_TOPIC = 'limit_given'
RECEIVED_TOPIC = 'limit_got'
WANTED_TOPIC = 'limit_wanted'
DECLINED_TOPIC = 'limit_declined'
STOPPED_TOPIC = 'limit_stopped'


class LimitHandovers(HandoverLink):
    """Sends and receives handovers; entries of older versions ignore them."""

    def __init__(self, peers: PeerExchange) -> None:
        """Send and receive through ``peers``."""
        self._peers = peers
        self._handover: LimitHandover | None = None

    def connect(self, handover: LimitHandover) -> None:
        """Pass received messages on to ``handover``."""
        self._handover = handover
        listeners = {
            GIVEN_TOPIC: self._handle_given,
            RECEIVED_TOPIC: self._handle_received,
            WANTED_TOPIC: self._handle_wanted,
            DECLINED_TOPIC: self._handle_declined,
            STOPPED_TOPIC: self._handle_stopped,
        }
        for topic, listener in listeners.items():
            self._peers.on_message(topic, listener)

    def send_handover(self, handover: Handover) -> None:
        """Send counts to the receiver of ``handover``."""
        self._send(handover.receiver.name, GIVEN_TOPIC, handover)

    def acknowledge(self, entry: str, number: int, *, accepted: bool) -> None:
        """Respond to the handover ``number`` of ``entry``."""
        self._send(entry, RECEIVED_TOPIC, [number, accepted])

    def ask(self, entry: str, asker: Candidate, names: Sequence[str]) -> None:
        """Ask ``entry`` to hand over the organisations ``names``."""
        self._send(entry, WANTED_TOPIC, [asker, names])

    def decline(
        self, entry: str, names: Sequence[str], reply: Declined
    ) -> None:
        """Respond to ``ask``: ``names`` are not handed over."""
        own = self._parts().own_name
        self._send(entry, DECLINED_TOPIC, [own, names, *reply])

    def announce_stop(self, stopping: Candidate, entry: str = '') -> None:
        """Notify ``entry``, or all entries, that this one has stopped."""
        if entry:
            self._send(entry, STOPPED_TOPIC, stopping)
        else:
            self._peers.broadcast(STOPPED_TOPIC, plain_message(stopping))

    def _send(self, entry: str, topic: str, payload: Any) -> None:
        target = parse_address(entry)
        self._peers.send_to(target, topic, plain_message(payload))

    def _parts(self) -> LimitHandover:
        if self._handover is None:
            raise RuntimeError('connect() was not called')
        return self._handover

    def _handle_given(self, peer: Target, raw: Any) -> None:
        *head, counts = raw
        held = tuple(_held_count(*each) for each in counts)
        self._parts().receive(_handover(*head)._replace(counts=held))

    def _handle_received(self, peer: Target, raw: Any) -> None:
        number, accepted = raw
        self._parts().acknowledged(int(number), accepted=bool(accepted))

    def _handle_wanted(self, peer: Target, raw: Any) -> None:
        asker, names = raw
        self._parts().receive_ask(
            decode_candidate(asker), list(map(str, names))
        )

    def _handle_declined(self, peer: Target, raw: Any) -> None:
        entry, names, kept_by, nobody = raw
        if kept_by:
            parse_address(kept_by)
        takeovers = self._parts().takeovers
        reply = Declined(kept_by, bool(nobody))
        takeovers.declined(str(entry), list(map(str, names)), reply)

    def _handle_stopped(self, peer: Target, raw: Any) -> None:
        self._parts().receive_stop(decode_candidate(raw))


def decode_candidate(raw: Any) -> Candidate:
    """Return the entry in a message; raises ValueError or TypeError."""
    name, since_ms = raw
    parse_address(name)
    return Candidate(name, int(since_ms))


def _handover(
    number: Any, sender: Any, receiver: Any, until_ms: Any, stopping: Any
) -> Handover:
    """Return a handover without its counts."""
    return Handover(
        int(number),
        decode_candidate(sender),
        decode_candidate(receiver),
        int(until_ms),
        bool(stopping),
        (),
    )


def _held_count(
    name: Any, limit: Any, version: Any, tokens: Any, ceders: Any
) -> HeldCount:
    return HeldCount(
        str(name),
        decode_limit(limit),
        int(version),
        float(tokens),
        tuple(
            Ceder(decode_candidate(entry), int(until_ms))
            for entry, until_ms in ceders
        ),
    )
