"""What callers, jobs and replicas saw during a soak."""

import enum
import itertools
from collections import Counter, defaultdict
from typing import NamedTuple


class CallEnd(enum.StrEnum):
    """How a call ended for its caller.

    ``whole`` is an answer with its framed end, ``cut`` one without,
    ``closed`` a connection that ended before any status came, ``left``
    one that the caller itself ended, ``unreached`` one that no process
    ever had.
    """

    whole = 'whole'
    cut = 'cut'
    closed = 'closed'
    silent = 'silent'
    left = 'left'
    unreached = 'unreached'


class Call(NamedTuple):
    """One online request as its caller saw it; times are in seconds.

    ``version`` is that of the configuration whose route it asked for,
    if the route is no version's it is None.
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


class Began(NamedTuple):
    """A run that a life of a replica began, of a request or an item."""

    id: str
    target: str
    life: str
    at: float


class Withheld(NamedTuple):
    """From when to when a life of a replica may be given nothing, in seconds.

    ``promise`` is what a run that begins there breaks.
    """

    life: str
    since: float
    until: float
    promise: str


class Violation(NamedTuple):
    """A promise that did not hold, and what shows it."""

    promise: str
    text: str


class Job:
    """A job as its caller knows it."""

    def __init__(self, job_id: str, bodies: list[str]) -> None:
        """Know of nothing but what is in it."""
        self.id = job_id
        self.bodies = bodies
        self.statuses: list[int | None] = []
        self.accepted_at: float | None = None
        self.end_asked_at: float | None = None
        self.end_acked_at: float | None = None
        self.positions: list[dict[str, str]] = []

    @property
    def refused(self) -> bool:
        """Whether every try was answered that nothing has run."""
        promises = {429, 503}
        return bool(self.statuses) and set(self.statuses) <= promises

    def item_ids(self) -> list[str]:
        """Return the ids of the items, in the order of the job."""
        return [f'{self.id}-{number}' for number in range(len(self.bodies))]


class Span(NamedTuple):
    """From when to when something disturbed the fleet, in seconds."""

    begun_at: float
    ended_at: float
    what: str
    planned: bool


class Record:
    """Everything that was seen in one run."""

    def __init__(self) -> None:
        """Start with nothing seen."""
        self.calls: list[Call] = []
        self.began: list[Began] = []
        self.failed_runs: Counter[str] = Counter()
        self.jobs: dict[str, Job] = {}
        self.spans: list[Span] = []
        self.violations: list[Violation] = []
        # When each version of the configuration was acknowledged.
        self.versions: dict[int, float] = {}
        self.withheld: list[Withheld] = []

    def broke(self, promise: str, text: str) -> None:
        """Note that a promise did not hold."""
        found = Violation(promise, text)
        if found not in self.violations:
            self.violations.append(found)

    def calm(self, since: float, until: float, planned_too: bool) -> bool:
        """Tell whether nothing disturbed the fleet in a time.

        Planned work counts as a disturbance only if ``planned_too``.
        """
        return not any(
            span.begun_at <= until
            and span.ended_at >= since
            and (planned_too or not span.planned)
            for span in self.spans
        )

    def runs_by_id(self) -> dict[str, list[Began]]:
        """Return the runs of each request or item, the first ones first."""
        found: dict[str, list[Began]] = defaultdict(list)
        for began in self.began:
            found[began.id].append(began)
        return found

    def figures(self) -> dict[str, int]:
        """Return counts for the report of a run."""
        ends = Counter(
            str(call.status or call.end.value) for call in self.calls
        )
        listed = itertools.chain.from_iterable(
            job.positions for job in self.jobs.values()
        )
        return {
            'calls': len(self.calls),
            **dict(sorted(ends.items())),
            'jobs': len(self.jobs),
            'items_listed': len(list(listed)),
            'runs': len(self.began),
            'faults': len(self.spans),
        }
