"""Measures the takeover of a lost entry's spans, by open jobs."""

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


class CallCounts(NamedTuple):
    """Numbers of platform calls so far."""

    reads: int
    writes: int


class Takeover(NamedTuple):
    """The takeover of the spans of a lost entry; times in seconds."""

    jobs: int
    lost: int
    first_s: float
    last_s: float
    reads: int
    writes: int

    def row(self) -> str:
        """Return the Markdown table row."""
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
    """Measure at every size and return the section of the page."""
    rows = [measure(jobs).row() for jobs in SIZES]
    return TEXT.format(items=ITEMS, lease=LEASE_S, rows='\n'.join(rows))


def measure(jobs: int) -> Takeover:
    """Measure the takeover after an entry is killed with open jobs."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = LocalFleet(Path(folder), PLAN)
        try:
            fleet.start()
            return _kill_entry(fleet, jobs)
        finally:
            fleet.kill_all()


def _kill_entry(fleet: LocalFleet, jobs: int) -> Takeover:
    url = f'{fleet.url("entry-1")}/v1'
    api = OpenAI(api_key='demo', base_url=url)
    lost_entry = str(fleet.addresses['entry-0'])

    def submit(number: int) -> str:  # noqa: WPS430
        texts = [f'{jobs} {number} {item}' for item in range(ITEMS)]
        return jobs_client.submit(api, texts, TOKENS)

    Pool(SUBMITTERS).map(submit, range(jobs - 1))
    submit(jobs)
    wait_for('held spans', lambda: _count_spans(fleet, lost_entry))
    killed_at = time.time()
    fleet.processes['entry-0'].kill()
    before = _count_calls(fleet)
    while _count_spans(fleet, lost_entry) and time.time() - killed_at < WAIT_S:
        gevent.sleep(SAMPLE_S)
    after = _count_calls(fleet)
    times_s = _takeover_times(_history(fleet), lost_entry, killed_at)
    return Takeover(
        jobs,
        len(times_s),
        min(times_s, default=0),
        max(times_s, default=0),
        after.reads - before.reads,
        after.writes - before.writes,
    )


def _history(fleet: LocalFleet) -> list[dict[str, Any]]:
    path = '/control/history'
    return fleet.call('platform', path, method='GET')[1]['history']


def _count_spans(fleet: LocalFleet, holder: str) -> int:
    """Return the number of spans that ``holder`` holds in the table."""
    path = f'/control/held/{holder}'
    return fleet.call('platform', path, method='GET')[1]['held']


def _count_calls(fleet: LocalFleet) -> CallCounts:
    found = fleet.call('platform', '/control/counts', method='GET')[1]
    reads = sum(found.get(kind, 0) for kind in ('read', 'scan', 'get'))
    writes = sum(found.get(kind, 0) for kind in ('transact', 'put'))
    return CallCounts(reads, writes)


def _takeover_times(
    history: list[dict[str, Any]],
    lost_entry: str,
    killed_at: float,
) -> list[float]:
    """Return the seconds until each lost span was written again."""
    holders: dict[str, str] = {}
    times_s = []
    for at, key, stored in _span_writes(history):
        lost = holders.get(key, '').startswith(lost_entry)
        if lost and at > killed_at:
            times_s.append(at - killed_at)
        holders[key] = stored['holder'] if stored else ''
    return times_s


def _span_writes(
    history: list[dict[str, Any]],
) -> Iterator[tuple[float, str, Any]]:
    """Yield time, key and value of each write of a span row."""
    for commit in history:
        for key, stored in commit['writes']:
            if key.startswith('spans/'):
                yield commit['at'], key, stored
