"""Checks that jobs are dated by the store's clock, as they are stored."""

import base64
import json

from soak.record import Job, Record
from standins.machines.store import MachineStore

# Longest time in milliseconds between the first send of a job and its stamp;
# its caller sends it up to three times.
LATE_MS = 20_000
# By how much a stamp may be early: what a reply of the store takes, at most.
EARLY_MS = 1000
JOBS_TABLE = 'jobs'


def check_stamps(record: Record, store: MachineStore) -> None:
    """Check the stored heads of all accepted jobs."""
    for place, stored in store.rows.items():
        job = record.jobs.get(place[-1])
        if place[0] != JOBS_TABLE or job is None or stored.packed is None:
            continue
        _check(record, job, json.loads(base64.b64decode(stored.packed)))


def _check(record: Record, job: Job, head: dict[str, int]) -> None:
    late_ms = head['created_ms'] - job.sent_ms
    if not -EARLY_MS <= late_ms <= LATE_MS:
        record.add_violation(
            'dated by the store', f'{job.id}: {late_ms} ms after it was sent'
        )
