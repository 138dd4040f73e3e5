"""Selects the changes of a job that fit into one call of the store.

A call holds at most 100 entries and one megabyte. The rows of a result grow
with its output, so that the number of results alone does not bound a call.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from cactusridge import wire
from cactusridge.jobs.job_changes import (
    JobChanges,
    checkpoint_write,
    item_writes,
    progress_after,
    progress_value,
)
from cactusridge.jobs.keys import progress_key
from cactusridge.jobs.model import Progress
from cactusridge.store.table import Write

MAX_ENTRIES = 100
# Below the limit of one megabyte, for what encloses the rows in a call.
MAX_BYTES = 950_000
# Upper bound of the bytes of a row besides its key and its value.
ROW_OVERHEAD_BYTES = 100
# A row that has the largest value, in base64: 65,536 bytes before.
MAX_ROW_BYTES = 87_000
# The condition on the progress of the job.
CONDITIONS = 1
# Base64 takes four bytes for three.
BASE64_BYTES = 4
BASE64_OF = 3


class CallSize(NamedTuple):
    """The number of entries of a call and their bytes."""

    entries: int
    size: int

    def plus(self, other: 'CallSize') -> 'CallSize':
        """Return the size of a call that has the entries of both."""
        return CallSize(self.entries + other.entries, self.size + other.size)

    @property
    def fits(self) -> bool:
        """Whether the store accepts a call of this size."""
        return self.entries <= MAX_ENTRIES and self.size <= MAX_BYTES


def size_of(writes: Iterable[Write]) -> CallSize:
    """Return an upper bound of the size of ``writes`` in a call."""
    sizes = [_row_bytes(each) for each in writes]
    return CallSize(len(sizes), sum(sizes))


def fitting_changes(
    job_id: str, progress: Progress, changes: JobChanges
) -> JobChanges:
    """Return the first of ``changes`` after ``progress`` that fit into a call.

    The first result is always among them. Checkpoints come after the results;
    those that do not fit are left out.
    """
    updated = progress_after(progress, changes, '')
    size = CallSize(CONDITIONS, ROW_OVERHEAD_BYTES).plus(
        size_of([Write(progress_key(job_id), progress_value(updated))])
    )
    ended = []
    for position, end in enumerate(changes.ended, len(progress.listed)):
        larger = size.plus(size_of(item_writes(job_id, position, end)))
        if ended and not larger.fits:
            break
        size = larger
        ended.append(end)
    checkpoints = []
    for part in changes.checkpoints:
        row = size_of([checkpoint_write(job_id, part)])
        if row.size <= MAX_ROW_BYTES and size.plus(row).fits:
            size = size.plus(row)
            checkpoints.append(part)
    return changes._replace(ended=ended, checkpoints=checkpoints)


def _row_bytes(write: Write) -> int:
    if write.value is None:
        return ROW_OVERHEAD_BYTES + len(write.key)
    raw = wire.encode(write.value)
    packed = BASE64_BYTES * math.ceil(len(raw) / BASE64_OF)
    return ROW_OVERHEAD_BYTES + len(write.key) + packed
