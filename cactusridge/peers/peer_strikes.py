"""Exchanges strikes, the recorded crashes of replicas, between entries."""

from collections.abc import Sequence
from typing import Any

from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.peer_socket import Target
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.strike import Stage, Strike, StrikePair
from cactusridge.quarantine.strike_listener import StrikeListener

STRIKES = 'strikes'
WITHDRAWALS = 'strikes_withdrawn'
# Number of fields of a request's strike.
REQUEST_FIELDS = 4


class PeerStrikes(StrikeListener):
    """Sends each new strike of this entry to all peers at once.

    The caller may retry at another entry within a moment. Each datagram has
    all strikes of the request, so that it makes up for datagrams that were
    lost before.
    """

    def __init__(self, peers: PeerExchange, suspects: CrashEvidence) -> None:
        """Send and receive through ``peers``."""
        self._peers = peers
        self._suspects = suspects
        peers.on_message(STRIKES, self._handle_strikes)
        peers.on_message(WITHDRAWALS, self._handle_withdrawals)

    def publish_strikes(self, strikes: Sequence[Strike]) -> None:
        """Send all strikes of one request or part to all peers."""
        self._peers.broadcast(
            STRIKES, [_encode_strike(each) for each in strikes]
        )

    def publish_withdrawals(self, pairs: Sequence[StrikePair]) -> None:
        """Send the withdrawal of strikes to all peers."""
        self._peers.broadcast(WITHDRAWALS, [list(each) for each in pairs])

    def _handle_strikes(self, peer: Target, raw: Any) -> None:
        """Apply strikes from a peer; raises ValueError or TypeError."""
        self._suspects.add_strikes([_decode_strike(each) for each in raw])

    def _handle_withdrawals(self, peer: Target, raw: Any) -> None:
        pairs = [(str(found), str(incarnation)) for found, incarnation in raw]
        self._suspects.apply_withdrawals(pairs)


def _encode_strike(strike: Strike) -> list[Any]:
    """Return the fields; those of parts alone only for a part.

    Entries of earlier releases read the four fields of a request's strike.
    """
    fields = list(strike)
    return fields if strike.request else fields[:REQUEST_FIELDS]


def _decode_strike(raw: Any) -> Strike:
    fingerprint, incarnation, stage, at, *of_part = raw
    strike = Strike(str(fingerprint), str(incarnation), Stage(stage), float(at))
    if not of_part:
        return strike
    request, position = of_part
    return strike._replace(request=str(request), position=int(position))
