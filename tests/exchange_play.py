"""Creates an exchange between entries for tests."""

from cactusridge.peers.audience import Audience
from cactusridge.peers.entry_status import EntryStatus
from cactusridge.peers.exchange import PeerExchange


def exchange_of(sock, loads, addresses, sharing):
    """Return an exchange whose peers are the entries at ``addresses``."""
    return PeerExchange(
        sock,
        loads,
        Audience(sock.address, loads, lambda: addresses, sharing),
        sharing.cells,
        lambda: EntryStatus(3, True, 7),
    )
