"""Stores the items of a job in rows, or in one object if they are large."""

import base64
import re
from collections.abc import Sequence
from typing import Any, NamedTuple

from cactusridge import wire
from cactusridge.errors import BadRequest, NotFound
from cactusridge.jobs.commit_size import CallSize, size_of
from cactusridge.jobs.keys import payload_prefix
from cactusridge.jobs.model import JobItem
from cactusridge.jobs.row_text import split_text
from cactusridge.store.fields import Fields
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import Priority, Row, Table, Write
from cactusridge.store.unreadable import UnreadableField

# Maximum number of characters stored in rows, if they fit into one call of the
# store. Longer payloads go into an object, which costs an extra call of 25 ms.
INLINE_CHARS = 500_000
# The condition, the head and the progress of the job in the same call, with an
# upper bound of their bytes.
OTHER_ENTRIES = 3
OTHER_BYTES = 2000
OTHER_ROWS = CallSize(OTHER_ENTRIES, OTHER_BYTES)
OBJECT_FIELD = 'object'
TEXT_FIELD = 'text'
BASE64 = re.compile('[A-Za-z0-9+/=]*')


class Payloads:
    """Writes, reads and removes the items of jobs."""

    def __init__(self, table: Table, objects: ObjectStore) -> None:
        """Store items in ``table``, and large payloads in ``objects``."""
        self._table = table
        self._objects = objects
        self._reader = RowReader()

    def prepare(
        self,
        job_id: str,
        items: Sequence[JobItem],
        unique: str,
    ) -> list[Write]:
        """Return the rows with the items, to be written with the head.

        A large payload is first put into the object store. The name of its
        object includes ``unique``, so that no other submission can replace
        it. Raises StoreUnavailable.
        """
        text = wire.encode([list(item) for item in items]).decode()
        prefix = payload_prefix(job_id)
        rows = [
            Write(f'{prefix}{number:04}', {TEXT_FIELD: piece})
            for number, piece in enumerate(split_text(text[:INLINE_CHARS]))
        ]
        is_inline = len(text) <= INLINE_CHARS
        if is_inline and size_of(rows).plus(OTHER_ROWS).fits:
            return rows
        name = f'job-{job_id}-{unique}'
        self._objects.put(name, text.encode(), Priority.acceptance)
        return [Write(f'{prefix}0000', {OBJECT_FIELD: name})]

    def read(self, job_id: str) -> list[JobItem]:
        """Return the items of a job.

        Raises NotFound, StoreUnavailable, UnreadableRecord.
        """
        prefix = payload_prefix(job_id)
        scanned = self._table.scan(prefix, Priority.commit)
        rows = [row for row in scanned if self._is_payload_row(row, prefix)]
        if not rows:
            raise NotFound(f'no job {job_id}')
        raw = self._payload_bytes(rows)
        try:
            return parse_items(raw)
        except UnreadableField as exc:
            self._reader.raise_unreadable(rows[0], str(exc))

    def drop(self, job_id: str) -> list[Write]:
        """Delete the object of a job and return writes that delete its rows.

        Raises StoreUnavailable.
        """
        rows = self._table.scan(payload_prefix(job_id), Priority.report)
        for piece in self._reader.readable(rows, _parse_piece):
            if piece.object_name:
                self._objects.drop(piece.object_name, Priority.report)
        return [Write(row.key, None) for row in rows]

    def _is_payload_row(self, row: Row, prefix: str) -> bool:
        """Return whether a row's key is that of a payload; log it if not."""
        is_payload_row = row.key.removeprefix(prefix).isdecimal()
        if not is_payload_row:
            self._reader.log_unreadable(
                row, 'the key is not that of a payload row'
            )
        return is_payload_row

    def _payload_bytes(self, rows: list[Row]) -> bytes:
        """Join the rows of a payload; raise UnreadableRecord."""
        pieces = [self._reader.read(row, _parse_piece) for row in rows]
        numbers = [row.key.rpartition('.')[-1] for row in rows]
        expected = [f'{number:04}' for number in range(len(rows))]
        if None in pieces or numbers != expected:
            self._reader.raise_unreadable(
                rows[0], f'the rows of the payload are {numbers}'
            )
        name = pieces[0].object_name
        if not name:
            return ''.join(piece.text for piece in pieces).encode()
        try:
            return self._objects.get(name)
        except NotFound:
            self._reader.raise_unreadable(
                rows[0], f'the object {name} does not exist'
            )


class Piece(NamedTuple):
    """Content of a payload row: a piece of text or the name of an object."""

    text: str
    object_name: str


def parse_items(raw: bytes) -> list[JobItem]:
    """Parse the items from the bytes of a payload; raise UnreadableField."""
    try:
        entries = wire.decode(raw)
    except BadRequest as exc:
        raise UnreadableField(str(exc)) from exc
    if not isinstance(entries, list):
        raise UnreadableField('the items are not a list')
    return [_parse_item(entry) for entry in entries]


def _parse_piece(row: Row) -> Piece:
    fields = Fields(row.value)
    name = fields.text(OBJECT_FIELD, '')
    return Piece('' if name else fields.text(TEXT_FIELD), name)


def _parse_item(entry: Any) -> JobItem:
    if not isinstance(entry, list) or len(entry) != len(JobItem._fields):
        raise UnreadableField('an item is not a list of its fields')
    fields = Fields(dict(zip(JobItem._fields, entry, strict=True)))
    body = fields.text('body')
    if not BASE64.fullmatch(body):
        raise UnreadableField('the body of an item is not base64')
    try:
        base64.b64decode(body)
    except ValueError as exc:
        raise UnreadableField(
            f'the body of an item is not base64: {exc}'
        ) from exc
    return JobItem(
        fields.text('id'),
        fields.text('path'),
        fields.texts('headers'),
        body,
        fields.signed_integer('tokens'),
    )
