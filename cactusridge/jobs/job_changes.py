"""One commit of a job's progress, and the rows that it writes."""

from collections.abc import Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Any, NamedTuple

from cactusridge.fleet.stream_origin import StreamOrigin
from cactusridge.jobs.keys import INDEX_DIGITS, checkpoint_key, progress_key
from cactusridge.jobs.model import Checkpoint, Progress, Result
from cactusridge.jobs.result_rows import result_writes
from cactusridge.store.fields import Fields
from cactusridge.store.table import Row, Write
from cactusridge.store.unreadable import UnreadableField


class FinishedItem(NamedTuple):
    """A finished item, its index in the job and its result.

    ``checkpointed`` tells whether the store has a checkpoint of the item,
    which has to be removed.
    """

    index: int
    result: Result
    checkpointed: bool = False


class JobChanges(NamedTuple):
    """Changes that the holder of a job commits in one transaction.

    The results of ``ended`` are appended to the listed results.
    ``failures`` maps every item index to its number of failed runs and
    replaces the stored counts. ``checkpoints`` replace the stored
    checkpoints of their items.
    """

    ended: Sequence[FinishedItem] = ()
    failures: Mapping[str, int] = MappingProxyType({})
    checkpoints: Sequence[Checkpoint] = ()


def progress_after(
    progress: Progress, changes: JobChanges, write_id: str
) -> Progress:
    """Return ``progress`` after ``changes``, without a row version."""
    listed = [*progress.listed, *(end.index for end in changes.ended)]
    return Progress(listed, dict(changes.failures), write_id)


def progress_value(progress: Progress) -> dict[str, Any]:
    """Return the value of the row that stores ``progress``."""
    fields = progress._asdict()
    fields.pop('version')
    return fields


def parse_progress(row: Row) -> Progress:
    """Parse the progress of a job from its row; raise UnreadableField."""
    fields = Fields(row.value)
    listed = fields.counts_list('listed')
    if len(set(listed)) != len(listed):
        raise UnreadableField('an item index is listed twice')
    return Progress(
        listed,
        fields.counts('failures'),
        fields.text('write_id'),
        row.version,
    )


def parse_checkpoint(row: Row) -> Checkpoint:
    """Parse a checkpoint from its row; raise UnreadableField."""
    index = row.key.partition('.')[-1]
    fields = Fields(row.value)
    last_id = fields.text('last_id')
    if not last_id.isdecimal():
        raise UnreadableField(f'the id of the last event is {last_id!r}')
    if not index.isdecimal() or len(index) != INDEX_DIGITS:
        raise UnreadableField(f'the item index is {index!r}')
    origin = StreamOrigin(
        fields.text('service', ''), fields.text('version', '')
    )
    return Checkpoint(int(index), last_id, fields.text('output'), origin)


def step_writes(
    job_id: str,
    progress: Progress,
    updated: Progress,
    changes: JobChanges,
) -> Iterator[Write]:
    """Yield the writes that commit ``changes``.

    ``progress`` is the progress before the changes and ``updated`` the
    progress after them.
    """
    yield Write(progress_key(job_id), progress_value(updated))
    for position, end in enumerate(changes.ended, len(progress.listed)):
        yield from item_writes(job_id, position, end)
    for part in changes.checkpoints:
        yield checkpoint_write(job_id, part)


def item_writes(
    job_id: str, position: int, end: FinishedItem
) -> Iterator[Write]:
    """Yield the writes that list a finished item at ``position``."""
    yield from result_writes(job_id, position, end.result)
    if end.checkpointed:
        yield Write(checkpoint_key(job_id, end.index), None)


def checkpoint_write(job_id: str, part: Checkpoint) -> Write:
    """Return the write that stores a checkpoint."""
    fields = {
        'last_id': part.last_id,
        'output': part.output,
        **part.origin._asdict(),
    }
    return Write(checkpoint_key(job_id, part.index), fields)
