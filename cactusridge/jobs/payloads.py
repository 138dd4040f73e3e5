"""The items of a job as they are kept: rows, or an object if they are large."""

import base64
import re
from collections.abc import Sequence
from typing import Any, NamedTuple

from cactusridge import wire
from cactusridge.errors import BadRequest, NotFound
from cactusridge.jobs.keys import payload_prefix
from cactusridge.jobs.model import JobItem
from cactusridge.jobs.pieces import cut
from cactusridge.store.fields import Fields
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import Priority, Row, Table, Write
from cactusridge.store.unreadable import UnreadableField

# Characters that go into rows. With their base64 and JSON they stay under
# the megabyte of a transaction; more goes into an object, which takes a
# call of its own and 25 ms.
INLINE_CHARS = 500_000
OBJECT = 'object'
TEXT = 'text'
BASE64 = re.compile('[A-Za-z0-9+/=]*')


class Payloads:
    """Stores and reads the items of jobs."""

    def __init__(self, table: Table, objects: ObjectStore) -> None:
        """Keep them in ``table`` and, where they are large, ``objects``."""
        self._table = table
        self._objects = objects
        self._reader = RowReader()

    def prepare(
        self,
        job_id: str,
        items: Sequence[JobItem],
        unique: str,
    ) -> list[Write]:
        """Return the rows to write with a job's head.

        A large payload is put in the object store first, under a name
        with ``unique`` in it, so that no other submission can replace
        it. Raises StoreUnavailable.
        """
        text = wire.encode([list(item) for item in items]).decode()
        prefix = payload_prefix(job_id)
        if len(text) > INLINE_CHARS:
            name = f'job-{job_id}-{unique}'
            self._objects.put(name, text.encode(), Priority.acceptance)
            return [Write(f'{prefix}0000', {OBJECT: name})]
        return [
            Write(f'{prefix}{number:04}', {TEXT: piece})
            for number, piece in enumerate(cut(text))
        ]

    def read(self, job_id: str) -> list[JobItem]:
        """Return the items of a job.

        Raises NotFound, StoreUnavailable, UnreadableRecord.
        """
        prefix = payload_prefix(job_id)
        scanned = self._table.scan(prefix, Priority.commit)
        rows = [row for row in scanned if self._is_ours(row, prefix)]
        if not rows:
            raise NotFound(f'no job {job_id}')
        raw = self._raw(rows)
        try:
            return items_in(raw)
        except UnreadableField as exc:
            self._reader.refuse(rows[0], str(exc))

    def drop(self, job_id: str) -> list[Write]:
        """Return the writes that remove a job's items; drop its object."""
        rows = self._table.scan(payload_prefix(job_id), Priority.report)
        for piece in self._reader.readable(rows, _piece):
            if piece.object_name:
                self._objects.drop(piece.object_name, Priority.report)
        return [Write(row.key, None) for row in rows]

    def _is_ours(self, row: Row, prefix: str) -> bool:
        """Tell whether a row's key is one of a payload's; log others."""
        ours = row.key.removeprefix(prefix).isdecimal()
        if not ours:
            self._reader.report(row, 'no place of items')
        return ours

    def _raw(self, rows: list[Row]) -> bytes:
        """Return the bytes of a payload; raise UnreadableRecord."""
        pieces = [self._reader.read(row, _piece) for row in rows]
        numbers = [row.key.rpartition('.')[-1] for row in rows]
        wanted = [f'{number:04}' for number in range(len(rows))]
        if None in pieces or numbers != wanted:
            self._reader.refuse(rows[0], f'the rows are {numbers}')
        name = pieces[0].object_name
        if not name:
            return ''.join(piece.text for piece in pieces).encode()
        try:
            return self._objects.get(name)
        except NotFound:
            self._reader.refuse(rows[0], f'no object {name}')


class Piece(NamedTuple):
    """A row of a payload: a text, or the name of an object instead."""

    text: str
    object_name: str


def items_in(raw: bytes) -> list[JobItem]:
    """Return the items in a payload's bytes; raise UnreadableField."""
    try:
        entries = wire.decode(raw)
    except BadRequest as exc:
        raise UnreadableField(str(exc)) from exc
    if not isinstance(entries, list):
        raise UnreadableField('the items are no list')
    return [_item(entry) for entry in entries]


def _piece(row: Row) -> Piece:
    fields = Fields(row.value)
    name = fields.text(OBJECT, '')
    return Piece('' if name else fields.text(TEXT), name)


def _item(entry: Any) -> JobItem:
    if not isinstance(entry, list) or len(entry) != len(JobItem._fields):
        raise UnreadableField('an item is no list of its fields')
    fields = Fields(dict(zip(JobItem._fields, entry, strict=True)))
    body = fields.text('body')
    if not BASE64.fullmatch(body):
        raise UnreadableField('the body of an item is no base64')
    try:
        base64.b64decode(body)
    except ValueError as exc:
        raise UnreadableField(f'the body of an item: {exc}') from exc
    return JobItem(
        fields.text('id'),
        fields.text('path'),
        fields.texts('headers'),
        body,
        fields.signed('tokens'),
    )
