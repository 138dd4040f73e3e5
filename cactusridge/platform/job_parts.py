"""The parts of an entry that run batch jobs."""

import gevent
from gevent.event import Event

from cactusridge import events, logs
from cactusridge.background import run_every, run_forever
from cactusridge.clock import Clock
from cactusridge.dispatch.policies import make_cell_rule
from cactusridge.dispatch.run import Runner
from cactusridge.fleet.entry_place import EntryPlace
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.http.client import Address
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.item_queue import ItemQueue
from cactusridge.jobs.janitor import REMOVAL_POLL_S, Janitor
from cactusridge.jobs.job_admission import JobAdmission
from cactusridge.jobs.ledger import JobLedger
from cactusridge.jobs.manager import ORPHAN_POLL_S, JobManager
from cactusridge.jobs.member import Member
from cactusridge.jobs.membership import RENEW_INTERVAL_S, Membership, log_errors
from cactusridge.jobs.membership_start import MembershipStart
from cactusridge.jobs.orphans import Orphans
from cactusridge.jobs.policies import make_policies
from cactusridge.jobs.scheduler import BatchScheduler
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.cells import Cells
from cactusridge.peers.exchange import PeerExchange
from cactusridge.platform.catalog_holder import CatalogHolder
from cactusridge.platform.derived_members import DerivedMembers
from cactusridge.platform.job_calls import JobCalls
from cactusridge.platform.store_access import StoreAccess
from cactusridge.startup.models import DirectEntrySettings
from cactusridge.work_meter import Part, spawn

# Seconds until an entry that is not yet a member tries again to join. Until
# then it can neither run jobs nor count the limits of organisations. The
# circuit breaker limits how many retries reach the store.
JOIN_RETRY_S = 0.2


class JobParts:
    """Membership, ledger, scheduler, manager and janitor of one entry."""

    def __init__(
        self,
        cfg: DirectEntrySettings,
        store: StoreAccess,
        holder: CatalogHolder,
        fleet: FleetView,
        runner: Runner,
        clock: Clock,
    ) -> None:
        """Create the parts on ``store`` without starting them."""
        address = cfg.peer_address
        self.heads = JobHeads()
        self.session = Membership(
            store.rows,
            clock,
            cfg.name,
            address,
            cfg.zone,
            MembershipStart(store.clock),
        )
        self.cells = Cells(
            str(address),
            fleet,
            DerivedMembers(self.session.members, _places).current,
            make_cell_rule(cfg.policy),
            clock,
        )
        self.sharing = BatchSharing(fleet, self.cells)
        policies = make_policies(cfg.policy)
        self.scheduler = BatchScheduler(
            fleet,
            runner,
            clock,
            ItemQueue(
                clock,
                store.clock,
                holder.current,
                policies.urgency,
                runner.shared_parts,
            ),
            self.sharing,
            policies.claims,
        )
        runner.loads.on_change(self.scheduler.on_loads_changed)
        ledger = JobLedger(store.rows, store.objects, clock)
        orphans = Orphans(self.session, clock)
        self.manager = JobManager(
            ledger,
            self.heads,
            self.session,
            self.scheduler,
            orphans,
            clock,
            runner.loads.has_current_peers,
        )
        self._janitor = Janitor(
            ledger,
            self.heads,
            orphans,
            store.clock,
            cfg.keep_jobs_s,
        )
        self.connect_reads()
        self.intake = JobAdmission(lambda: store.lost, store.clock, clock)
        self.calls = JobCalls(self.manager, self.heads, self.intake)

    def connect_reads(self) -> None:
        """Poll for orphaned jobs after each read of all heads."""
        # Set to poll before the interval ends: this entry has read what the
        # poll needs.
        self._poll_requested = Event()
        self.heads.on_read(self._poll_requested.set)

    def connect_peers(self, peers: PeerExchange) -> None:
        """Exchange job changes with ``peers`` and receive their loads."""
        peers.on_loads(self.scheduler.on_loads_changed)
        peers.on_announcement(self.manager.on_announcement)
        self.manager.announce_with(peers.announce)

    def start(self) -> None:
        """Start the greenlets of the parts."""
        # The session takes its first step at once. Until an entry has read
        # the membership list it dispatches as if it were the only one, and
        # after a restart of all entries the requests arrive immediately.
        spawn(Part.session, run_forever, self.keep_membership)
        spawn(Part.jobs, run_forever, self.poll_orphans)
        spawn(Part.scheduler, run_forever, self.scheduler.step)
        spawn(
            Part.jobs,
            run_every,
            REMOVAL_POLL_S,
            self._janitor.remove_expired,
        )

    def renew(self) -> None:
        """Renew the membership.

        Requests a poll for orphaned jobs if the lease becomes valid.
        """
        was_valid = self.session.lease_is_valid()
        self.session.renew_and_read()
        if self.session.lease_is_valid() and not was_valid:
            self._poll_requested.set()

    def keep_membership(self) -> None:
        """Renew the membership, then wait until the next renewal is due."""
        self.renew()
        joined = self.session.has_joined
        gevent.sleep(RENEW_INTERVAL_S if joined else JOIN_RETRY_S)

    def poll_orphans(self) -> None:
        """Poll for orphaned jobs at the end of the interval, or sooner."""
        self._poll_requested.wait(ORPHAN_POLL_S)
        self._poll_requested.clear()
        self.manager.poll()

    def finish(self, bound_s: float) -> None:
        """Hand over the jobs, then leave the membership list.

        The handover is cut off after ``bound_s`` seconds so that the row of
        this entry is always removed: as long as the row exists, the other
        entries wait for its lease to expire.
        """
        try:
            with gevent.Timeout(bound_s):
                self.manager.stop()
        except gevent.Timeout:
            logs.emit(events.HANDOVER_CUT_SHORT, bound_s=bound_s)
        log_errors(self.session.leave)


def _places(members: tuple[Member, ...]) -> tuple[EntryPlace, ...]:
    """Return the addresses and zones of the live entries, sorted."""
    places = (
        EntryPlace(str(Address(each.host, each.port)), each.zone)
        for each in members
    )
    return tuple(sorted(places))
