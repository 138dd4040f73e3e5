"""Records of calls, jobs, runs, faults and violations in a soak."""

import enum
import itertools
from collections import Counter, defaultdict
from typing import NamedTuple

from soak.organisations import Organisations
from soak.planned_work import PlannedWorks
from standins.machines.replica import MAIN_SERVICE


class CallEnd(enum.StrEnum):
    """How a call ended for its caller.

    ``whole`` is a response with its framed end and ``cut`` one without it.
    ``closed`` is a connection that ended before a status arrived, ``silent``
    a timeout before a status, ``left`` a connection that the caller itself
    closed, and ``unreached`` one that reached no entry process.
    """

    whole = 'whole'
    cut = 'cut'
    closed = 'closed'
    silent = 'silent'
    caller_closed = 'left'
    unreached = 'unreached'


class Call(NamedTuple):
    """One online request as its caller saw it; times are in seconds.

    ``version`` is the catalog version whose own route the request called,
    or None if it called a route that all versions have. ``key`` is the API
    key, empty without organisations.
    """

    id: str
    kind: str
    entry: str
    sent_at: float
    ended_at: float
    end: CallEnd
    status: int | None = None
    body: bytes = b''
    headers: dict[str, str] = {}
    version: int | None = None
    key: str = ''


class RunStart(NamedTuple):
    """The start of a request or an item at an incarnation of a replica.

    ``service`` is the one that the replica belongs to.
    """

    id: str
    target: str
    life: str
    at: float
    organisation: str = ''
    service: str = MAIN_SERVICE


class RunEnd(NamedTuple):
    """When a run ended, in seconds, and whether its replica broke it off."""

    at: float
    broken_off: bool


class ExclusionInterval(NamedTuple):
    """An interval in which an incarnation may receive no requests.

    The times are in seconds. ``promise`` is the promise that a run started
    there in that interval breaks.
    """

    life: str
    since: float
    until: float
    promise: str


class SilenceInterval(NamedTuple):
    """An interval, in seconds, in which a sound replica was silent."""

    replica: str
    since: float
    until: float


class Violation(NamedTuple):
    """A broken promise and the evidence for it."""

    promise: str
    text: str


class Job:
    """A job as its caller knows it."""

    def __init__(self, job_id: str, bodies: list[str]) -> None:
        """Create a job that has not been submitted yet."""
        self.id = job_id
        self.bodies = bodies
        self.statuses: list[int | None] = []
        # When it was first sent, in milliseconds of the store's clock.
        self.sent_ms = 0
        self.accepted_at: float | None = None
        self.end_requested_at: float | None = None
        self.end_acknowledged_at: float | None = None
        self.listed_results: list[dict[str, str]] = []

    @property
    def refused(self) -> bool:
        """Whether every submission was rejected before anything ran."""
        promises = {429, 503}
        return bool(self.statuses) and set(self.statuses) <= promises

    def item_ids(self) -> list[str]:
        """Return the ids of the items, in the order of the job."""
        return [f'{self.id}-{number}' for number in range(len(self.bodies))]


class Disturbance(NamedTuple):
    """An interval in which a fault disturbed the fleet, in seconds."""

    started_at: float
    ended_at: float
    what: str
    planned: bool


class Record:
    """All records of one run of the soak."""

    def __init__(self) -> None:
        """Create an empty record."""
        self.calls: list[Call] = []
        self.run_starts: list[RunStart] = []
        self.failed_runs: Counter[str] = Counter()
        self.jobs: dict[str, Job] = {}
        self.disturbances: list[Disturbance] = []
        self.violations: list[Violation] = []
        # When the store acknowledged each catalog version, in seconds.
        self.versions: dict[int, float] = {}
        self.exclusions: list[ExclusionInterval] = []
        self.organisations = Organisations()
        # When each guilty part of a prompt crashed a replica, in seconds.
        self.guilty_parts: dict[str, list[float]] = {}
        self.planned_works = PlannedWorks()
        self.silences: list[SilenceInterval] = []
        # The ends of runs, by the request's id and the incarnation.
        self.run_ends: dict[tuple[str, str], RunEnd] = {}

    def add_violation(self, promise: str, text: str) -> None:
        """Record a broken promise, once for each evidence text."""
        found = Violation(promise, text)
        if found not in self.violations:
            self.violations.append(found)

    def is_undisturbed(
        self, since: float, until: float, planned_too: bool
    ) -> bool:
        """Return whether no fault disturbed the fleet in an interval.

        Planned operations count as faults only if ``planned_too``.
        """
        return not any(
            disturbance.started_at <= until
            and disturbance.ended_at >= since
            and (planned_too or not disturbance.planned)
            for disturbance in self.disturbances
        )

    def runs_by_id(self) -> dict[str, list[RunStart]]:
        """Return the runs of each request or item, in start order."""
        found: dict[str, list[RunStart]] = defaultdict(list)
        for run_start in self.run_starts:
            found[run_start.id].append(run_start)
        return found

    def figures(self) -> dict[str, int]:
        """Return the counts for the report."""
        ends = Counter(
            str(call.status or call.end.value) for call in self.calls
        )
        listed = itertools.chain.from_iterable(
            job.listed_results for job in self.jobs.values()
        )
        return {
            'calls': len(self.calls),
            **dict(sorted(ends.items())),
            'jobs': len(self.jobs),
            'items_listed': len(list(listed)),
            'runs': len(self.run_starts),
            'faults': len(self.disturbances),
        }
