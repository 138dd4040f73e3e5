"""The parts of an entry that hold back requests that crash replicas."""

from cactusridge.clock import Clock
from cactusridge.jobs.heads import TABLE
from cactusridge.jobs.keys import head_prefixes
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.peer_strikes import PeerStrikes
from cactusridge.quarantine.policies import RULES
from cactusridge.quarantine.strike_store import StrikeStore
from cactusridge.quarantine.suspects import Suspects
from cactusridge.startup.models import DirectEntrySettings
from cactusridge.store.listeners import ListenersByPrefix
from cactusridge.store.table import Table
from cactusridge.store.table_follower import TableListener

# Peers are told of each strike at once. Most requests that share one crash
# with its cause have no second, and need not be stored.
STORED_STRIKES = 2
# Beside the jobs, whose table every entry follows anyway.
STRIKES = f'{TABLE}/strikes/'


def followed_prefixes() -> list[str]:
    """Return the prefixes of the strikes and of the heads of all jobs."""
    return [STRIKES, *head_prefixes()]


class StrikeParts:
    """What is suspected, and where it is told and stored."""

    def __init__(
        self,
        cfg: DirectEntrySettings,
        table: Table,
        clock: Clock,
    ) -> None:
        """Store strikes in ``table``."""
        self.suspects = Suspects(RULES[cfg.policy.quarantine](), clock)
        self.store = StrikeStore(
            table,
            STRIKES,
            self.suspects,
            clock,
            STORED_STRIKES,
        )

    def beside(self, heads: TableListener) -> TableListener:
        """Return who is told of strikes, and ``heads`` of the jobs."""
        return ListenersByPrefix({STRIKES: self.store, f'{TABLE}/': heads})

    def speak_through(self, peers: PeerExchange) -> None:
        """Pass on what this entry sees."""
        self.suspects.pass_on(self.store)
        self.suspects.pass_on(PeerStrikes(peers, self.suspects))
