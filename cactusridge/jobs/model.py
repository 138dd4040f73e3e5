"""A batch job, its items and what becomes of them."""

import enum
from typing import Any, NamedTuple

from cactusridge.hashing import hash64
from cactusridge.store.fields import Fields

SHARDS = 8


class JobState(enum.StrEnum):
    """How far a job is."""

    open = 'open'
    ended = 'ended'
    closed = 'closed'


class ItemState(enum.StrEnum):
    """How an item ended."""

    completed = 'completed'
    given_up = 'given_up'


class JobItem(NamedTuple):
    """One request of a job; ``body`` is base64, as submitted."""

    id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: int


class JobHead(NamedTuple):
    """What every entry knows of a job.

    ``holder`` is the entry that runs it and ``life`` the incarnation of
    its process; an empty holder means that any entry may take the job.
    ``created_ms`` is the store's clock at the submission. ``version``
    is that of the row, 0 for a job that is not in the store yet.
    ``catalog_version`` is that of the configuration under which it was
    accepted: an older one says nothing of its route. ``organisation`` is
    the name of its callers', empty where they have none.
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
        """Return the part of the tables where the job's rows are."""
        return shard_of(self.id)


class Progress(NamedTuple):
    """What its holder has committed of a job.

    ``listed`` has the item indexes in the order of their results,
    ``failures`` counts by index the runs that the upstream failed.
    ``write_id`` tells whose write the row is. ``version`` is the row's.
    """

    listed: list[int]
    failures: dict[str, int]
    write_id: str
    version: int = 0


class Partial(NamedTuple):
    """What there is of an item's output; it goes on after ``last_id``."""

    index: int
    last_id: str
    output: str


class Result(NamedTuple):
    """A result as callers read it."""

    id: str
    state: ItemState
    output: str


def shard_of(job_id: str) -> str:
    """Return the part of the tables where the rows of a job are."""
    return f's{hash64(job_id) % SHARDS}'


def head_of(job_id: str, raw: dict[str, Any], version: int) -> JobHead:
    """Return the head in a row's value; raise UnreadableField."""
    fields = Fields(raw)
    return JobHead(
        id=job_id,
        host=fields.text('host'),
        path=fields.text('path'),
        items=fields.whole('items'),
        created_ms=fields.whole('created_ms'),
        holder=fields.text('holder'),
        life=fields.text('life'),
        state=fields.word('state', JobState),
        version=version,
        catalog_version=fields.whole('catalog_version', 0),
        organisation=fields.text('organisation', ''),
    )


def head_value(head: JobHead) -> dict[str, Any]:
    """Return a head as its row's value."""
    fields = head._asdict()
    fields.pop('id')
    fields.pop('version')
    return fields
