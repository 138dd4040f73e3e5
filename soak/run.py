"""One seeded run: start the fleet, inject faults, wait and check."""

import itertools
import random
import time
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

import gevent

from soak import checks
from soak.callers import Caller
from soak.configurations import SECOND_SERVICE, Configurations
from soak.faults import Fault
from soak.job_callers import JobCaller, complete
from soak.job_routes import JobRoutes
from soak.job_stamps import check_stamps
from soak.organisation_callers import KINDS
from soak.organisation_checks import REVOKED_BOUND_S, check_organisations
from soak.organisations import LIMITS, Organisations
from soak.part_checks import check_guilty_parts
from soak.part_faults import SHARED, SOUND, send_prompt
from soak.record import Job, Record
from soak.resuming_caller import ResumingCaller
from soak.schedule import (
    FIRST_SEED_OF_SHAPES,
    FIRST_SEED_OF_SILENCES,
    FIRST_SEED_OF_VERSIONS,
    SHAPES_ONLY_EVERY,
    schedule,
)
from soak.world import World

# Seconds after the last fault within which every entry must serve again.
RECOVERY_S = 12
# Seconds without a newly listed item after which the wait for jobs ends. They
# allow for the detection of failed entries, the takeover of their jobs and the
# run of the longest items.
FINISH_S = 18
POLL_S = 0.1
# Seconds between two rotations of keys.
ROTATE_S = 4
# Lower seeds, which are kept as regression cases, draw the same as before.
FIRST_SEED_OF_ORGANISATIONS = 300
WATCH_S = 1
# Statuses of requests that no quarantine refuses.
NOT_HELD_BACK = frozenset((200, 401, 429))
RESUMING_CALLERS = 3
# From FIRST_SEED_OF_SILENCES on, of three seeds one has one replica of each
# version with few slots, and one has a service of its own for its last replica.
FLEETS = 3
SMALL_FLEET = 0
SPLIT_FLEET = 1
# Seconds without data after which callers leave a stream: the longest of 2 s,
# four times the latency objective and eight times the longest pause.
GAP_S = 2.0
# Further entries where little else is drawn: the more peers an entry has, the
# sooner after its start one of them sends it the configuration.
MORE_ENTRIES = 2
# What the store's clock shows at the start of a run: that of a store which has
# just started, and of one that runs for a month.
CLOCK_STARTS_S = (1.0, 2_592_000.0)
# What the machines have: entries take requests for 3 s after SIGTERM.
STOP_SETTINGS = MappingProxyType(
    {'readiness_delay_s': 2.7, 'drain_timeout_s': 4.5}
)


class Size(NamedTuple):
    """The size of a run; faults start in its first ``seconds``."""

    seconds: float = 20
    entries: int = 3
    replicas: int = 3
    slots: int = 4
    callers: int = 8
    job_callers: int = 2


def run(seed: int, size: Size, folder: Path) -> Record:
    """Run a seed with entry logs in ``folder``; return its record."""
    shapes_only = seed >= FIRST_SEED_OF_SHAPES and seed % SHAPES_ONLY_EVERY == 0
    if shapes_only:
        size = size._replace(entries=size.entries + MORE_ENTRIES)
    names = [f'entry-{number}' for number in range(size.entries)]
    silences = seed >= FIRST_SEED_OF_SILENCES
    if silences and seed % FLEETS == SMALL_FLEET:
        size = size._replace(replicas=2, slots=2)
    world = World(folder, size.replicas, size.slots)
    # An entry that cannot confirm keys yet accepts no jobs of organisations.
    if seed >= FIRST_SEED_OF_ORGANISATIONS and not shapes_only:
        world.record.organisations = Organisations(LIMITS)
        world.extra_settings['revoke_ms'] = REVOKED_BOUND_S * 1000
    if seed >= FIRST_SEED_OF_VERSIONS:
        world.mix_versions()
    if silences:
        _vary(world, seed)
    try:
        world.begin(names)
        _run(world, seed, size)
    finally:
        world.stop()
    return world.record


def _vary(world: World, seed: int) -> None:
    """Vary what lower seeds have the same in every run."""
    split = seed % FLEETS == SPLIT_FLEET
    rng = random.Random(seed)  # noqa: S311
    shapes = random.Random(f'shapes {seed}')  # noqa: S311
    job_routes = None
    if seed >= FIRST_SEED_OF_SHAPES:
        job_routes = JobRoutes(shapes, SECOND_SERVICE)
        world.store.clock.start_at(shapes.choice(CLOCK_STARTS_S))
    world.configurations = Configurations(rng, split, job_routes)
    if split:
        world.replicas[-1].service = SECOND_SERVICE
    world.extra_settings.update(STOP_SETTINGS)
    world.gap_s = GAP_S


def _run(world: World, seed: int, size: Size) -> None:
    further = KINDS if world.record.organisations.limits else ()
    resuming = RESUMING_CALLERS if seed >= FIRST_SEED_OF_VERSIONS else 0
    kinds = (
        *(Caller,) * size.callers,
        *further,
        *(ResumingCaller,) * resuming,
    )
    callers = [
        kind(world, f'{kind.prefix}{number}', seed + number)
        for number, kind in enumerate(kinds)
    ]
    job_callers = [
        JobCaller(world, f'j{number}', seed + number)
        for number in range(size.job_callers)
    ]
    tasks = [gevent.spawn(each.run) for each in callers]
    tasks.append(gevent.spawn(_rotate_keys, world))
    submitting = [gevent.spawn(each.run) for each in job_callers]
    watch = gevent.spawn(_watch, world)
    _inject_faults(world, seed, size)
    world.record_unexpected_exits()
    for caller in job_callers:
        caller.stop()
    # A submission in flight may still be accepted.
    gevent.joinall(submitting, raise_error=True)
    # Online callers stop, so that the remaining job items find free slots.
    for task in tasks:
        _stop_task(task)
    _recover(world, job_callers[0])
    _stop_task(watch)
    checks.check_at_end(world.record)
    check_stamps(world.record, world.store)
    check_organisations(world.record)
    check_guilty_parts(world.record)


def _rotate_keys(world: World) -> None:
    """Grant and revoke keys, as the operator does."""
    while world.record.organisations.limits:
        gevent.sleep(ROTATE_S)
        world.record.organisations.rotate()
        world.reconfigure()


def _stop_task(task: gevent.Greenlet) -> None:
    """Stop a task.

    Raises the task's exception if it has failed, since the record is then
    incomplete.
    """
    if task.ready():
        task.get()
    else:
        task.kill()


def _inject_faults(world: World, seed: int, size: Size) -> None:
    """Begin and end every scheduled fault at its time."""
    began_at = time.monotonic()
    fault_tasks = []
    for number, scheduled in enumerate(schedule(seed, size.seconds)):
        gevent.sleep(max(0, began_at + scheduled.begins_s - time.monotonic()))
        rng = random.Random(f'{seed}/{number}')  # noqa: S311
        fault = scheduled.kind(world, rng)
        fault_tasks.append(
            gevent.spawn(_run_fault, world, fault, scheduled.lasts_s)
        )
    gevent.joinall(fault_tasks, raise_error=True)


def _run_fault(world: World, fault: Fault, lasts_s: float) -> None:
    world.begin_disturbance(fault, fault.name, fault.planned)
    fault.begin()
    gevent.sleep(lasts_s)
    fault.end()
    world.end_disturbance(fault)


def _watch(world: World) -> None:
    """Check the promises that always hold, throughout the run."""
    while True:
        gevent.sleep(WATCH_S)
        world.record_unexpected_exits()
        checks.check_always(world.record)


def _recover(world: World, reader: JobCaller) -> None:
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
