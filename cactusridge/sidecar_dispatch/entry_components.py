"""The components shared by the HTTP interfaces and batch work."""

from typing import NamedTuple

from gevent.pool import Group

from cactusridge.clock import Clock
from cactusridge.errors import NotFound
from cactusridge.http.exchange import Req
from cactusridge.settings.access import AccessTable
from cactusridge.settings.catalog import ServiceCatalog
from cactusridge.settings.store import SettingsStore
from cactusridge.settings.tree import SettingsTree
from cactusridge.sidecar_dispatch.dispatcher import Dispatcher
from cactusridge.sidecar_dispatch.fleet import Fleet
from cactusridge.sidecar_dispatch.sidecar_client import SidecarClient
from cactusridge.slo.recorder import SloRecorder
from cactusridge.startup.models import EntrySettings
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.table import Table


class EntryComponents(NamedTuple):
    """The shared components of an entry, passed around as one value."""

    cfg: EntrySettings
    clock: Clock
    tree: SettingsTree
    settings: SettingsStore
    access: AccessTable
    catalog: ServiceCatalog
    table: Table
    objects: ObjectStore
    client: SidecarClient
    fleet: Fleet
    dispatcher: Dispatcher
    recorder: SloRecorder
    greenlets: Group

    def team_of(self, req: Req) -> str:
        """Return the caller's team.

        Raises NotFound for the administrator, who belongs to no team.
        """
        caller = self.access.caller(req.header('Authorization'))
        if caller.admin:
            raise NotFound('the administrator has no files or batches')
        return caller.team
