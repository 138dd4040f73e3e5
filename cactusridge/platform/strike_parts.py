"""The parts of an entry that quarantine requests which crash replicas."""

from cactusridge.clock import Clock
from cactusridge.jobs.heads import JOBS_TABLE
from cactusridge.jobs.keys import head_prefixes
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.peer_strikes import PeerStrikes
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.policies import RULES
from cactusridge.quarantine.strike_store import StrikeStore
from cactusridge.startup.models import DirectEntrySettings
from cactusridge.store.listeners import ListenersByPrefix
from cactusridge.store.table import Table
from cactusridge.store.table_follower import TableListener
from cactusridge.stream_origins.origin_holders import OriginHolders

# Number of strikes from which those of a request are stored. Peers receive
# every strike at once, and most requests that merely ran on a replica when
# another request crashed it never get a second one.
MIN_STORED_STRIKES = 2
# Strikes are stored in the table of the jobs because every entry follows it.
STRIKES_PREFIX = f'{JOBS_TABLE}/strikes/'


def followed_prefixes() -> list[str]:
    """Return the key prefixes of the strikes and of all job heads."""
    return [STRIKES_PREFIX, *head_prefixes()]


class StrikeParts:
    """The suspected requests, and the store and peers that share strikes."""

    def __init__(
        self,
        cfg: DirectEntrySettings,
        table: Table,
        clock: Clock,
    ) -> None:
        """Store strikes in ``table``."""
        self.suspects = CrashEvidence(RULES[cfg.policy.quarantine](), clock)
        self.store = StrikeStore(
            table,
            STRIKES_PREFIX,
            self.suspects,
            clock,
            MIN_STORED_STRIKES,
        )

    def combined_listener(self, heads: TableListener) -> TableListener:
        """Return a listener for strikes that passes job heads to ``heads``."""
        return ListenersByPrefix(
            {STRIKES_PREFIX: self.store, f'{JOBS_TABLE}/': heads}
        )

    def try_again(self, own_name: str, entries: OriginHolders) -> None:
        """Try a quarantined part here if this entry comes first for it."""
        self.suspects.try_again(lambda part: entries.of(part, 1) == [own_name])

    def connect_peers(self, peers: PeerExchange) -> None:
        """Pass the strikes of this entry to the store and to ``peers``."""
        self.suspects.add_listener(self.store)
        self.suspects.add_listener(PeerStrikes(peers, self.suspects))
