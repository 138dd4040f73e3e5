"""Builds an entry of the machines' platform from its parts."""

import random
from http import HTTPStatus

import gevent

from cactusridge import metrics
from cactusridge.background import keep_doing, keep_doing_every
from cactusridge.clock import BootClock
from cactusridge.dispatch.catalog import Catalog
from cactusridge.dispatch.fleet_view import FleetView
from cactusridge.dispatch.loads import LoadTable
from cactusridge.dispatch.online import OnlineDispatcher
from cactusridge.dispatch.peers import PeerExchange, Target
from cactusridge.dispatch.run import Runner
from cactusridge.errors import CactusridgeError
from cactusridge.http.app import App, route
from cactusridge.http.client import Address, parse_address
from cactusridge.http.exchange import Reply, Req, json_reply
from cactusridge.http.server import Server
from cactusridge.jobs.heads import TABLE as JOBS
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.keys import head_prefixes
from cactusridge.jobs.ledger import JobLedger
from cactusridge.jobs.manager import LOOK_S, JobManager
from cactusridge.jobs.scheduler import BatchScheduler
from cactusridge.jobs.session import RENEW_S, Session, ignore_store_errors
from cactusridge.platform import discovery, operator
from cactusridge.platform.caller_app import CallerApp
from cactusridge.platform.catalog_peers import CATALOG_PATH, CatalogPeers
from cactusridge.platform.job_calls import JobCalls
from cactusridge.platform.rows import PlatformRows
from cactusridge.platform.upstream import HttpUpstream
from cactusridge.routing.outliers import OutlierEjector
from cactusridge.serving import Role
from cactusridge.startup.models import DirectEntrySettings
from cactusridge.store.link import PlatformLink
from cactusridge.store.store_clock import StoreClock
from cactusridge.store.table_follower import (
    WAIT_S,
    TableFollower,
    TableListener,
)

# The largest body of a call between our own processes, in bytes.
INNER_BODY = 65_536
INNER_TIMEOUT_S = 2.0
# One failure takes a replica out of choice for this long, in seconds,
# doubled by each that follows: a replica that is gone is missed by the
# list of replicas for seconds, one that broke off once is soon back.
EJECT_FAILURES = 1
EJECT_FIRST_S = 0.4
EJECT_MOST_S = 4.0
TRIM_S = 1.0


class DirectEntry(Role):
    """An entry that places requests at upstreams itself."""

    def __init__(self, cfg: DirectEntrySettings) -> None:
        """Build every part; nothing runs yet."""
        self._cfg = cfg
        clock = BootClock()
        self._clock = clock
        self._store_clock = StoreClock(clock)
        self._rows = self._make_rows()
        self._holder = operator.CatalogHolder()
        self._catalog_follower = self._follower(
            operator.TABLE,
            [operator.KEY],
            self._holder,
        )
        self._fleet = FleetView()
        self._upstream = HttpUpstream(clock)
        health = OutlierEjector(
            clock,
            EJECT_FAILURES,
            EJECT_FIRST_S,
            EJECT_MOST_S,
        )
        loads = LoadTable(clock)
        runner = Runner(self._upstream, loads, health, clock)
        online = OnlineDispatcher(self._fleet, runner, cfg.zone, clock)
        peer_address = parse_address(cfg.peer_listen)
        self._session = Session(
            self._rows,
            clock,
            cfg.name,
            peer_address,
            cfg.zone,
        )
        self._scheduler = BatchScheduler(
            str(peer_address),
            self._fleet,
            runner,
            clock,
            self._store_clock,
            self._catalog,
        )
        loads.on_change(self._scheduler.loads_changed)
        self._catalogs = CatalogPeers(self._holder)
        self._peers = PeerExchange(
            peer_address,
            loads,
            self._peer_targets,
            self._catalogs.version,
        )
        self._peers.on_loads(self._scheduler.loads_changed)
        self._peers.on_version(self._catalogs.heard)
        self._heads = JobHeads()
        self._manager = JobManager(
            JobLedger(self._rows, clock),
            self._heads,
            self._session,
            self._scheduler,
            clock,
            self._peers.tell,
            loads.peers_heard,
        )
        self._peers.on_news(self._manager.told)
        jobs = JobCalls(self._manager, self._heads, self._store_clock)
        self._app = CallerApp(
            self._holder,
            self._catalog_follower,
            online,
            jobs,
            clock,
        )
        self._draining = False

    def application(self) -> object:
        """Return the application that callers reach."""
        return self._app

    def start(self) -> None:
        """Start following the store, the peers and the jobs."""
        self._peers.start()
        for follower in (self._catalog_follower, *self._other_followers()):
            gevent.spawn(keep_doing, follower.step)
        gevent.spawn(keep_doing_every, RENEW_S, self._session.step)
        gevent.spawn(keep_doing_every, LOOK_S, self._manager.look)
        gevent.spawn(keep_doing, self._scheduler.step)
        trim = self._upstream.connections.trim
        gevent.spawn(keep_doing_every, TRIM_S, trim)
        self._serve_at(self._cfg.readiness_listen, '/.*', self._readiness)
        self._serve_at(self._cfg.metrics_listen, '/metrics', metrics.serve)
        serve_catalog = self._catalogs.serve
        self._serve_at(self._cfg.peer_listen, CATALOG_PATH, serve_catalog)

    def begin_drain(self) -> None:
        """Fail readiness."""
        self._draining = True

    def finish(self, bound_s: float) -> None:
        """Hand the jobs on and leave the list of entries."""
        with gevent.Timeout(bound_s, False):  # noqa: WPS425
            self._manager.stop()
            ignore_store_errors(self._session.leave)

    def _make_rows(self) -> PlatformRows:
        store = self._cfg.store
        address = parse_address(store.address)
        link = self._link(address, store.timeout_s)
        feeds = self._link(address, store.timeout_s + WAIT_S)
        return PlatformRows(link, feeds, self._store_clock)

    def _link(self, address: Address, timeout_s: float) -> PlatformLink:
        return PlatformLink(
            address,
            timeout_s,
            self._cfg.store.calls_per_s,
            self._clock,
            random.Random(),  # noqa: S311
            self._cfg.store.max_pause_s,
        )

    def _other_followers(self) -> list[TableFollower]:
        discovered = discovery.Discovery(self._fleet, self._clock)
        return [
            self._follower(discovery.TABLE, [discovery.PREFIX], discovered),
            self._follower(JOBS, head_prefixes(), self._heads),
        ]

    def _follower(
        self,
        table: str,
        prefixes: list[str],
        listener: TableListener,
    ) -> TableFollower:
        return TableFollower(
            self._rows,
            table,
            prefixes,
            listener,
            self._clock,
        )

    def _peer_targets(self) -> list[Target]:
        return [
            (member.host, member.port) for member in self._session.members()
        ]

    def _catalog(self) -> Catalog:
        return self._holder.catalog

    def _serve_at(self, listen: str, pattern: str, handler: object) -> None:
        app = App([route('GET', pattern, handler)], INNER_BODY, INNER_TIMEOUT_S)
        address = parse_address(listen)
        Server(address, app, self._cfg.idle_timeout_s).start()

    def _readiness(self, req: Req) -> Reply:
        if self._holder.known and not self._draining:
            return json_reply({})
        raise NotReady


class NotReady(CactusridgeError):
    """This process takes no new connections now."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    code = 'not_ready'
