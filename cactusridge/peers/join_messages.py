"""Messages between entries about one that joins a new fleet."""

from collections.abc import Sequence
from typing import Any

from cactusridge.http.client import parse_address
from cactusridge.organisations.join_confirmations import JoinConfirmations
from cactusridge.organisations.limit_messages import Candidate, JoinLink
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.exit_check import exited
from cactusridge.peers.limit_handovers import decode_candidate
from cactusridge.peers.peer_socket import Target, peer_name
from cactusridge.peers.plain import plain_message

JOINED_TOPIC = 'limit_joined'
KNOWN_TOPIC = 'limit_known'


class JoinMessages(JoinLink):
    """Sends and receives announcements and their confirmations.

    Entries of older versions ignore them. An entry that joins then waits until
    it counts by its age.
    """

    def __init__(self, peers: PeerExchange) -> None:
        """Send and receive through ``peers``."""
        self._peers = peers
        self._joins: JoinConfirmations | None = None

    def connect(self, joins: JoinConfirmations) -> None:
        """Pass received messages on to ``joins``."""
        self._joins = joins
        self._peers.on_message(JOINED_TOPIC, self._handle_joined)
        self._peers.on_message(KNOWN_TOPIC, self._handle_known)

    def announce(self, entry: str, joining: Candidate, *, counts: bool) -> None:
        """Notify ``entry`` that ``joining``, this entry, is a member."""
        message = [joining, counts]
        self._send(entry, JOINED_TOPIC, message)

    def confirm(
        self, joining: Candidate, own: Candidate | None, *, counts: bool
    ) -> None:
        """Respond to ``joining`` that this entry knows it from now on."""
        message = [joining, own, counts]
        self._send(joining.name, KNOWN_TOPIC, message)

    def exited(self, entries: Sequence[str]) -> list[str]:
        """Return those of ``entries`` whose hosts refuse connections."""
        return exited(entries)

    def _send(self, entry: str, topic: str, payload: Any) -> None:
        self._peers.send_to(parse_address(entry), topic, plain_message(payload))

    def _handle_joined(self, peer: Target, raw: Any) -> None:
        joining, counts = raw
        if self._joins is not None:
            self._joins.receive(decode_candidate(joining), counts=bool(counts))

    def _handle_known(self, peer: Target, raw: Any) -> None:
        joining, own, counts = raw
        entry = None if own is None else decode_candidate(own)
        if self._joins is not None:
            self._joins.receive_confirmation(
                peer_name(peer),
                decode_candidate(joining),
                entry if counts else None,
            )
