"""What a holder commits of a job at once, and its rows."""

from collections.abc import Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Any, NamedTuple

from cactusridge.jobs.keys import INDEX_DIGITS, partial_key, progress_key
from cactusridge.jobs.model import Partial, Progress, Result
from cactusridge.jobs.result_rows import rows_of
from cactusridge.store.fields import Fields
from cactusridge.store.table import Row, Write
from cactusridge.store.unreadable import UnreadableField


class ItemEnd(NamedTuple):
    """An item that ended, by its index in the job.

    ``checkpointed`` says that unfinished output of it is in the store.
    """

    index: int
    result: Result
    checkpointed: bool = False


class Step(NamedTuple):
    """What a holder commits at once.

    ``ended`` is listed after what is listed already, ``failures`` are
    all counts by item index, ``partials`` replace unfinished outputs.
    """

    ended: Sequence[ItemEnd] = ()
    failures: Mapping[str, int] = MappingProxyType({})
    partials: Sequence[Partial] = ()


def progress_after(progress: Progress, step: Step, write_id: str) -> Progress:
    """Return ``progress`` with ``step`` taken; the row has no version yet."""
    listed = [*progress.listed, *(end.index for end in step.ended)]
    return Progress(listed, dict(step.failures), write_id)


def progress_value(progress: Progress) -> dict[str, Any]:
    """Return progress as its row's value."""
    fields = progress._asdict()
    fields.pop('version')
    return fields


def progress_in(row: Row) -> Progress:
    """Return the progress in a row; raise UnreadableField."""
    fields = Fields(row.value)
    listed = fields.wholes('listed')
    if len(set(listed)) != len(listed):
        raise UnreadableField('an item is listed twice')
    return Progress(
        listed,
        fields.counts('failures'),
        fields.text('write_id'),
        row.version,
    )


def partial_in(row: Row) -> Partial:
    """Return the unfinished output in a row; raise UnreadableField."""
    index = row.key.partition('.')[-1]
    fields = Fields(row.value)
    last_id = fields.text('last_id')
    if not last_id.isdecimal():
        raise UnreadableField(f'its last event is {last_id!r}')
    if not index.isdecimal() or len(index) != INDEX_DIGITS:
        raise UnreadableField(f'its index is {index!r}')
    return Partial(int(index), last_id, fields.text('output'))


def step_writes(
    job_id: str,
    progress: Progress,
    following: Progress,
    step: Step,
) -> Iterator[Write]:
    """Yield the writes that lead from ``progress`` to ``following``."""
    yield Write(progress_key(job_id), progress_value(following))
    for position, end in enumerate(step.ended, len(progress.listed)):
        yield from rows_of(job_id, position, end.result)
        if end.checkpointed:
            yield Write(partial_key(job_id, end.index), None)
    for part in step.partials:
        output = {'last_id': part.last_id, 'output': part.output}
        yield Write(partial_key(job_id, part.index), output)
