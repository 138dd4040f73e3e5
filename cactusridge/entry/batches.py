"""``/v1/batches``: create, read, list and cancel batch jobs."""

import re
from typing import Any

from cactusridge.batch.file_store import FileStore
from cactusridge.batch.job_reader import JobReader
from cactusridge.batch.job_store import JobStore, Submission, body_digest
from cactusridge.batch.jobs import Job, JobState, JobStatus
from cactusridge.entry.files import ERROR_PREFIX, OUTPUT_PREFIX
from cactusridge.errors import BadRequest
from cactusridge.http.app import Route, route
from cactusridge.http.exchange import Reply, Req, json_reply
from cactusridge.settings.paths import NAME
from cactusridge.settings.schema import JobSettings
from cactusridge.sidecar_dispatch.entry_components import EntryComponents

KEY_HEADER = 'Idempotency-Key'
MAX_KEY_LENGTH = 256
MAX_PAGE_SIZE = 100
DEFAULT_PAGE_SIZE = 20
JOB_CLASS = re.compile(f'({NAME})/({NAME})')
MAX_METADATA_ENTRIES = 16


class BatchesApi:
    """Serves batch jobs in the format of the OpenAI batch API."""

    def __init__(
        self,
        parts: EntryComponents,
        files: FileStore,
        jobs: JobStore,
        reader: JobReader,
    ) -> None:
        """Serve ``jobs``, whose input is in ``files``."""
        self._parts = parts
        self._files = files
        self._jobs = jobs
        self._reader = reader

    def routes(self) -> list[Route]:
        """Return the routes of this interface."""
        return [
            route('POST', '/v1/batches', self.create),
            route('GET', '/v1/batches', self.page),
            route('GET', '/v1/batches/(?P<name>[^/]+)', self.show),
            route('POST', '/v1/batches/(?P<name>[^/]+)/cancel', self.cancel),
        ]

    def create(self, req: Req) -> Reply:
        """Accept a job; respond once the job is stored in the platform."""
        team = self._parts.team_of(req)
        body = req.json()
        file_name = _input_file_id(body)
        manifest = self._files.get(team, file_name)
        if body.get('endpoint') != manifest.url:
            raise BadRequest(
                f'endpoint has to be the url of the file, {manifest.url}',
                param='endpoint',
            )
        job_class, job_settings = self._job_class(team, body)
        service = self._parts.catalog.model(manifest.model, team)
        job = self._jobs.accept(
            Submission(
                team=team,
                key=_idempotency_key(req, body),
                body=body,
                manifest=manifest,
                service=service,
                job_class=job_class,
                job_settings=job_settings,
            ),
        )
        return json_reply(self._entry(job))

    def page(self, req: Req) -> Reply:
        """List a page of the team's jobs."""
        limit = _page_size(req.query('limit'))
        after = req.query('after')
        jobs = self._jobs.page(self._parts.team_of(req), after, limit + 1)
        listed = [self._entry(job) for job in jobs[:limit]]
        message = {
            'object': 'list',
            'data': listed,
            'has_more': len(jobs) > limit,
            'first_id': listed[0]['id'] if listed else None,
            'last_id': listed[-1]['id'] if listed else None,
        }
        return json_reply(message)

    def show(self, req: Req, name: str) -> Reply:
        """Describe one job."""
        return json_reply(
            self._entry(self._jobs.get(self._parts.team_of(req), name))
        )

    def cancel(self, req: Req, name: str) -> Reply:
        """Cancel a job; results committed before stay readable."""
        job = self._jobs.cancel(self._parts.team_of(req), name)
        return json_reply(self._entry(job))

    def _entry(self, job: Job) -> dict[str, Any]:
        return batch_entry(self._reader.status(job))

    def _job_class(
        self,
        team: str,
        body: dict[str, Any],
    ) -> tuple[str, JobSettings | None]:
        """Return the path and settings of the job class in the metadata.

        Returns an empty path and None if the metadata names no job class.
        """
        class_name = (body.get('metadata') or {}).get('job')
        if class_name is None:
            return '', None
        found = JOB_CLASS.fullmatch(class_name)
        if found is None:
            raise BadRequest(
                'metadata.job has to have the form DEPLOYMENT/JOB',
                param='metadata.job',
            )
        path = f'/teams/{team}/deployments/{found[1]}/jobs/{found[2]}'
        settings = self._parts.tree.model(path)
        if settings is None:
            raise BadRequest(
                f'no settings exist at {path}', param='metadata.job'
            )
        return path, settings


def batch_entry(status: JobStatus) -> dict[str, Any]:
    """Return a job as the API's batch object."""
    job = status.job
    failed_name = f'{ERROR_PREFIX}{job.id}' if status.failed else None
    finished = int(status.finished_at) or None
    return {
        'id': job.id,
        'object': 'batch',
        'endpoint': job.url,
        'errors': None,
        'input_file_id': job.file,
        'completion_window': job.window,
        'status': status.state.value,
        'output_file_id': f'{OUTPUT_PREFIX}{job.id}' if status.ok else None,
        'error_file_id': failed_name,
        'created_at': int(job.created),
        'in_progress_at': int(job.created),
        'expires_at': int(job.due),
        'completed_at': (
            finished if status.state == JobState.completed else None
        ),
        'cancelling_at': int(status.cancelled_at) or None,
        'cancelled_at': (
            finished if status.state == JobState.cancelled else None
        ),
        'request_counts': {
            'total': job.items,
            'completed': status.ok,
            'failed': status.failed,
        },
        'metadata': job.metadata,
        'at_risk': status.at_risk,
        'model': job.model,
    }


def _input_file_id(body: Any) -> str:
    if not isinstance(body, dict):
        raise BadRequest('the body has to be a JSON object')
    metadata = body.get('metadata') or {}
    are_strings = isinstance(metadata, dict) and all(
        isinstance(text, str) for text in metadata.values()
    )
    if not are_strings or len(metadata) > MAX_METADATA_ENTRIES:
        raise BadRequest(
            'metadata has too many entries or a value that is no string',
            param='metadata',
        )
    file_name = body.get('input_file_id')
    if not isinstance(file_name, str):
        raise BadRequest(
            'input_file_id has to be a file id, a string', param='input_file_id'
        )
    return file_name


def _idempotency_key(req: Req, body: dict[str, Any]) -> str:
    """Return the idempotency key of a submission.

    Without an ``Idempotency-Key`` header, the key is the body's digest.
    """
    given = req.header(KEY_HEADER)
    if len(given) > MAX_KEY_LENGTH:
        raise BadRequest(
            f'{KEY_HEADER} is longer than {MAX_KEY_LENGTH}', param=KEY_HEADER
        )
    return f'key/{given}' if given else f'body/{body_digest(body)}'


def _page_size(text: str) -> int:
    if not text:
        return DEFAULT_PAGE_SIZE
    if not text.isdecimal() or not 0 < int(text) <= MAX_PAGE_SIZE:
        raise BadRequest(f'limit has to be 1 to {MAX_PAGE_SIZE}', param='limit')
    return int(text)
