"""Accepts, lists, cancels and reads jobs."""

import hashlib
from typing import Any, NamedTuple

from cactusridge import events, logs, wire
from cactusridge.batch.due import due_of
from cactusridge.batch.jobs import (
    Job,
    Progress,
    cancel_key,
    job_in,
    job_key,
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
    """What a caller asks for: ``key`` names it, whoever sends it again."""

    team: str
    key: str
    body: dict[str, Any]
    manifest: Manifest
    service: Service
    job_class: str
    job_settings: JobSettings | None


def job_id(team: str, key: str) -> str:
    """Return the id that this team's ``key`` always gets."""
    digest = hashlib.sha256(f'{team}/{key}'.encode()).hexdigest()
    return f'batch_{digest[:ID_CHARS]}'


def body_digest(body: dict[str, Any]) -> str:
    """Return a digest of what was asked for, whatever its key order."""
    return hashlib.sha256(wire.canonical(body)).hexdigest()


class JobStore:
    """Jobs in the table; their input and output in the object store."""

    def __init__(
        self,
        shards: int,
        table: Table,
        objects: ObjectStore,
        clock: Clock,
    ) -> None:
        """Spread spans over ``shards``."""
        self._shards = shards
        self._table = table
        self._objects = objects
        self._clock = clock
        self._reader = RowReader()

    def accept(self, asked: Submission) -> Job:
        """Accept a job once; the same request again gets the same job.

        Returns only after job and spans are in the table.
        """
        job = self._job(asked)
        key = job_key(asked.team, job.id)
        row = self._table.read([key], Priority.acceptance)[0]
        if row.absent:
            writes = [
                Write(key, job._asdict()),
                Write(progress_key(job.id), Progress()._asdict()),
                *self._span_writes(job, asked),
            ]
            insert_once(self._table, [Condition(key, ABSENT)], writes)
            row = self._table.read([key], Priority.acceptance)[0]
        try:
            stored = self._reader.read(row, job_in)
        except UnreadableRecord as exc:
            # It is stored: nothing may be said that means it is not.
            raise OutcomeUnknown(str(exc), retry_after_s=1) from exc
        if stored is None:
            raise OutcomeUnknown(f'{key} is gone again', retry_after_s=1)
        if stored.digest != job.digest:
            raise IdempotencyMismatch(
                f'the key of {stored.id} was used with another body',
            )
        logs.emit(events.JOB_ACCEPTED, job=job.id, items=job.items)
        return stored

    def get(self, team: str, name: str) -> Job:
        """Return a job; raise NotFound when the team has none such."""
        row = self._table.read([job_key(team, name)], Priority.report)[0]
        job = self._reader.read(row, job_in)
        if job is None:
            raise NotFound(f'no batch {name}')
        return job

    def page(self, team: str, after: str, limit: int) -> list[Job]:
        """Return a page of the team's jobs by id, of those it can read."""
        prefix = job_key(team, '')
        start = f'{prefix}{after}' if after else ''
        rows = self._table.scan(prefix, Priority.report, start, limit)
        return list(self._reader.readable(rows, job_in))

    def cancel(self, team: str, name: str) -> Job:
        """Cancel a job; from then on no chunk of it can be committed."""
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

    def _job(self, asked: Submission) -> Job:
        now = self._clock.wall()
        due = due_of(
            asked.body.get('completion_window'),
            asked.job_settings,
            now,
        )
        return Job(
            id=job_id(asked.team, asked.key),
            team=asked.team,
            file=asked.manifest.id,
            service=asked.service.path,
            model=asked.manifest.model,
            url=asked.manifest.url,
            window=due.window,
            due=due.at,
            created=now,
            items=asked.manifest.items,
            spans=len(asked.manifest.segments),
            digest=body_digest(asked.body),
            metadata=asked.body.get('metadata') or {},
            job_class=asked.job_class,
        )

    def _span_writes(self, job: Job, asked: Submission) -> list[Write]:
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
                repeatable=asked.service.settings.repeatable,
            )
            for number, segment in enumerate(asked.manifest.segments)
        ]
        return [
            Write(
                span_key(job.id, span.number, self._shards),
                span._asdict(),
            )
            for span in spans
        ]
