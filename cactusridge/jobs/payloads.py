"""The items of a job as they are kept: rows, or an object if they are large."""

from collections.abc import Sequence

from cactusridge import wire
from cactusridge.errors import NotFound
from cactusridge.jobs.keys import payload_prefix
from cactusridge.jobs.model import JobItem
from cactusridge.jobs.pieces import cut
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.table import Priority, Table, Write

# Characters that go into rows. With their base64 and JSON they stay under
# the megabyte of a transaction; more goes into an object, which takes a
# call of its own and 25 ms.
INLINE_CHARS = 500_000
OBJECT = 'object'
TEXT = 'text'


class Payloads:
    """Stores and reads the items of jobs."""

    def __init__(self, table: Table, objects: ObjectStore) -> None:
        """Keep them in ``table`` and, where they are large, ``objects``."""
        self._table = table
        self._objects = objects

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
        """Return the items of a job; raise NotFound, StoreUnavailable."""
        rows = self._table.scan(payload_prefix(job_id), Priority.commit)
        held = [row.value for row in rows if row.value]
        if not held:
            raise NotFound(f'no job {job_id}')
        name = held[0].get(OBJECT)
        if name:
            raw = self._objects.get(name)
        else:
            raw = ''.join(value[TEXT] for value in held).encode()
        return [JobItem(*fields) for fields in wire.decode(raw)]

    def drop(self, job_id: str) -> list[Write]:
        """Return the writes that remove a job's items; drop its object."""
        rows = self._table.scan(payload_prefix(job_id), Priority.report)
        for row in rows:
            if row.value and OBJECT in row.value:
                self._objects.drop(row.value[OBJECT], Priority.report)
        return [Write(row.key, None) for row in rows]
