"""Assembles a ``direct_entry`` process from its parts."""

import gevent

from cactusridge import metrics
from cactusridge.background import run_every, run_forever
from cactusridge.clock import BootClock
from cactusridge.dispatch import policies
from cactusridge.dispatch.run import Runner
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.process_evidence import ProcessEvidence
from cactusridge.http.app import Route, route
from cactusridge.http.late_refusal import LateRefusal
from cactusridge.organisations.key_lease import KeyLease
from cactusridge.peers.audience import Audience
from cactusridge.peers.entry_status import EntryStatus
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.peer_socket import PeerSocket, Target
from cactusridge.platform import catalog_holder, discovery, names
from cactusridge.platform.caller_app import CallerApp
from cactusridge.platform.caller_resolver import CallerResolver
from cactusridge.platform.catalog_peers import CATALOG_PATH, CatalogPeers
from cactusridge.platform.internal_server import start_internal
from cactusridge.platform.job_parts import JobParts
from cactusridge.platform.key_lease_renewer import KeyLeaseRenewer
from cactusridge.platform.limit_parts import LimitParts
from cactusridge.platform.load_report import LOAD_PATH
from cactusridge.platform.online_parts import OnlineParts
from cactusridge.platform.peer_list import PeerList
from cactusridge.platform.readiness import Readiness
from cactusridge.platform.store_access import StoreAccess
from cactusridge.platform.strike_parts import (
    JOBS_TABLE,
    StrikeParts,
    followed_prefixes,
)
from cactusridge.platform.upstream import HttpUpstream
from cactusridge.serving import Role
from cactusridge.startup.models import DirectEntrySettings
from cactusridge.stream_origins.origin_holders import OriginHolders
from cactusridge.work_meter import METER, Part, spawn
from cactusridge.work_report import WorkReport

TRIM_PERIOD_S = 1.0


class DirectEntry(Role):
    """An entry that sends requests to replicas directly."""

    def __init__(self, cfg: DirectEntrySettings) -> None:
        """Create every part without starting it."""
        self._cfg = cfg
        clock = BootClock()
        self._clock = clock
        self._store = StoreAccess(cfg.store, clock)
        lease = KeyLease(clock, cfg.key_lease_s)
        self._holder = catalog_holder.CatalogHolder(lease)
        self._fleet = FleetView()
        evidence = ProcessEvidence(clock)
        self._discovery = discovery.Discovery(self._fleet, clock, evidence)
        self._upstream = HttpUpstream(clock, evidence)
        loads = LoadTable(clock)
        health = policies.make_outliers(cfg.policy, clock)
        self._strikes = StrikeParts(cfg, self._store.rows, clock)
        suspects = self._strikes.suspects
        runner = Runner(
            self._upstream,
            loads,
            health,
            suspects,
            clock,
            policies.make_capacity(cfg.policy, self._fleet, clock),
        )
        self._fleet.add_incarnation_listener(runner)
        self._fleet.add_incarnation_listener(self._upstream.connections)
        self._jobs = JobParts(
            cfg,
            self._store,
            self._holder,
            self._fleet,
            runner,
            clock,
        )
        self._online = OnlineParts(
            cfg,
            self._fleet,
            self._jobs.cells,
            runner,
            self._holder,
            clock,
        )
        self._catalogs = CatalogPeers(self._holder)
        self._peers = PeerExchange(
            PeerSocket(cfg.peer_address),
            loads,
            Audience(
                cfg.peer_address,
                loads,
                PeerList(self._jobs.session).targets,
                self._jobs.sharing,
            ),
            self._jobs.cells,
            self._own_status,
        )
        self._peers.on_status(self._receive_status)
        self._strikes.connect_peers(self._peers)
        self._strikes.try_again(
            str(cfg.peer_address), OriginHolders(self._jobs.cells.entries)
        )
        self._jobs.connect_peers(self._peers)
        self._online.connect_peers(self._peers)
        self._catalog_follower = self._store.follower(
            catalog_holder.TABLE,
            [catalog_holder.KEY],
            self._holder,
            lease.reread_s,
        )
        self._lease_renewer = KeyLeaseRenewer(
            self._holder,
            lease,
            self._store.rows,
            self._peers,
            loads,
            clock,
        )
        self._limits = LimitParts(
            cfg,
            self._jobs.session,
            self._store.clock,
            self._peers,
            self._holder.has_organisations,
            clock,
        )
        self._app = CallerApp(
            self._holder,
            self._catalog_follower,
            self._can_serve,
            self._online.dispatcher,
            self._jobs.calls,
            CallerResolver(
                self._holder,
                self._catalog_follower,
                lease,
                self._limits.limiter,
            ),
            clock,
        )
        self._readiness = Readiness(self._can_serve, self._jobs.intake)

    def application(self) -> object:
        """Return the WSGI application for callers."""
        return self._app

    def late_application(self) -> object:
        """Return the application that refuses and logs late requests."""
        return LateRefusal(names.REQUEST_ID)

    def header_limit_s(self) -> float:
        """Return the limit of the configuration in force, in seconds."""
        return self._holder.current().limits.header_s

    def start(self) -> None:
        """Start the greenlets and the internal servers."""
        self._peers.start()
        # Before this entry is a member: peers take a refused connection for
        # the end of its process.
        self._serve_at(
            self._cfg.peer_listen,
            route('GET', CATALOG_PATH, self._catalogs.serve),
        )
        followers = (
            self._catalog_follower,
            self._store.follower(
                discovery.TABLE,
                [discovery.PREFIX],
                self._discovery,
            ),
            self._store.follower(
                JOBS_TABLE,
                followed_prefixes(),
                self._strikes.combined_listener(self._jobs.heads),
            ),
        )
        for follower in followers:
            spawn(Part.feeds, run_forever, follower.step)
        spawn(Part.feeds, run_forever, self._strikes.store.step)
        self._jobs.start()
        close_expired = self._upstream.connections.close_expired
        gevent.spawn(run_every, TRIM_PERIOD_S, close_expired)
        self._limits.start()
        self._online.queue.start()
        self._lease_renewer.start()
        METER.start()
        report = WorkReport(METER, self._jobs.scheduler.depths)
        gevent.spawn(run_forever, report.step)
        self._serve_at(
            self._cfg.metrics_listen,
            route('GET', '/metrics', metrics.serve),
            route('GET', LOAD_PATH, self._online.load_report.serve),
        )

    def on_listening(self) -> None:
        """Start the readiness endpoint that the platform polls."""
        self._serve_at(
            self._cfg.readiness_listen,
            route('GET', '/.*', self._readiness.serve),
        )

    def begin_drain(self) -> None:
        """Make the readiness endpoint fail, hand over limits, end the waits."""
        self._readiness.begin_drain()
        self._limits.stop()
        self._online.queue.close_after(self._cfg.readiness_delay_s)

    def hand_over(self, bound_s: float) -> None:
        """Hand over the jobs and leave the membership list."""
        self._jobs.finish(bound_s - self._cfg.store.timeout_s)

    def _can_serve(self) -> bool:
        """Return whether the configuration and the replicas are known."""
        return self._holder.known and self._discovery.is_read

    def _own_status(self) -> EntryStatus:
        return EntryStatus(
            self._catalogs.version(),
            self._store.responds,
            self._store.contact.uptime_s(),
        )

    def _receive_status(self, peer: Target, word: EntryStatus) -> None:
        self._catalogs.on_peer_version(peer, word.version)
        self._jobs.intake.record_peer_report(word.has_store)
        self._limits.receive_status(peer, has_store=word.has_store)
        if word.has_store:
            now = self._clock.monotonic()
            self._discovery.shorten_grace(now - word.store_uptime_s)

    def _serve_at(self, listen: str, *routes: Route) -> None:
        start_internal(listen, self._cfg.idle_timeout_s, *routes)
