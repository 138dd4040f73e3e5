"""Measures slopes of time and memory for docs/CAPACITY.md.

``python -m bench.capacity`` also prints the slopes and writes them to
.run/capacity.json.
"""

import json
import random
import sys
from pathlib import Path

from bench.slopes import Fit, cpu_us, fit_line, memory_bytes
from bench.synthetic_state import (
    SERVICE,
    hosts_of,
    ledger_of,
    report_of,
    span_of,
    submission_of,
    tree_of,
)
from cactusridge import wire
from cactusridge.batch.job_reader import JobReader
from cactusridge.batch.job_store import JobStore
from cactusridge.batch.lease_watch import LeaseWatch
from cactusridge.batch.ordering import LeastSlack
from cactusridge.batch.span import Span
from cactusridge.clock import ManualClock
from cactusridge.http import frames
from cactusridge.http.frames import FrameHead
from cactusridge.orders import (
    RunOrder,
    WorkClass,
    parse_order,
)
from cactusridge.routing.candidates import Candidate, PickRequest
from cactusridge.routing.pickers import PrefixPicker
from cactusridge.routing.subset import choose_subset
from cactusridge.settings.tree import Change
from cactusridge.store.table import Row
from standins.memory_table import MemoryTable
from tests.memory_objects import MemoryObjects

OUT = Path(__file__).parent.parent / '.run' / 'capacity.json'
REPLICAS = (16, 32, 64, 128)
HOSTS = (1000, 3000, 6000, 12_000)
TEAMS = (1000, 2000, 4000, 8000)
SPANS = (50, 100, 200, 400)
ITEMS = (10_000, 35_000, 70_000, 140_000)
ORDERS = (1000, 5000, 20_000, 50_000)


def replica_choice_time() -> Fit:
    """Measure the processor time to pick a replica, by known replicas."""
    found = []
    for size in REPLICAS:
        picker = PrefixPicker(random.Random(1))
        candidates = [
            Candidate(f'10.0.0.{n}:80{SERVICE}', 'a', n % 5, 9, 3, 0.1, 8)
            for n in range(size)
        ]
        request = PickRequest('a', b'some prefix')
        found.append(cpu_us(lambda: picker.pick(candidates, request), 200))
    return fit_line('one choice of a replica', 'us', REPLICAS, found)


def subset_time() -> Fit:
    """Measure the processor time to choose a subset, by listed hosts."""
    entries = [f'10.1.{n // 250}.{n % 250}:80' for n in range(360)]
    found = []
    for size in HOSTS:
        names = [f'10.2.{n // 250}.{n % 250}:80' for n in range(size)]
        found.append(
            cpu_us(lambda: choose_subset(entries[0], entries, names, 64), 3),
        )
    return fit_line('one subset of the host list', 'us', HOSTS, found)


def replica_memory() -> Fit:
    """Measure the memory of the sidecars known to an entry."""
    found = [memory_bytes(lambda: hosts_of(size)) for size in REPLICAS]
    return fit_line('sidecars known', 'bytes', REPLICAS, found)


def settings_memory() -> Fit:
    """Measure the memory of the settings and their indexes, by teams."""
    found = [memory_bytes(lambda: tree_of(size)) for size in TEAMS]
    return fit_line('settings in force', 'bytes', TEAMS, found)


def snapshot_load_time() -> Fit:
    """Measure the processor time to load a settings snapshot, by teams."""
    found = [cpu_us(lambda: tree_of(size), 1) for size in TEAMS]
    return fit_line('loading a snapshot', 'us', TEAMS, found)


def change_time() -> Fit:
    """Measure the processor time to apply one change, by teams."""
    found = []
    for size in TEAMS:
        tree = tree_of(size)[0]
        raw = {'description': 'x'}
        changes = [
            Change(number, '/teams/t1/deployments/d', raw)
            for number in range(2, 202)
        ]
        found.append(
            cpu_us(lambda: [tree.apply(each) for each in changes], 1) / 200,
        )
    return fit_line('applying one change', 'us', TEAMS, found)


def scan_time() -> Fit:
    """Measure the processor time of one scan, by open spans scanned."""
    found = []
    for size in SPANS:
        raw = wire.encode(
            [[f'k{n}', span_of(n)._asdict(), n] for n in range(size)],
        )
        watch = LeaseWatch(10, ManualClock())
        order = LeastSlack(0.05, 600)
        found.append(cpu_us(lambda: _scan(raw, watch, order), 5))
    return fit_line('one scan of open spans', 'us', SPANS, found)


def _scan(raw: bytes, watch: LeaseWatch, order: LeastSlack) -> None:
    rows = [Row(*row) for row in wire.decode(raw)]
    free = [row for row in rows if watch.may_take(row)]
    order.rank([Span(**row.value) for row in free], [], 0)


def span_row_bytes() -> int:
    """Return the size in bytes of the row of a half-finished span."""
    return len(wire.encode(span_of(1)._asdict()))


def job_table_calls() -> tuple[Fit, Fit]:
    """Count rows written for a job and reads to show it, by items."""
    rows = []
    reads = []
    for size in ITEMS:
        table = MemoryTable()
        store_args = (16, table, MemoryObjects(), ManualClock())
        jobs = JobStore(*store_args)
        reader = JobReader(*store_args)
        job = jobs.accept(submission_of(size))
        rows.append(len(table.store.rows))
        table.reads = 0
        reader.status(job)
        reads.append(table.reads)
    return (
        fit_line('rows of an accepted job', 'rows', ITEMS, rows),
        fit_line('reads to show a job', 'reads', ITEMS, reads),
    )


def ledger_memory() -> Fit:
    """Measure the memory of a sidecar's ledger, by recorded orders."""
    found = [memory_bytes(lambda: ledger_of(size)) for size in ORDERS]
    return fit_line('orders in the ledger', 'bytes', ORDERS, found)


def messages() -> dict[str, float]:
    """Return sizes in bytes and times in microseconds of messages."""
    order = RunOrder(
        id='r0123456789abcdef0123456789',
        incarnation='0123456789abcdef',
        service=SERVICE,
        team='t',
        work=WorkClass.online,
        path='/v1/chat/completions',
        headers=(('content-type', 'application/json'),),
        deadline_s=10,
    )
    raw = b''.join((order.model_dump_json().encode(), b'\n'))
    report = wire.encode(report_of(1))
    event = b'data: {"choices":[{"delta":{"content":"some text"}}]}\n\n'
    return {
        'order_bytes': len(raw),
        'order_us': cpu_us(lambda: parse_order(raw), 2000),
        'report_bytes': len(report),
        'report_us': cpu_us(lambda: wire.decode(report), 2000),
        'token_frame_us': cpu_us(
            lambda: frames.encode(FrameHead(kind='body'), event),
            5000,
        ),
        'span_row_bytes': span_row_bytes(),
    }


def measure() -> dict[str, object]:
    """Run all measurements and return the fits and message figures."""
    rows, reads = job_table_calls()
    fits = [
        replica_choice_time(),
        subset_time(),
        replica_memory(),
        settings_memory(),
        snapshot_load_time(),
        change_time(),
        scan_time(),
        rows,
        reads,
        ledger_memory(),
    ]
    return {
        'fits': [fit._asdict() for fit in fits],
        'messages': messages(),
    }


def main() -> int:
    """Measure, print the figures and write them to ``OUT``."""
    found = measure()
    OUT.parent.mkdir(exist_ok=True)
    OUT.write_text(json.dumps(found, indent=1))
    for raw in found['fits']:
        fit = Fit(**raw)
        sys.stdout.write(
            f'{fit.name:30} {fit.unit:6} {fit.base:14.1f} +'
            f' {fit.slope:10.4f} each, fit {fit.fit:.3f}\n',
        )
    sys.stdout.write(f'{json.dumps(found["messages"], indent=1)}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
