"""Stored jobs and their progress: types, row keys and parsers."""

import enum
from typing import NamedTuple

from cactusridge.store.fields import Fields
from cactusridge.store.table import Row


class JobState(enum.StrEnum):
    """The states of a batch in the public API that this system uses."""

    in_progress = 'in_progress'
    completed = 'completed'
    cancelling = 'cancelling'
    cancelled = 'cancelled'


class Job(NamedTuple):
    """An accepted job; its row never changes.

    ``due`` and ``created`` are Unix seconds.
    """

    id: str
    team: str
    file: str
    service: str
    model: str
    url: str
    window: str
    due: float
    created: float
    items: int
    spans: int
    digest: str
    metadata: dict[str, str]
    job_class: str = ''


class Progress(NamedTuple):
    """Counts of a job's closed spans and of their items.

    ``finished`` is when a span was last closed, in Unix seconds.
    """

    spans: int = 0
    ok: int = 0
    failed: int = 0
    finished: float = 0


class JobStatus(NamedTuple):
    """A job with its current state and item counts.

    ``cancelled_at`` and ``finished_at`` are Unix seconds, or 0.
    """

    job: Job
    state: JobState
    ok: int
    failed: int
    cancelled_at: float
    finished_at: float
    at_risk: bool

    @property
    def done(self) -> int:
        """Return the number of items that have a result."""
        return self.ok + self.failed


def job_key(team: str, name: str) -> str:
    """Return the table key of the row of the job with the id ``name``."""
    return f'jobs/{team}/{name}'


def cancel_key(name: str) -> str:
    """Return the table key of the row that marks a job as cancelled."""
    return f'cancel/{name}'


def progress_key(name: str) -> str:
    """Return the table key of a job's progress row."""
    return f'progress/{name}'


def parse_job(row: Row) -> Job:
    """Return the job in a row; raise UnreadableField."""
    fields = Fields(row.value)
    texts = {
        name: fields.text(name)
        for name in (
            *('id', 'team', 'file', 'service'),
            *('model', 'url', 'window', 'digest'),
        )
    }
    return Job(
        **texts,
        due=fields.number('due'),
        created=fields.number('created'),
        items=fields.integer('items'),
        spans=fields.integer('spans'),
        metadata=fields.texts('metadata'),
        job_class=fields.text('job_class', ''),
    )


def parse_progress(row: Row) -> Progress:
    """Return the progress in a row; raise UnreadableField."""
    fields = Fields(row.value)
    return Progress(
        fields.integer('spans'),
        fields.integer('ok'),
        fields.integer('failed'),
        fields.number('finished'),
    )


def cancelled_at(row: Row) -> float:
    """Return when a job was cancelled, in Unix seconds.

    Raises UnreadableField.
    """
    return Fields(row.value).number('when')
