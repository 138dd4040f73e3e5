"""One seeded run: start, harm, heal, wait, and say what did not hold."""

import itertools
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import gevent

from soak import checks
from soak.callers import Caller
from soak.faults import Fault
from soak.job_callers import JobCaller, complete
from soak.record import Job, Record
from soak.schedule import schedule
from soak.world import World

# After the last fault: until every entry serves again.
RECOVERY_S = 12
# And without any item being listed: for lost entries to be taken for gone,
# jobs to be taken over, and their longest items to run.
FINISH_S = 18
POLL_S = 0.1
WATCH_S = 1


class Size(NamedTuple):
    """How large a run is; ``seconds`` is how long faults begin."""

    seconds: float = 20
    entries: int = 3
    replicas: int = 3
    slots: int = 4
    callers: int = 8
    job_callers: int = 2


def run(seed: int, size: Size, folder: Path) -> Record:
    """Run a seed; the logs of the entries go to ``folder``."""
    names = [f'entry-{number}' for number in range(size.entries)]
    world = World(folder, size.replicas, size.slots)
    try:
        world.begin(names)
        _run(world, seed, size)
    finally:
        world.stop()
    return world.record


def _run(world: World, seed: int, size: Size) -> None:
    callers = [
        Caller(world, f'c{number}', seed + number)
        for number in range(size.callers)
    ]
    job_callers = [
        JobCaller(world, f'j{number}', seed + number)
        for number in range(size.job_callers)
    ]
    tasks = [gevent.spawn(each.run) for each in callers]
    submitting = [gevent.spawn(each.run) for each in job_callers]
    watch = gevent.spawn(_watch, world)
    _strike(world, seed, size)
    world.note_own_ends()
    for caller in job_callers:
        caller.stop()
    # A submission under way may still be accepted.
    gevent.joinall(submitting, raise_error=True)
    # What is left of the jobs finds slots free.
    for task in tasks:
        _end(task)
    _recover(world, job_callers[0])
    _end(watch)
    checks.check_at_end(world.record)


def _end(task: gevent.Greenlet) -> None:
    """End a task; one that failed has left callers unheard, so raise."""
    if task.ready():
        task.get()
    else:
        task.kill()


def _strike(world: World, seed: int, size: Size) -> None:
    """Begin and end every fault of the schedule in its time."""
    began_at = time.monotonic()
    strikes = []
    for number, strike in enumerate(schedule(seed, size.seconds)):
        gevent.sleep(max(0, began_at + strike.begins_s - time.monotonic()))
        rng = random.Random(f'{seed}/{number}')  # noqa: S311
        fault = strike.kind(world, rng)
        strikes.append(gevent.spawn(_last, world, fault, strike.lasts_s))
    gevent.joinall(strikes, raise_error=True)


def _last(world: World, fault: Fault, lasts_s: float) -> None:
    world.disturb(fault, fault.name, fault.planned)
    fault.begin()
    gevent.sleep(lasts_s)
    fault.end()
    world.undisturb(fault)


def _watch(world: World) -> None:
    """Check what holds always while the run goes on."""
    while True:
        gevent.sleep(WATCH_S)
        world.note_own_ends()
        checks.check_always(world.record)


def _recover(world: World, reader: JobCaller) -> None:
    """Wait until all is served and done; note what is not in time."""
    gevent.joinall(
        [gevent.spawn(_probe, world, name) for name in world.entries],
        raise_error=True,
    )
    jobs = [
        job for job in world.record.jobs.values() if job.accepted_at is not None
    ]
    _wait_for_jobs(jobs)
    checks.check_outstanding(world.record, FINISH_S)
    # Every entry shows every job, from the start and from its middle.
    for job, name in itertools.product(jobs, world.entries):
        firsts = {0, len(job.positions) // 2}
        if {reader.read(job, name, first) for first in firsts} != {200}:
            world.record.broke('results readable', f'{job.id} at {name}')


def _wait_for_jobs(jobs: list[Job]) -> None:
    """Wait until all jobs are done, or none has got on for a while."""
    listed, since = 0, time.monotonic()
    while not all(map(complete, jobs)):
        now_listed = sum(len(job.positions) for job in jobs)
        if now_listed > listed:
            listed, since = now_listed, time.monotonic()
        if time.monotonic() - since > FINISH_S:
            return
        gevent.sleep(POLL_S)


def _probe(world: World, name: str) -> None:
    caller = Caller(world, f'probe-{name}', 0)
    now = time.monotonic()
    if not _within(RECOVERY_S, now, lambda: caller.probe(name)):
        text = f'{name} serves nothing after {RECOVERY_S} s'
        world.record.broke('recovers', text)


def _within(
    bound_s: float,
    began_at: float,
    happened: Callable[[], bool],
) -> bool:
    """Wait until something has happened; tell whether it has."""
    while time.monotonic() < began_at + bound_s:
        if happened():
            return True
        gevent.sleep(POLL_S)
    return False
