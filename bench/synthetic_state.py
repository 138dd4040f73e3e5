"""Synthetic state of entries and sidecars at a given size."""

from cactusridge.batch.job_store import Submission
from cactusridge.batch.manifest import Manifest, Segment
from cactusridge.batch.span import Span
from cactusridge.clock import ManualClock
from cactusridge.http.client import Address
from cactusridge.orders import (
    ServiceReport,
    SidecarReport,
)
from cactusridge.organisations.keys import key_digest
from cactusridge.settings.access import AccessTable
from cactusridge.settings.catalog import Service, ServiceCatalog
from cactusridge.settings.schema import ServiceSettings
from cactusridge.settings.tree import SettingsTree, Snapshot
from cactusridge.sidecar.order_ledger import OrderLedger
from cactusridge.sidecar_dispatch.sidecar_host import SidecarHost
from cactusridge.startup.models import SidecarSettings
from cactusridge.store.host_list import Host, HostState

SERVICE = '/teams/t/deployments/d/services/s'
LOAD = ServiceReport(
    online_running=3,
    online_waiting=0,
    batch_running=4,
    batch_waiting=8,
    online_limit=8,
    batch_limit=5,
    wait_s=0.1,
    token_s=0.02,
)


def report_of(number: int) -> SidecarReport:
    """Return the report of a sidecar with a given number."""
    return SidecarReport(
        incarnation=f'{number:016x}',
        draining=False,
        settings_version=123_456,
        services={SERVICE: LOAD},
    )


def hosts_of(size: int) -> list[SidecarHost]:
    """Return ``size`` sidecars, each with one report received."""
    made = []
    for number in range(size):
        address = Address(f'10.0.{number // 250}.{number % 250}', 80)
        host = Host(address, 'a', 'sidecar', HostState.live, (SERVICE,))
        known = SidecarHost(host, 0, 0.5)
        known.note_report(report_of(number), 0)
        made.append(known)
    return made


def nodes_of(teams: int) -> list[tuple[str, object, int]]:
    """Return settings nodes of teams.

    Each team has three nodes; the first 100 teams also have a service.
    """
    made: list[tuple[str, object, int]] = []
    for number in range(teams):
        team = f'/teams/t{number}'
        token = {'sha256': key_digest(str(number)), 'role': 'caller'}
        service = {
            'kind': 'model',
            'models': [f'model-{number % 22}'],
            'callers': ['*'],
        }
        made.extend(
            (
                (team, {'tokens': [token]}, 1),
                (f'{team}/deployments/d', {}, 1),
                (f'{team}/deployments/d/jobs/j', {'due_in_s': 3600}, 1),
            ),
        )
        if number < 100:
            path = f'{team}/deployments/d/services/s'
            made.append((path, service, 1))
    return made


def tree_of(teams: int) -> tuple[object, ...]:
    """Return the settings tree of teams and its two indexes."""
    tree = SettingsTree()
    access = AccessTable(tree, key_digest('admin'))
    catalog = ServiceCatalog(tree)
    tree.load(Snapshot(1, nodes_of(teams)))
    return tree, access, catalog


def span_of(number: int) -> Span:
    """Return an open span of 1,024 items with half of its chunks done."""
    return Span(
        job=f'batch_{number:032}',
        team=f't{number % 50}',
        number=0,
        service=SERVICE,
        url='/v1/chat/completions',
        segment=f'inputs/u{number:032}/00000',
        offsets=list(range(0, 17 * 30_000, 30_000)),
        items=1024,
        due=1e9,
        created=1e9,
        repeatable=True,
        holder='10.0.0.1:80~0123456789abcdef',
        done={
            str(n): [f'outputs/batch/{n}-o{n:030}', 9999, 9999, 64, 0]
            for n in range(8)
        },
    )


def submission_of(items: int) -> Submission:
    """Return the submission of a job with the given number of items."""
    segments = tuple(
        Segment(f's{number}', 1024, tuple(range(17)))
        for number in range(-(-items // 1024))
    )
    manifest = Manifest(
        'file',
        't',
        'f',
        items * 500,
        0,
        'm',
        '/v1/chat/completions',
        items,
        64,
        segments,
    )
    body = {'completion_window': '24h'}
    service = Service(SERVICE, 't', ServiceSettings())
    return Submission('t', 'key', body, manifest, service, '', None)


def ledger_of(size: int) -> OrderLedger:
    """Return a ledger that has recorded ``size`` orders."""
    cfg = SidecarSettings.from_values(
        listen='127.0.0.1:1',
        zone='a',
        internal_secret='x' * 16,
        upstreams=[{'service': SERVICE, 'address': '127.0.0.1:2'}],
    )
    ledger = OrderLedger(cfg, ManualClock())
    for number in range(size):
        ledger.queue(f'r{number:028x}')
    return ledger
