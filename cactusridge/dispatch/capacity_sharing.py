"""Shares observations of the speeds of replicas between entries."""

from typing import Any

from cactusridge.dispatch.capacity import CapacityEstimates
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.peer_socket import Target
from cactusridge.peers.speed_observations import decode_speeds, encode_speeds

SPEEDS = 'speeds'


class CapacitySharing:
    """Sends new observations with the repeats of all counts.

    One entry alone completes a request at each replica only every few seconds.
    Each observation is sent once, and only by the entry that made it: a lost
    message loses it, and a duplicated one counts it twice.
    """

    def __init__(
        self, peers: PeerExchange, capacity: CapacityEstimates
    ) -> None:
        """Send and receive the observations of ``capacity``."""
        self._capacity = capacity
        peers.add_to_repeats(SPEEDS, self._take)
        peers.on_message(SPEEDS, self._handle)

    def _take(self) -> dict[str, list[Any]]:
        return encode_speeds(self._capacity.take_observations())

    def _handle(self, peer: Target, raw: Any) -> None:
        """Add the observations of a peer; raises ValueError."""
        self._capacity.add_observations(decode_speeds(raw))
