"""The schedule of faults that a seed determines."""

import random
from collections.abc import Iterator
from typing import NamedTuple

from soak.broken_faults import BrokenAnswers, OutOfStep
from soak.early_jobs import EarlyJobs
from soak.endless_faults import EndlessAnswers, EndlessComments
from soak.faults import Fault
from soak.flapping import Flapping
from soak.link_faults import (
    AnswersLost,
    Delay,
    Refuse,
    RequestsLost,
    Reset,
    Silence,
)
from soak.list_faults import EntrySpoiled, StrayEntry
from soak.part_faults import GuiltyPart
from soak.process_faults import (
    CutAndPause,
    Kill,
    KillAll,
    Pause,
    PlannedStop,
    Reload,
)
from soak.replica_faults import (
    BreaksOff,
    Crash,
    Crossed,
    Grey,
    Leaving,
    Reconfigure,
    Replaced,
    Restart,
    Slow,
)
from soak.resent_jobs import ResentJobs
from soak.silence_faults import Silent
from soak.store_faults import (
    AnswersOfWritesLost,
    HistoryLost,
    StoreDown,
    StoreSlow,
    StoreUnreachable,
)

PLANNED = (PlannedStop, Reload, Reconfigure, Leaving)
FAULTS = (
    *PLANNED,
    Kill,
    Kill,
    KillAll,
    Pause,
    Pause,
    Delay,
    Reset,
    Silence,
    AnswersLost,
    RequestsLost,
    Refuse,
    StoreDown,
    StoreSlow,
    AnswersOfWritesLost,
    HistoryLost,
    StoreUnreachable,
    Crash,
    BreaksOff,
    Crossed,
    Grey,
    Slow,
)
# Newer faults are drawn by higher seeds only, so that lower seeds, which are
# kept as regression cases, draw the same faults as before.
FIRST_SEED_OF_PAUSES = 100
PAUSES = (CutAndPause, CutAndPause)
FIRST_SEED_OF_LISTS = 200
LISTS = (EntrySpoiled, StrayEntry)
RESTARTS = (Restart, Restart)
# From this seed on replicas of two software versions serve side by side.
FIRST_SEED_OF_VERSIONS = 700
REPLACEMENTS = (Replaced, Replaced, BreaksOff)
# From this seed on parts of prompts crash replicas.
FIRST_SEED_OF_PARTS = 750
PARTS = (GuiltyPart, GuiltyPart)
# Every such seed that this number divides has little else, since crashes count
# only while nothing else disturbs the fleet.
PARTS_ONLY_EVERY = 5
# Every seed that this number divides has planned operations only, which may
# not interrupt a request.
PLANNED_EVERY = 4
# From this seed on sound replicas fall silent for a short time.
FIRST_SEED_OF_SILENCES = 800
SILENCES = (Silent, Silent)
# Every such seed that this number divides has silences and planned operations
# only.
SILENCES_ONLY_EVERY = 2
# From this seed on entries restart in a slow store and get jobs at once, the
# store's clock is ahead or behind, and configurations change the route of jobs.
FIRST_SEED_OF_SHAPES = 900
EARLY_JOBS = (EarlyJobs, EarlyJobs)
# Every such seed that this number divides has little else.
SHAPES_ONLY_EVERY = 3
# From this seed on jobs are sent again during hand-overs, replicas go down and
# up by turns, and others answer without end.
FIRST_SEED_OF_REPEATS = 1000
REPEATS = (ResentJobs, Flapping, EndlessAnswers)
# Of such seeds, one in four each has little else than one of them.
REPEATS_ONLY = 4
# From this seed on replicas break their answers off, send bytes that are no
# answer or streams without an event, and change their versions under their ids
# while an entry is cut off.
FIRST_SEED_OF_BROKEN = 1100
BROKEN = (BrokenAnswers, OutOfStep, EndlessComments)
# Of such seeds, one in four each has little else than one of them.
BROKEN_ONLY = 4
GAPS_S = (0.1, 2.0)
LASTS_S = (0.3, 5.0)


class ScheduledFault(NamedTuple):
    """A fault, its start in seconds from the run's start, and its duration."""

    begins_s: float
    lasts_s: float
    kind: type[Fault]


def schedule(seed: int, seconds: float) -> Iterator[ScheduledFault]:
    """Yield the faults of a seed in start order.

    Faults may overlap, and a kind of fault may recur.
    """
    rng = random.Random(seed)  # noqa: S311
    kinds = _kinds(seed)
    at_s = float(0)
    while at_s < seconds:
        lasts_s = rng.uniform(*LASTS_S)
        kind = rng.choice(kinds)
        yield ScheduledFault(at_s, lasts_s * kind.duration_factor, kind)
        at_s += rng.uniform(*GAPS_S)


def _kinds(seed: int) -> tuple[type[Fault], ...]:
    if seed >= FIRST_SEED_OF_BROKEN:
        own = BROKEN[seed % BROKEN_ONLY : seed % BROKEN_ONLY + 1]
        return (*own, Reload) if own else (*_older_kinds(seed), *BROKEN)
    if seed >= FIRST_SEED_OF_REPEATS:
        only = REPEATS[seed % REPEATS_ONLY : seed % REPEATS_ONLY + 1]
        return (*only, Reload) if only else (*_older_kinds(seed), *REPEATS)
    return _older_kinds(seed)


def _older_kinds(seed: int) -> tuple[type[Fault], ...]:
    if seed >= FIRST_SEED_OF_SHAPES and seed % SHAPES_ONLY_EVERY == 0:
        return (*EARLY_JOBS, Reconfigure)
    if seed >= FIRST_SEED_OF_SILENCES and seed % SILENCES_ONLY_EVERY == 0:
        return (*PLANNED, *SILENCES)
    lists = LISTS if seed >= FIRST_SEED_OF_LISTS else ()
    if seed >= FIRST_SEED_OF_PARTS and seed % PARTS_ONLY_EVERY == 0:
        return (*PARTS, Reload, Reconfigure)
    if seed % PLANNED_EVERY == 0:
        return (*PLANNED, *lists)
    if seed < FIRST_SEED_OF_PAUSES:
        return FAULTS
    restarts = RESTARTS if lists else ()
    newer = REPLACEMENTS if seed >= FIRST_SEED_OF_VERSIONS else ()
    if seed >= FIRST_SEED_OF_PARTS:
        newer += PARTS
    if seed >= FIRST_SEED_OF_SILENCES:
        newer += SILENCES
    if seed >= FIRST_SEED_OF_SHAPES:
        newer += EARLY_JOBS
    return (*FAULTS, *PAUSES, *lists, *restarts, *newer)
