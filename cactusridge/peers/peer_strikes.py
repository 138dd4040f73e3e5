"""Entries tell each other under which requests replicas crash."""

from collections.abc import Sequence
from typing import Any

from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.peer_socket import Target
from cactusridge.quarantine.strike import Pair, Stage, Strike
from cactusridge.quarantine.strike_listener import StrikeListener
from cactusridge.quarantine.suspects import Suspects

STRIKES = 'strikes'
WITHDRAWN = 'strikes_withdrawn'


class PeerStrikes(StrikeListener):
    """Tells every entry of a strike at once, with all those before it.

    The caller may be at another entry within a moment. What a lost
    datagram had is in the next one about the same request.
    """

    def __init__(self, peers: PeerExchange, suspects: Suspects) -> None:
        """Speak and hear through ``peers``."""
        self._peers = peers
        self._suspects = suspects
        peers.on_said(STRIKES, self._hear)
        peers.on_said(WITHDRAWN, self._hear_withdrawn)

    def struck(self, strikes: Sequence[Strike]) -> None:
        """Tell of all strikes against one request."""
        self._peers.say(STRIKES, [list(each) for each in strikes])

    def withdrawn(self, pairs: Sequence[Pair]) -> None:
        """Tell that strikes were taken back."""
        self._peers.say(WITHDRAWN, [list(each) for each in pairs])

    def _hear(self, peer: Target, raw: Any) -> None:
        """Take a peer's strikes; raise ValueError or TypeError."""
        self._suspects.hear([_strike_in(each) for each in raw])

    def _hear_withdrawn(self, peer: Target, raw: Any) -> None:
        pairs = [(str(found), str(life)) for found, life in raw]
        self._suspects.hear_withdrawn(pairs)


def _strike_in(raw: Any) -> Strike:
    fingerprint, life, stage, at = raw
    return Strike(str(fingerprint), str(life), Stage(stage), float(at))
