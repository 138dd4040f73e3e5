"""A job as it is stored, and what may be read of it."""

import enum
from typing import NamedTuple

from cactusridge.store.fields import Fields
from cactusridge.store.table import Row


class JobState(enum.StrEnum):
    """The published states of a batch that occur here."""

    in_progress = 'in_progress'
    completed = 'completed'
    cancelling = 'cancelling'
    cancelled = 'cancelled'


class Job(NamedTuple):
    """An accepted job; this row never changes."""

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
    """Closed spans of a job and their items."""

    spans: int = 0
    ok: int = 0
    failed: int = 0
    finished: float = 0


class JobStatus(NamedTuple):
    """A job with what has become of it so far."""

    job: Job
    state: JobState
    ok: int
    failed: int
    cancelled_at: float
    finished_at: float
    at_risk: bool

    @property
    def done(self) -> int:
        """Return the items that have a result."""
        return self.ok + self.failed


def job_key(team: str, name: str) -> str:
    """Return the key of a job's row."""
    return f'jobs/{team}/{name}'


def cancel_key(name: str) -> str:
    """Return the key of the row that exists once a job is cancelled."""
    return f'cancel/{name}'


def progress_key(name: str) -> str:
    """Return the key of a job's count of closed spans."""
    return f'progress/{name}'


def job_in(row: Row) -> Job:
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
        items=fields.whole('items'),
        spans=fields.whole('spans'),
        metadata=fields.texts('metadata'),
        job_class=fields.text('job_class', ''),
    )


def progress_in(row: Row) -> Progress:
    """Return the progress in a row; raise UnreadableField."""
    fields = Fields(row.value)
    return Progress(
        fields.whole('spans'),
        fields.whole('ok'),
        fields.whole('failed'),
        fields.number('finished'),
    )


def cancelled_at(row: Row) -> float:
    """Return when a job was cancelled; raise UnreadableField."""
    return Fields(row.value).number('when')
