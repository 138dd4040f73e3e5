"""The addresses of the listed entries, for messages to them."""

from cactusridge.jobs.membership import Membership
from cactusridge.peers.peer_socket import Target


class PeerList:
    """Caches the addresses of the members until they are read again.

    Every message about a request looks at them. Computed each time, a message
    would cost time in proportion to the fleet.
    """

    def __init__(self, session: Membership) -> None:
        """Return the members of ``session``."""
        self._session = session
        self._reads = -1
        self._targets: frozenset[Target] = frozenset()

    def targets(self) -> frozenset[Target]:
        """Return the addresses of all members, this entry among them.

        A member whose lease has expired remains until the next read.
        """
        if self._reads != self._session.reads:
            self._reads = self._session.reads
            self._targets = frozenset(
                (member.host, member.port) for member in self._session.members()
            )
        return self._targets
