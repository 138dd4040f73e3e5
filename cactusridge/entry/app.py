"""An entry process: its components, greenlets and HTTP interface."""

from collections.abc import Callable

from cactusridge import metrics
from cactusridge.background import run_every, run_forever
from cactusridge.batch.driver import BatchDriver
from cactusridge.batch.file_store import FileStore
from cactusridge.batch.job_reader import JobReader
from cactusridge.batch.job_store import JobStore
from cactusridge.clock import Clock
from cactusridge.entry.admin import AdminApi
from cactusridge.entry.batches import BatchesApi
from cactusridge.entry.building import build_parts
from cactusridge.entry.files import FilesApi
from cactusridge.entry.online import OnlineApi
from cactusridge.entry.peers import PeerClient
from cactusridge.entry.plain import PlainApi
from cactusridge.errors import Draining, Refused
from cactusridge.http.app import App, route
from cactusridge.http.exchange import Reply, Req, json_reply
from cactusridge.quarantine.strike_poll import StrikePoll
from cactusridge.quarantine.strike_store import StrikeStore
from cactusridge.settings.follower import SettingsFollower
from cactusridge.slo.hour_merger import HourMerger, merge_due_hours
from cactusridge.slo.recorder import seal_delay_s
from cactusridge.startup.models import EntrySettings

MERGE_CHECK_S = 300
STRIKES_PREFIX = 'strikes/'


class Entry:
    """One entry process that reaches upstreams through sidecars."""

    def __init__(self, cfg: EntrySettings, clock: Clock) -> None:
        """Build the components of the entry without starting them."""
        self.cfg = cfg
        self.draining = False
        self.parts = build_parts(cfg, clock)
        self.peers = PeerClient(cfg, self.parts.fleet)
        self.follower = SettingsFollower(
            self.parts.tree,
            self.parts.settings,
            self.peers,
        )
        self.driver = BatchDriver(self.parts)
        suspects = self.parts.dispatcher.suspects
        # Entries share strikes only through the store, so a request is
        # stored from its first strike on.
        self._strikes = StrikeStore(
            self.parts.table,
            STRIKES_PREFIX,
            suspects,
            clock,
            min_strikes=1,
        )
        suspects.add_listener(self._strikes)
        self._strike_poll = StrikePoll(
            self.parts.table, STRIKES_PREFIX, self._strikes
        )
        self._merger = HourMerger(
            self.parts.objects,
            self.parts.table,
            str(cfg.address),
            self.parts.fleet.entry_names,
            seal_delay_s(cfg.report_s),
            clock,
        )
        self.app = self._app()

    def start(self) -> None:
        """Load the host list and the settings, then start the greenlets."""
        self.parts.fleet.refresh()
        self.follower.start()
        self.parts.fleet.start()
        self.driver.start()
        self._spawn_every(self.cfg.settings_poll_s, self.follower.step)
        self.parts.greenlets.spawn(run_forever, self._strikes.step)
        self._spawn_every(self.cfg.strikes_poll_s, self._strike_poll.step)
        self._spawn_every(self.cfg.report_s, self.parts.recorder.flush)
        self._spawn_every(MERGE_CHECK_S, self._merge_hours)

    def begin_drain(self) -> None:
        """Fail the readiness probe; requests are still served."""
        self.draining = True

    def finish(self, bound_s: float) -> None:
        """Stop batch work and hand it back within ``bound_s`` seconds."""
        self.driver.stop(bound_s)

    def close(self) -> None:
        """Store the final SLO counts after the last request has ended."""
        self.parts.recorder.flush(last=True)

    def livez(self, req: Req) -> Reply:
        """Serve the liveness probe."""
        return json_reply({'status': 'live'})

    def readyz(self, req: Req) -> Reply:
        """Serve the readiness probe of the load balancer.

        Raises Draining during a drain, and Refused before the first
        settings are loaded.
        """
        if self.draining:
            raise Draining
        if not self.parts.tree.version:
            raise Refused('no settings are in force yet', retry_after_s=1)
        return json_reply({'status': 'ready'})

    def _app(self) -> App:
        files = FileStore(
            self.cfg.batch,
            self.parts.table,
            self.parts.objects,
            self.parts.catalog,
            self.parts.clock,
        )
        job_storage = (
            self.cfg.batch.shards,
            self.parts.table,
            self.parts.objects,
            self.parts.clock,
        )
        jobs = JobStore(*job_storage)
        reader = JobReader(*job_storage)
        admin = AdminApi(self.parts, self.follower, self.peers)
        routes = [
            *OnlineApi(self.parts).routes(),
            *PlainApi(self.parts).routes(),
            *FilesApi(self.parts, files, jobs, reader).routes(),
            *BatchesApi(self.parts, files, jobs, reader).routes(),
            *admin.routes(),
            *admin.internal_routes(),
            route('GET', '/livez', self.livez),
            route('GET', '/readyz', self.readyz),
            route('GET', '/metrics', metrics.serve),
        ]
        return App(routes, self.cfg.max_body_bytes, self.cfg.body_timeout_s)

    def _merge_hours(self) -> None:
        merge_due_hours(self._merger)

    def _spawn_every(self, pause_s: float, step: Callable[[], None]) -> None:
        self.parts.greenlets.spawn(run_every, pause_s, step)
