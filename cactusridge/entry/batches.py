"""``/v1/batches``: create, read, list and cancel jobs."""

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
MAX_KEY = 256
MAX_PAGE = 100
DEFAULT_PAGE = 20
JOB_CLASS = re.compile(f'({NAME})/({NAME})')
METADATA_LIMIT = 16


class BatchesApi:
    """Serves jobs."""

    def __init__(
        self,
        parts: EntryComponents,
        files: FileStore,
        jobs: JobStore,
        reader: JobReader,
    ) -> None:
        """Serve ``jobs`` over ``files``."""
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
        """Accept a job; the answer comes once it is in the platform."""
        team = self._parts.team_of(req)
        body = req.json()
        file_name = _checked(body)
        manifest = self._files.get(team, file_name)
        if body.get('endpoint') != manifest.url:
            raise BadRequest(
                f'endpoint is not that of the file, {manifest.url}',
                param='endpoint',
            )
        job_class, job_settings = self._job_class(team, body)
        service = self._parts.catalog.model(manifest.model, team)
        job = self._jobs.accept(
            Submission(
                team=team,
                key=_key(req, body),
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
        limit = _limit(req.query('limit'))
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
        """Cancel a job; what was committed before stays readable."""
        job = self._jobs.cancel(self._parts.team_of(req), name)
        return json_reply(self._entry(job))

    def _entry(self, job: Job) -> dict[str, Any]:
        return batch_entry(self._reader.status(job))

    def _job_class(
        self,
        team: str,
        body: dict[str, Any],
    ) -> tuple[str, JobSettings | None]:
        """Return the job class that the metadata names, and its settings."""
        named = (body.get('metadata') or {}).get('job')
        if named is None:
            return '', None
        found = JOB_CLASS.fullmatch(named)
        if found is None:
            raise BadRequest(
                'metadata.job has to be DEPLOYMENT/JOB',
                param='metadata.job',
            )
        path = f'/teams/{team}/deployments/{found[1]}/jobs/{found[2]}'
        settings = self._parts.tree.model(path)
        if settings is None:
            raise BadRequest(f'nothing is set at {path}', param='metadata.job')
        return path, settings


def batch_entry(status: JobStatus) -> dict[str, Any]:
    """Return a job in its published form."""
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


def _checked(body: Any) -> str:
    if not isinstance(body, dict):
        raise BadRequest('the body has to be a JSON object')
    metadata = body.get('metadata') or {}
    texts = isinstance(metadata, dict) and all(
        isinstance(text, str) for text in metadata.values()
    )
    if not texts or len(metadata) > METADATA_LIMIT:
        raise BadRequest('metadata has to be texts by name', param='metadata')
    file_name = body.get('input_file_id')
    if not isinstance(file_name, str):
        raise BadRequest('a file id is expected', param='input_file_id')
    return file_name


def _key(req: Req, body: dict[str, Any]) -> str:
    """Return what names this submission, however often it is sent."""
    given = req.header(KEY_HEADER)
    if len(given) > MAX_KEY:
        raise BadRequest(f'{KEY_HEADER} is over {MAX_KEY}', param=KEY_HEADER)
    return f'key/{given}' if given else f'body/{body_digest(body)}'


def _limit(text: str) -> int:
    if not text:
        return DEFAULT_PAGE
    if not text.isdecimal() or not 0 < int(text) <= MAX_PAGE:
        raise BadRequest(f'limit has to be 1 to {MAX_PAGE}', param='limit')
    return int(text)
