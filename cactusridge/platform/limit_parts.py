"""The parts of an entry that enforce the limits of organisations."""

from collections.abc import Callable

import gevent
from gevent.event import Event

from cactusridge.background import run_every, run_every_while, run_forever
from cactusridge.clock import Clock
from cactusridge.jobs.member import Member
from cactusridge.jobs.membership import Membership
from cactusridge.organisations.common_outage import CommonOutage
from cactusridge.organisations.join_confirmations import JoinConfirmations
from cactusridge.organisations.lease_state import LeaseState
from cactusridge.organisations.limit_counter import LimitCounter
from cactusridge.organisations.limit_handover import LimitHandover
from cactusridge.organisations.limit_messages import Candidate
from cactusridge.organisations.limit_owners import (
    UPDATE_INTERVAL_S,
    LimitOwners,
)
from cactusridge.organisations.limiter import FixedShares, Limiter, NoLimits
from cactusridge.organisations.outage_watch import (
    WATCH_INTERVAL_S,
    OutageWatch,
)
from cactusridge.organisations.owner_limiter import OwnerLimiter
from cactusridge.organisations.policies import LIMITERS
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.join_messages import JoinMessages
from cactusridge.peers.limit_handovers import LimitHandovers
from cactusridge.peers.limit_requests import LimitRequests
from cactusridge.peers.outage_reports import OutageReports
from cactusridge.peers.peer_socket import Target, peer_name
from cactusridge.platform.derived_members import DerivedMembers
from cactusridge.platform.membership_lease import MembershipLease
from cactusridge.startup.models import DirectEntrySettings
from cactusridge.store.store_clock import StoreClock

# Seconds between two checks of what is to be handed over or sent again.
HANDOVER_INTERVAL_S = 0.05


class LimitParts:
    """The owner entries of organisations, and the configured limiter."""

    def __init__(
        self,
        cfg: DirectEntrySettings,
        session: Membership,
        store_clock: StoreClock,
        peers: PeerExchange,
        has_organisations: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Use the members of ``session``, reached through ``peers``.

        ``has_organisations`` returns whether the configuration in force has
        organisations. Without them nothing is counted or handed over.
        """
        self._session = session
        self._listed = DerivedMembers(session.members_as_read, _candidates_of)
        self._has_organisations = has_organisations
        self._list_read = Event()
        self._has_handover = cfg.policy.limit_handover == 'acknowledged'
        own_name = str(cfg.peer_address)
        lease = MembershipLease(session)
        outage = CommonOutage(store_clock.now_ms, clock)
        lease_state = LeaseState(lease, outage)
        self.owners = LimitOwners(
            own_name,
            self._candidates,
            store_clock,
            lease_state.is_current,
            clock,
        )
        counter = LimitCounter(self.owners, clock)
        link = LimitHandovers(peers)
        self._handover = LimitHandover(
            self.owners, counter.holds, lease_state, link, clock
        )
        self._join_messages = JoinMessages(peers)
        self._joins = JoinConfirmations(
            self.owners, lease_state, self._join_messages, clock
        )
        reports = OutageReports(peers)
        self._watch = OutageWatch(
            own_name,
            outage,
            lease,
            self._member_names,
            store_clock,
            reports.send,
        )
        if self._has_handover:
            counter.connect_handover(self._handover)
            link.connect(self._handover)
            self._join_messages.connect(self._joins)
            reports.connect(self._watch)
            session.membership_start.continue_while(outage.holds)
        owner_limits = OwnerLimiter(
            own_name,
            self.owners,
            counter,
            LimitRequests(peers, counter, self.owners),
            clock,
        )
        limiters: dict[type[Limiter], Limiter] = {
            OwnerLimiter: owner_limits,
            FixedShares: FixedShares(self._entry_count, clock),
            NoLimits: NoLimits(),
        }
        self.limiter = limiters[LIMITERS[cfg.policy.limits]]

    def start(self) -> None:
        """Update the owner entries periodically, even without requests."""
        self._session.on_read(self._handle_read)
        self._session.on_restart(self.owners.update)
        gevent.spawn(run_every, UPDATE_INTERVAL_S, self.owners.update)
        if self._has_handover:
            steps = (
                (WATCH_INTERVAL_S, self._watch.step),
                (HANDOVER_INTERVAL_S, self._handover.run_due),
            )
            for pause_s, step in steps:
                gevent.spawn(
                    run_every_while, pause_s, step, self._has_organisations
                )
            gevent.spawn(run_forever, self._announce)

    def stop(self) -> None:
        """Hand over what this entry counts; it counts nothing afterwards."""
        if self._has_handover:
            self._handover.stop()

    def receive_status(self, peer: Target, *, has_store: bool) -> None:
        """Record whether the store responds to a peer."""
        self._watch.receive_status(peer_name(peer), has_store=has_store)

    def _handle_read(self) -> None:
        """Update who may count after a read of the list, without blocking."""
        self.owners.update()
        self._joins.list_read()
        self._list_read.set()

    def _announce(self) -> None:
        """Wait for a read of the list; announce this entry if it is new.

        The configuration may be read later than the list.
        """
        self._list_read.wait()
        self._list_read.clear()
        while self._joins.is_awaited:
            if self._has_organisations():
                self._joins.run_due()
            gevent.sleep(HANDOVER_INTERVAL_S)

    def _candidates(self) -> tuple[Candidate, ...]:
        """Return the live members; none until the membership list was read."""
        if not self._session.has_joined:
            return ()
        return self._listed.current()

    def _member_names(self) -> list[str]:
        return [each.name for each in self._candidates()]

    def _entry_count(self) -> int:
        return len(self._session.members())


def _candidates_of(members: tuple[Member, ...]) -> tuple[Candidate, ...]:
    return tuple(
        Candidate(peer_name((each.host, each.port)), each.since_ms)
        for each in members
    )
