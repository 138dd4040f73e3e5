"""What the loss of an entry costs, by the number of open jobs."""

import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import gevent
from gevent.pool import Pool
from openai import OpenAI

from standins.fleet_plan import FleetPlan
from standins.local_fleet import LocalFleet
from standins.waiting import wait_for
from tests import jobs_client

SIZES = (10, 100)
ITEMS = 4
TOKENS = 100
LEASE_S = 3
SUBMITTERS = 8
SAMPLE_S = 0.2
WAIT_S = 60
PLAN = FleetPlan(
    entries=2,
    sidecars=2,
    entry_extra={'batch': {'lease_s': LEASE_S, 'lease_margin_s': 0.5}},
    engine_speed={'step_s': 0.02},
)
TEXT = """
## Take-over

Jobs of {items} items, one span each, two entries, leases of {lease} s; one
entry is killed while it holds spans. Seconds are from the kill to the first
and the last of its spans in other hands; calls are the platform's own counts
until then, of everything the remaining entry does. The engines are full all
the time, and an entry takes no span that is not urgent while items of its own
wait: so the times are those of the queue, not of finding the lost spans,
which takes a lease and a scan.

| open jobs | spans lost | first s | last s | reads | writes | reads a s |
| --- | --- | --- | --- | --- | --- | --- |
{rows}
"""


class Counted(NamedTuple):
    """Calls of the platform so far."""

    reads: int
    writes: int


class TakeOver(NamedTuple):
    """How the spans of a lost entry came into other hands."""

    jobs: int
    lost: int
    first_s: float
    last_s: float
    reads: int
    writes: int

    def row(self) -> str:
        """Return a line of the table."""
        cells = (
            self.jobs,
            self.lost,
            f'{self.first_s:.1f}',
            f'{self.last_s:.1f}',
            self.reads,
            self.writes,
            f'{self.reads / self.last_s:.0f}' if self.last_s else '',
        )
        return f'| {" | ".join(map(str, cells))} |'


def takeover_section() -> str:
    """Measure at every size; return the section of the page."""
    rows = [measure(jobs).row() for jobs in SIZES]
    return TEXT.format(items=ITEMS, lease=LEASE_S, rows='\n'.join(rows))


def measure(jobs: int) -> TakeOver:
    """Lose an entry before ``jobs`` open jobs."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = LocalFleet(Path(folder), PLAN)
        try:
            fleet.start()
            return _lose_entry(fleet, jobs)
        finally:
            fleet.kill_all()


def _lose_entry(fleet: LocalFleet, jobs: int) -> TakeOver:
    url = f'{fleet.url("entry-1")}/v1'
    api = OpenAI(api_key='demo', base_url=url)
    gone = str(fleet.addresses['entry-0'])

    def submit(number: int) -> str:  # noqa: WPS430
        texts = [f'{jobs} {number} {item}' for item in range(ITEMS)]
        return jobs_client.submit(api, texts, TOKENS)

    Pool(SUBMITTERS).map(submit, range(jobs - 1))
    submit(jobs)
    wait_for('held spans', lambda: _held(fleet, gone))
    killed_at = time.time()
    fleet.processes['entry-0'].kill()
    before = _count(fleet)
    while _held(fleet, gone) and time.time() - killed_at < WAIT_S:
        gevent.sleep(SAMPLE_S)
    after = _count(fleet)
    taken = _taken(_history(fleet), gone, killed_at)
    return TakeOver(
        jobs,
        len(taken),
        min(taken, default=0),
        max(taken, default=0),
        after.reads - before.reads,
        after.writes - before.writes,
    )


def _history(fleet: LocalFleet) -> list[dict[str, Any]]:
    path = '/control/history'
    return fleet.call('platform', path, method='GET')[1]['history']


def _held(fleet: LocalFleet, holder: str) -> int:
    """Return how many spans ``holder`` holds by the table."""
    path = f'/control/held/{holder}'
    return fleet.call('platform', path, method='GET')[1]['held']


def _count(fleet: LocalFleet) -> Counted:
    found = fleet.call('platform', '/control/counts', method='GET')[1]
    reads = sum(found.get(kind, 0) for kind in ('read', 'scan', 'get'))
    writes = sum(found.get(kind, 0) for kind in ('transact', 'put'))
    return Counted(reads, writes)


def _taken(
    history: list[dict[str, Any]],
    gone: str,
    killed_at: float,
) -> list[float]:
    """Return, for each span lost, the seconds until it was written again."""
    holders: dict[str, str] = {}
    taken = []
    for at, key, stored in _span_writes(history):
        lost = holders.get(key, '').startswith(gone)
        if lost and at > killed_at:
            taken.append(at - killed_at)
        holders[key] = stored['holder'] if stored else ''
    return taken


def _span_writes(
    history: list[dict[str, Any]],
) -> Iterator[tuple[float, str, Any]]:
    """Yield when, where and what was written of spans."""
    for commit in history:
        for key, stored in commit['writes']:
            if key.startswith('spans/'):
                yield commit['at'], key, stored
