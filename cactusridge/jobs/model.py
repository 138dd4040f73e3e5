"""Data types of a batch job, its items, its progress and its results."""

import enum
from typing import Any, NamedTuple

from cactusridge.fleet.stream_origin import UNKNOWN_ORIGIN, StreamOrigin
from cactusridge.hashing import hash64
from cactusridge.store.fields import Fields

# Number of key prefixes over which the rows of all jobs are spread.
SHARDS = 8


class JobState(enum.StrEnum):
    """State of a job.

    An ``open`` job has items to run, a ``closed`` job has a result for
    every item, and an ``ended`` job was cancelled by its caller.
    """

    open = 'open'
    ended = 'ended'
    closed = 'closed'


class ItemState(enum.StrEnum):
    """Final state of an item."""

    completed = 'completed'
    given_up = 'given_up'


class GiveUpReason(enum.StrEnum):
    """Why an item is given up.

    ``expired``: it is older than its route allows. ``no_route``: the route of
    its job has ended. ``impossible``: an upstream answered 422. ``failed``: it
    failed as often as its route allows.
    """

    expired = 'expired'
    no_route = 'no_route'
    impossible = 'impossible'
    failed = 'failed'


class JobItem(NamedTuple):
    """One request of a job; ``body`` is base64, as submitted."""

    id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: int


class JobHead(NamedTuple):
    """Header of a job; every entry keeps a copy of it.

    ``holder`` is the name of the entry that runs the job and ``life`` the
    incarnation of that entry's process; any entry may take over a job
    whose holder is empty. ``created_ms`` is the time of submission by the
    store's clock, in milliseconds. ``version`` is the version of the row,
    0 for a job that is not stored yet. ``catalog_version`` is the version
    of the catalog under which the job was accepted; an older catalog may
    not have the job's route yet. ``organisation`` is the name of the
    caller's organisation, empty if the caller has none.
    """

    id: str
    host: str
    path: str
    items: int
    created_ms: int
    holder: str = ''
    life: str = ''
    state: JobState = JobState.open
    version: int = 0
    catalog_version: int = 0
    organisation: str = ''

    @property
    def shard(self) -> str:
        """Return the key prefix under which the rows of the job are stored."""
        return shard_of(self.id)


class Progress(NamedTuple):
    """Progress of a job that its holder has committed to the store.

    ``listed`` has the indexes of the finished items in the order of their
    results. ``failures`` maps the index of an item to the number of its
    runs that failed at the upstream. ``write_id`` identifies the write
    that produced the row, and ``version`` is the version of the row.
    """

    listed: list[int]
    failures: dict[str, int]
    write_id: str
    version: int = 0


class Checkpoint(NamedTuple):
    """Checkpoint of an item: its output up to the event ``last_id``.

    ``origin`` is that of the replicas that made the output.
    """

    index: int
    last_id: str
    output: str
    origin: StreamOrigin = UNKNOWN_ORIGIN


class Result(NamedTuple):
    """Result of an item as it is returned to callers."""

    id: str
    state: ItemState
    output: str


def shard_of(job_id: str) -> str:
    """Return the key prefix under which the rows of a job are stored."""
    return f's{hash64(job_id) % SHARDS}'


def parse_head_fields(
    job_id: str, raw: dict[str, Any], version: int
) -> JobHead:
    """Parse the head of a job from the value of its row.

    Raises UnreadableField.
    """
    fields = Fields(raw)
    return JobHead(
        id=job_id,
        host=fields.text('host'),
        path=fields.text('path'),
        items=fields.integer('items'),
        created_ms=fields.integer('created_ms'),
        holder=fields.text('holder'),
        life=fields.text('life'),
        state=fields.enum_value('state', JobState),
        version=version,
        catalog_version=fields.integer('catalog_version', 0),
        organisation=fields.text('organisation', ''),
    )


def head_value(head: JobHead) -> dict[str, Any]:
    """Return the value of the row that stores ``head``."""
    fields = head._asdict()
    fields.pop('id')
    fields.pop('version')
    return fields
