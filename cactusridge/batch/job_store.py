"""Accepts, reads, lists and cancels jobs."""

import hashlib
from typing import Any, NamedTuple

from cactusridge import events, logs, wire
from cactusridge.batch.due import due_of
from cactusridge.batch.jobs import (
    Job,
    Progress,
    cancel_key,
    job_key,
    parse_job,
    progress_key,
)
from cactusridge.batch.manifest import Manifest
from cactusridge.batch.span import (
    Span,
    span_key,
)
from cactusridge.clock import Clock
from cactusridge.errors import IdempotencyMismatch, NotFound, OutcomeUnknown
from cactusridge.settings.catalog import Service
from cactusridge.settings.schema import JobSettings
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import (
    ABSENT,
    Condition,
    Priority,
    Table,
    Write,
)
from cactusridge.store.unreadable import UnreadableRecord
from cactusridge.store.writer import insert_once

ID_CHARS = 32
KEYS_A_READ = 200


class Submission(NamedTuple):
    """A request to create a job.

    ``key`` is the idempotency key: a repeated submission with the same key
    refers to the same job.
    """

    team: str
    key: str
    body: dict[str, Any]
    manifest: Manifest
    service: Service
    job_class: str
    job_settings: JobSettings | None


def job_id(team: str, key: str) -> str:
    """Return the job id that belongs to a team's idempotency ``key``."""
    digest = hashlib.sha256(f'{team}/{key}'.encode()).hexdigest()
    return f'batch_{digest[:ID_CHARS]}'


def body_digest(body: dict[str, Any]) -> str:
    """Return the SHA-256 digest of a request body in hex.

    The digest does not depend on the order of the keys in the body.
    """
    return hashlib.sha256(wire.canonical(body)).hexdigest()


class JobStore:
    """Stores jobs and their spans as rows of the table."""

    def __init__(
        self,
        shards: int,
        table: Table,
        objects: ObjectStore,
        clock: Clock,
    ) -> None:
        """Spread the rows of open spans over ``shards`` shards."""
        self._shards = shards
        self._table = table
        self._objects = objects
        self._clock = clock
        self._reader = RowReader()

    def accept(self, submission: Submission) -> Job:
        """Accept a job and return it once its rows are in the table.

        A repeated submission returns the job that was stored first. Raises
        IdempotencyMismatch if the key was used with another body, and
        OutcomeUnknown if it cannot be confirmed that the job is stored.
        """
        job = self._job(submission)
        key = job_key(submission.team, job.id)
        row = self._table.read([key], Priority.acceptance)[0]
        if row.absent:
            writes = [
                Write(key, job._asdict()),
                Write(progress_key(job.id), Progress()._asdict()),
                *self._span_writes(job, submission),
            ]
            insert_once(self._table, [Condition(key, ABSENT)], writes)
            row = self._table.read([key], Priority.acceptance)[0]
        try:
            stored = self._reader.read(row, parse_job)
        except UnreadableRecord as exc:
            # A row exists, so the error must not imply that the job was
            # not accepted.
            raise OutcomeUnknown(str(exc), retry_after_s=1) from exc
        if stored is None:
            raise OutcomeUnknown(f'{key} no longer exists', retry_after_s=1)
        if stored.digest != job.digest:
            raise IdempotencyMismatch(
                f'the idempotency key of {stored.id} was already used with'
                ' a different body',
            )
        logs.emit(events.JOB_ACCEPTED, job=job.id, items=job.items)
        return stored

    def get(self, team: str, name: str) -> Job:
        """Return a job.

        Raises NotFound if the team has no job with this id, and
        UnreadableRecord if its row is unreadable.
        """
        row = self._table.read([job_key(team, name)], Priority.report)[0]
        job = self._reader.read(row, parse_job)
        if job is None:
            raise NotFound(f'batch {name} does not exist')
        return job

    def page(self, team: str, after: str, limit: int) -> list[Job]:
        """Return up to ``limit`` jobs of a team, in the order of their ids.

        The page starts after the id ``after``. Jobs whose rows are
        unreadable are left out.
        """
        prefix = job_key(team, '')
        start = f'{prefix}{after}' if after else ''
        rows = self._table.scan(prefix, Priority.report, start, limit)
        return list(self._reader.readable(rows, parse_job))

    def cancel(self, team: str, name: str) -> Job:
        """Cancel a job; once stored, none of its chunks can be committed.

        Raises NotFound or UnreadableRecord.
        """
        job = self.get(team, name)
        key = cancel_key(name)
        insert_once(
            self._table,
            [Condition(key, ABSENT)],
            [Write(key, {'when': self._clock.wall()})],
            Priority.commit,
        )
        logs.emit(events.JOB_CANCELLED, job=name)
        return job

    def _job(self, submission: Submission) -> Job:
        now = self._clock.wall()
        due = due_of(
            submission.body.get('completion_window'),
            submission.job_settings,
            now,
        )
        return Job(
            id=job_id(submission.team, submission.key),
            team=submission.team,
            file=submission.manifest.id,
            service=submission.service.path,
            model=submission.manifest.model,
            url=submission.manifest.url,
            window=due.window,
            due=due.at,
            created=now,
            items=submission.manifest.items,
            spans=len(submission.manifest.segments),
            digest=body_digest(submission.body),
            metadata=submission.body.get('metadata') or {},
            job_class=submission.job_class,
        )

    def _span_writes(self, job: Job, submission: Submission) -> list[Write]:
        spans = [
            Span(
                job=job.id,
                team=job.team,
                number=number,
                service=job.service,
                url=job.url,
                segment=segment.name,
                offsets=list(segment.offsets),
                items=segment.items,
                due=job.due,
                created=job.created,
                repeatable=submission.service.settings.repeatable,
            )
            for number, segment in enumerate(submission.manifest.segments)
        ]
        return [
            Write(
                span_key(job.id, span.number, self._shards),
                span._asdict(),
            )
            for span in spans
        ]
