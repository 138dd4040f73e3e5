"""The counts that peers have sent."""

from typing import Any

from cactusridge.peers.cells import Cells
from cactusridge.peers.load import NO_LOAD, Load
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.message_parts import decode_counts
from cactusridge.peers.peer_socket import Target, peer_name

ALL = 'all'
CHANGED = 'some'


class ReceivedCounts:
    """Applies the counts in peers' messages to the table of loads."""

    def __init__(self, loads: LoadTable, cells: Cells) -> None:
        """Start without counts of any peer."""
        self._loads = loads
        self._cells = cells
        self._counts: dict[Target, dict[str, Load]] = {}

    def apply(self, message: dict[str, Any], sender: Target) -> None:
        """Apply the counts in a peer's message."""
        counts = decode_counts(message.get(ALL) or message.get(CHANGED) or {})
        if ALL not in message:
            counts = {**self._counts.get(sender, {}), **counts}
        counts = {key: load for key, load in counts.items() if load != NO_LOAD}
        name = peer_name(sender)
        if counts or not self._cells.is_remote(name):
            self._counts[sender] = counts
            self._loads.set_peer_loads(name, counts)
        else:
            # A remote peer without requests here sends no repeats, so its
            # counts need not be kept.
            self._counts.pop(sender, None)
            self._loads.forget(name)
