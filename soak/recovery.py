"""What must hold after the last fault of a run."""

import itertools
import time

import gevent

from soak import checks
from soak.callers import Caller
from soak.job_callers import JobCaller, complete
from soak.part_faults import SHARED, SOUND, send_prompt
from soak.record import Job
from soak.world import World

# Seconds after the last fault within which every entry must serve again.
RECOVERY_S = 12
# Seconds without a newly listed item after which the wait for jobs ends. They
# allow for the detection of failed entries, the takeover of their jobs and the
# run of the longest items.
FINISH_S = 18
POLL_S = 0.1
# Statuses of requests that no quarantine refuses.
NOT_HELD_BACK = frozenset((200, 401, 429))


def recover(world: World, reader: JobCaller) -> None:
    """Wait for recovery and for the jobs; record what is late."""
    gevent.joinall(
        [gevent.spawn(_probe, world, name) for name in world.entries],
        raise_error=True,
    )
    jobs = [
        job for job in world.record.jobs.values() if job.accepted_at is not None
    ]
    _wait_for_jobs(jobs)
    checks.check_outstanding(world.record, FINISH_S)
    # Every entry must list every job, from its start and from its middle.
    for job, name in itertools.product(jobs, world.entries):
        firsts = {0, len(job.listed_results) // 2}
        if {reader.read(job, name, first) for first in firsts} != {200}:
            world.record.add_violation(
                'results readable', f'{job.id} at {name}'
            )


def _wait_for_jobs(jobs: list[Job]) -> None:
    """Wait until all jobs are done, or ``FINISH_S`` without progress."""
    listed, since = 0, time.monotonic()
    while not all(map(complete, jobs)):
        now_listed = sum(len(job.listed_results) for job in jobs)
        if now_listed > listed:
            listed, since = now_listed, time.monotonic()
        if time.monotonic() - since > FINISH_S:
            return
        gevent.sleep(POLL_S)


def _probe(world: World, name: str) -> None:
    caller = Caller(world, f'probe-{name}', 0)
    began_at = time.monotonic()
    while time.monotonic() < began_at + RECOVERY_S:
        if caller.probe(name) and _serves_sound_parts(world, name):
            return
        gevent.sleep(POLL_S)
    text = f'{name} serves nothing after {RECOVERY_S} s'
    world.record.add_violation('recovers', text)


def _serves_sound_parts(world: World, name: str) -> bool:
    """Return whether prompts are served that share a part with guilty ones.

    A revoked key or the limit of an organisation is no fault of the parts.
    """
    if not world.record.guilty_parts:
        return True
    prompts = [(SHARED, part) for part in SOUND]
    statuses = {send_prompt(world, name, each) for each in prompts}
    return statuses <= NOT_HELD_BACK
