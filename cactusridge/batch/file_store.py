"""Uploaded files: named by their content, so that a resend finds itself."""

import hashlib
from collections.abc import Iterable, Iterator

from cactusridge import wire
from cactusridge.batch.ingest import Ingest
from cactusridge.batch.manifest import Manifest, decode
from cactusridge.clock import Clock
from cactusridge.errors import BadRequest, NotFound
from cactusridge.settings.catalog import ServiceCatalog
from cactusridge.startup.models import BatchSettings
from cactusridge.store.fields import Fields
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import (
    ABSENT,
    Condition,
    Priority,
    Row,
    Table,
    Write,
)
from cactusridge.store.unreadable import UnreadableField
from cactusridge.store.writer import insert_once

ID_CHARS = 32


def file_id(team: str, digest: str) -> str:
    """Return the id of a team's file with this content."""
    named = hashlib.sha256(f'{team}/{digest}'.encode()).hexdigest()
    return f'file-{named[:ID_CHARS]}'


def row_key(team: str, name: str) -> str:
    """Return the key of a file's row."""
    return f'files/{team}/{name}'


def manifest_name(team: str, name: str) -> str:
    """Return the object that lists a file's segments."""
    return f'manifests/{team}/{name}'


class FileStore:
    """Batch input files in the object store, with a row for each."""

    def __init__(
        self,
        cfg: BatchSettings,
        table: Table,
        objects: ObjectStore,
        catalog: ServiceCatalog,
        clock: Clock,
    ) -> None:
        """Keep files in ``objects`` and ``table``."""
        self._cfg = cfg
        self._table = table
        self._objects = objects
        self._catalog = catalog
        self._clock = clock
        self._reader = RowReader()

    def accept(
        self,
        team: str,
        filename: str,
        blocks: Iterable[bytes],
    ) -> Manifest:
        """Store a file; the same content again is the same file."""
        ingest = Ingest(self._cfg, self._objects, self._clock)
        ingest.take(blocks)
        self._catalog.model(ingest.first.model, team)
        name = file_id(team, ingest.digest())
        manifest = Manifest(
            id=name,
            team=team,
            filename=filename,
            bytes=ingest.size,
            created=int(self._clock.wall()),
            model=ingest.first.model,
            url=ingest.first.url,
            items=ingest.items,
            chunk_items=self._cfg.chunk_items,
            segments=tuple(ingest.segments),
        )
        existing = self._find(team, name)
        if existing is not None:
            return existing
        self._objects.put(
            manifest_name(team, name),
            wire.encode(manifest.encoded()),
            Priority.acceptance,
        )
        key = row_key(team, name)
        insert_once(
            self._table,
            [Condition(key, ABSENT)],
            [Write(key, manifest.row())],
        )
        return self.get(team, name)

    def get(self, team: str, name: str) -> Manifest:
        """Return a file; raise NotFound when the team has none such."""
        found = self._find(team, name)
        if found is None:
            raise NotFound(f'no file {name}')
        return found

    def names(self, team: str) -> list[dict[str, object]]:
        """Return a page of the team's files, of those it can read."""
        rows = self._table.scan(row_key(team, ''), Priority.report)
        return list(self._reader.readable(rows, _listed))

    def blocks(self, manifest: Manifest) -> Iterator[bytes]:
        """Yield the file's lines, a segment at a time."""
        for segment in manifest.segments:
            yield self._objects.get(segment.name)

    def _find(self, team: str, name: str) -> Manifest | None:
        key = row_key(team, name)
        row = self._table.read([key], Priority.acceptance)[0]
        if not self._reader.there(row):
            return None
        raw = self._objects.get(manifest_name(team, name))
        try:
            return decode(wire.decode(raw))
        except (BadRequest, UnreadableField) as exc:
            self._reader.refuse(row, f'its manifest: {exc}')


def _listed(row: Row) -> dict[str, object]:
    """Return what is listed of a file; raise UnreadableField."""
    fields = Fields(row.value)
    texts = {name: fields.text(name) for name in ('id', 'filename', 'model')}
    wholes = {name: fields.whole(name) for name in ('bytes', 'created')}
    return {**(row.value or {}), **texts, **wholes}
