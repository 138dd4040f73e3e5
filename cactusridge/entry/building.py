"""Builds the components of an entry from its start settings."""

import functools
import random
import secrets

from gevent.pool import Group

from cactusridge.clock import Clock
from cactusridge.http.client import parse_address
from cactusridge.settings.access import AccessTable
from cactusridge.settings.catalog import ServiceCatalog
from cactusridge.settings.schema import ObjectiveSettings
from cactusridge.settings.store import SettingsStore
from cactusridge.settings.tree import SettingsTree
from cactusridge.sidecar_dispatch.dispatcher import Dispatcher
from cactusridge.sidecar_dispatch.entry_components import EntryComponents
from cactusridge.sidecar_dispatch.fleet import Fleet
from cactusridge.sidecar_dispatch.sidecar_client import SidecarClient
from cactusridge.slo.burn_rate_monitor import BurnRateMonitor
from cactusridge.slo.recorder import SloRecorder
from cactusridge.startup.models import EntrySettings
from cactusridge.store.host_list import HttpHostList
from cactusridge.store.http_table import HttpTable
from cactusridge.store.link import PlatformLink
from cactusridge.store.object_store import HttpObjectStore
from cactusridge.store.reply_timeout import ReplyTimeout

NAME_SUFFIX_BYTES = 4


def build_parts(cfg: EntrySettings, clock: Clock) -> EntryComponents:
    """Return the components of an entry without starting any greenlet."""
    rng = random.Random()  # noqa: S311
    tree = SettingsTree()
    table = HttpTable(_link(cfg, clock))
    objects = HttpObjectStore(_link(cfg, clock))
    client = SidecarClient(cfg)
    greenlets = Group()
    host_list = HttpHostList(_link(cfg, clock))
    fleet = Fleet(cfg, host_list, client, tree, greenlets)
    name = f'{cfg.address}~{secrets.token_hex(NAME_SUFFIX_BYTES)}'
    return EntryComponents(
        cfg=cfg,
        clock=clock,
        tree=tree,
        settings=SettingsStore(table, clock, rng),
        access=AccessTable(tree, cfg.admin_token_sha256),
        catalog=ServiceCatalog(tree),
        table=table,
        objects=objects,
        client=client,
        fleet=fleet,
        dispatcher=Dispatcher(cfg, fleet, client, clock),
        recorder=SloRecorder(
            name,
            objects,
            cfg.report_s,
            clock,
            BurnRateMonitor(functools.partial(_objective, tree), clock),
        ),
        greenlets=greenlets,
    )


def _objective(tree: SettingsTree, path: str) -> ObjectiveSettings | None:
    settings = tree.model(path)
    return None if settings is None else settings.objective


def _link(cfg: EntrySettings, clock: Clock) -> PlatformLink:
    return PlatformLink(
        parse_address(cfg.store.address),
        ReplyTimeout(cfg.store.min_timeout_s, cfg.store.timeout_s),
        cfg.store.calls_per_s,
        clock,
        random.Random(),  # noqa: S311
    )
