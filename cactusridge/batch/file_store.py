"""Uploaded batch input files.

A file's id is derived from its content, so that a repeated upload of the same
content returns the existing file.
"""

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
    """Return the id of a team's file whose content has SHA-256 ``digest``."""
    named = hashlib.sha256(f'{team}/{digest}'.encode()).hexdigest()
    return f'file-{named[:ID_CHARS]}'


def row_key(team: str, name: str) -> str:
    """Return the table key of the row of the file with the id ``name``."""
    return f'files/{team}/{name}'


def manifest_name(team: str, name: str) -> str:
    """Return the name of the object that lists a file's segments."""
    return f'manifests/{team}/{name}'


class FileStore:
    """Stores batch input files: content as objects, metadata as rows."""

    def __init__(
        self,
        cfg: BatchSettings,
        table: Table,
        objects: ObjectStore,
        catalog: ServiceCatalog,
        clock: Clock,
    ) -> None:
        """Store content in ``objects`` and metadata in ``table``.

        ``catalog`` is used to check the model that the items request.
        """
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
        """Store a file and return its manifest.

        If the team has uploaded the same content before, returns the
        manifest of that file. Raises ModelNotFound, BadLine, TooLarge,
        StoreUnavailable or UnreadableRecord.
        """
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
        """Return the manifest of a file.

        Raises NotFound if the team has no file with this id.
        """
        found = self._find(team, name)
        if found is None:
            raise NotFound(f'file {name} does not exist')
        return found

    def page(self, team: str) -> list[dict[str, object]]:
        """Return the listed fields of a page of the team's files.

        Files whose rows are unreadable are left out.
        """
        rows = self._table.scan(row_key(team, ''), Priority.report)
        return list(self._reader.readable(rows, _listed))

    def blocks(self, manifest: Manifest) -> Iterator[bytes]:
        """Yield the file's content, one segment at a time."""
        for segment in manifest.segments:
            yield self._objects.get(segment.name)

    def _find(self, team: str, name: str) -> Manifest | None:
        key = row_key(team, name)
        row = self._table.read([key], Priority.acceptance)[0]
        if not self._reader.exists(row):
            return None
        raw = self._objects.get(manifest_name(team, name))
        try:
            return decode(wire.decode(raw))
        except (BadRequest, UnreadableField) as exc:
            self._reader.raise_unreadable(
                row, f'the manifest is unreadable: {exc}'
            )


def _listed(row: Row) -> dict[str, object]:
    """Return the fields of a file for the listing; raise UnreadableField."""
    fields = Fields(row.value)
    texts = {name: fields.text(name) for name in ('id', 'filename', 'model')}
    wholes = {name: fields.integer(name) for name in ('bytes', 'created')}
    return {**(row.value or {}), **texts, **wholes}
