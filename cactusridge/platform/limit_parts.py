"""The parts of an entry that enforce the limits of organisations."""

import gevent

from cactusridge.background import run_every
from cactusridge.clock import Clock
from cactusridge.http.client import Address
from cactusridge.jobs.membership import Membership
from cactusridge.organisations.limit_counter import LimitCounter
from cactusridge.organisations.limit_owners import (
    UPDATE_INTERVAL_S,
    Candidate,
    LimitOwners,
)
from cactusridge.organisations.limiter import FixedShares, Limiter, NoLimits
from cactusridge.organisations.owner_limiter import OwnerLimiter
from cactusridge.organisations.policies import LIMITERS
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.limit_requests import LimitRequests
from cactusridge.startup.models import DirectEntrySettings
from cactusridge.store.store_clock import StoreClock


class LimitParts:
    """The owner entries of organisations, and the configured limiter."""

    def __init__(
        self,
        cfg: DirectEntrySettings,
        session: Membership,
        store_clock: StoreClock,
        peers: PeerExchange,
        clock: Clock,
    ) -> None:
        """Use the members of ``session``, reached through ``peers``."""
        self._session = session
        own_name = str(cfg.peer_address)
        self.owners = LimitOwners(
            own_name,
            self._candidates,
            store_clock.now_ms,
            session.is_current,
            clock,
        )
        counter = LimitCounter(self.owners, clock)
        questions = LimitRequests(peers, counter, self.owners)
        owner_limits = OwnerLimiter(
            own_name, self.owners, counter, questions, clock
        )
        limiters: dict[type[Limiter], Limiter] = {
            OwnerLimiter: owner_limits,
            FixedShares: FixedShares(self._entry_count, clock),
            NoLimits: NoLimits(),
        }
        self.limiter = limiters[LIMITERS[cfg.policy.limits]]

    def start(self) -> None:
        """Update the owner entries periodically, even without requests."""
        self._session.on_read(self.owners.update)
        gevent.spawn(run_every, UPDATE_INTERVAL_S, self.owners.update)

    def _candidates(self) -> list[Candidate]:
        """Return the live members; none until the membership list was read."""
        if not self._session.has_joined:
            return []
        return [
            Candidate(str(Address(each.host, each.port)), each.since_ms)
            for each in self._session.members()
        ]

    def _entry_count(self) -> int:
        return len(self._session.members())
