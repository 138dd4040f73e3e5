"""``/v1/files``: input files of batch jobs, and their output files."""

from http import HTTPStatus
from typing import Any

from cactusridge.batch.file_store import FileStore
from cactusridge.batch.job_reader import JobReader
from cactusridge.batch.job_store import JobStore
from cactusridge.batch.manifest import Manifest
from cactusridge.entry.uploads import Blocks, UploadReader
from cactusridge.errors import BadRequest
from cactusridge.http.app import Route, route
from cactusridge.http.exchange import Reply, Req, json_reply
from cactusridge.sidecar_dispatch.entry_components import EntryComponents

OUTPUT_PREFIX = 'file-out-'
ERROR_PREFIX = 'file-err-'
JSONL = 'application/jsonl'
PURPOSE = 'batch'


class FilesApi:
    """Serves input files and the output files of jobs.

    Output files are assembled from the results that the table refers to.
    """

    def __init__(
        self,
        parts: EntryComponents,
        files: FileStore,
        jobs: JobStore,
        reader: JobReader,
    ) -> None:
        """Serve ``files`` and the outputs of ``jobs``."""
        self._parts = parts
        self._files = files
        self._jobs = jobs
        self._reader = reader

    def routes(self) -> list[Route]:
        """Return the routes of this interface."""
        return [
            route('POST', '/v1/files', self.create),
            route('GET', '/v1/files', self.page),
            route('GET', '/v1/files/(?P<name>[^/]+)', self.show),
            route('GET', '/v1/files/(?P<name>[^/]+)/content', self.read),
        ]

    def create(self, req: Req) -> Reply:
        """Store an uploaded file; reject it if any line is invalid."""
        team = self._parts.team_of(req)
        upload_reader = UploadReader(
            req,
            self._parts.cfg.batch.max_file_bytes,
            self._parts.cfg.body_timeout_s,
        )

        def accept(filename: str, blocks: Blocks) -> Manifest:  # noqa: WPS430
            return self._files.accept(team, filename, blocks)

        upload = upload_reader.read(accept)
        if upload.accepted is None:
            raise BadRequest('the upload contains no file', param='file')
        if upload.fields.get('purpose') != PURPOSE:
            raise BadRequest('purpose has to be batch', param='purpose')
        return json_reply(_file_entry(upload.accepted))

    def page(self, req: Req) -> Reply:
        """List the input files of the team."""
        rows = self._files.page(self._parts.team_of(req))
        listed = [_row_entry(row) for row in rows]
        return json_reply(
            {'object': 'list', 'data': listed, 'has_more': False},
        )

    def show(self, req: Req, name: str) -> Reply:
        """Describe one file."""
        team = self._parts.team_of(req)
        if name.startswith((OUTPUT_PREFIX, ERROR_PREFIX)):
            return json_reply(self._output_entry(team, name))
        return json_reply(_file_entry(self._files.get(team, name)))

    def read(self, req: Req, name: str) -> Reply:
        """Return a file's lines; for an output file, those committed so far."""
        team = self._parts.team_of(req)
        headers = [('Content-Type', JSONL)]
        if name.startswith(OUTPUT_PREFIX):
            job = self._jobs.get(team, name.removeprefix(OUTPUT_PREFIX))
            return Reply(HTTPStatus.OK, headers, self._reader.output(job))
        if name.startswith(ERROR_PREFIX):
            job = self._jobs.get(team, name.removeprefix(ERROR_PREFIX))
            return Reply(HTTPStatus.OK, headers, self._reader.errors(job))
        manifest = self._files.get(team, name)
        return Reply(HTTPStatus.OK, headers, self._files.blocks(manifest))

    def _output_entry(self, team: str, name: str) -> dict[str, Any]:
        job_name = name.removeprefix(OUTPUT_PREFIX)
        job = self._jobs.get(team, job_name.removeprefix(ERROR_PREFIX))
        results = list(self._reader.results(job))
        size = sum(found.ok_bytes for found in results)
        if name.startswith(ERROR_PREFIX):
            size = sum(found.size - found.ok_bytes for found in results)
        return _entry(name, size, int(job.created), f'{name}.jsonl', 'output')


def _file_entry(manifest: Manifest) -> dict[str, Any]:
    return _row_entry(manifest.row())


def _row_entry(row: dict[str, Any]) -> dict[str, Any]:
    return _entry(row['id'], row['bytes'], row['created'], row['filename'], '')


def _entry(
    name: str,
    size: int,
    created: int,
    filename: str,
    suffix: str,
) -> dict[str, Any]:
    purpose = f'{PURPOSE}_{suffix}' if suffix else PURPOSE
    return {
        'id': name,
        'object': 'file',
        'bytes': size,
        'created_at': created,
        'filename': filename,
        'purpose': purpose,
        'status': 'processed',
    }
