"""One seeded run: start the fleet, inject faults, wait and check."""

import random
import time
from pathlib import Path

import gevent

from soak import checks
from soak.callers import Caller
from soak.faults import Fault
from soak.job_callers import JobCaller
from soak.job_stamps import check_stamps
from soak.organisation_callers import KINDS
from soak.organisation_checks import check_organisations
from soak.part_checks import check_guilty_parts
from soak.record import Record
from soak.recovery import recover
from soak.resuming_caller import ResumingCaller
from soak.schedule import FIRST_SEED_OF_VERSIONS, schedule
from soak.variants import Size, size_of, vary
from soak.world import World

# Seconds between two rotations of keys.
ROTATE_S = 4
WATCH_S = 1
RESUMING_CALLERS = 3


def run(seed: int, size: Size, folder: Path) -> Record:
    """Run a seed with entry logs in ``folder``; return its record."""
    size = size_of(seed, size)
    names = [f'entry-{number}' for number in range(size.entries)]
    world = World(folder, size.replicas, size.slots)
    vary(world, seed)
    try:
        world.begin(names)
        _run(world, seed, size)
    finally:
        world.stop()
    return world.record


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
    recover(world, job_callers[0])
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
