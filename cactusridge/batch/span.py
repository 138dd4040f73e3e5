"""Spans: parts of a job that are each run under one lease."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from cactusridge.hashing import hash64
from cactusridge.store.fields import Fields, is_count
from cactusridge.store.table import Row
from cactusridge.store.unreadable import UnreadableField

SPANS = 'spans/'
DONE = 'done/'


class ChunkResult(NamedTuple):
    """A chunk's output object and the counts of its items.

    ``name`` and ``size`` (in bytes) are those of the object. Its first
    ``ok_bytes`` bytes are output lines, the rest are error lines. ``ok``
    and ``failed`` count the items.
    """

    name: str
    ok_bytes: int
    size: int
    ok: int
    failed: int


class Span(NamedTuple):
    """The row of a span: its input, its lease and its progress.

    ``segment`` is the input object and ``offsets`` the byte offsets of its
    chunks, followed by its size; ``due`` and ``created`` are Unix seconds.
    ``holder`` is empty while no lease is held, and ``holders`` counts how
    often the lease was taken. By chunk, ``started`` has the number of
    starts and ``done`` the fields of a ChunkResult; by ``chunk/item``,
    ``marks`` has the number of times that the item was run alone. Keys are
    strings, because JSON has no other keys.
    """

    job: str
    team: str
    number: int
    service: str
    url: str
    segment: str
    offsets: list[int]
    items: int
    due: float
    created: float
    repeatable: bool
    holder: str = ''
    holders: int = 0
    started: dict[str, int] = {}
    done: dict[str, list[Any]] = {}
    marks: dict[str, int] = {}
    write_id: str = ''

    @property
    def name(self) -> str:
        """Return the span's name, which is unique across all jobs."""
        return f'{self.job}/{self.number:05}'

    @property
    def chunks(self) -> int:
        """Return the number of chunks."""
        return len(self.offsets) - 1

    def results(self) -> list[ChunkResult]:
        """Return the committed results in the order of the chunks."""
        return [
            ChunkResult(*self.done[key]) for key in sorted(self.done, key=int)
        ]

    def pending(self) -> list[int]:
        """Return the numbers of the chunks without a result."""
        return [
            number
            for number in range(self.chunks)
            if str(number) not in self.done
        ]

    def start_chunks(self, chunks: Iterable[int]) -> 'Span':
        """Return the span with one more start of each of ``chunks``."""
        counts = {
            str(chunk): self.started.get(str(chunk), 0) + 1 for chunk in chunks
        }
        return self._replace(started={**self.started, **counts})

    def forget_unfinished_starts(self) -> 'Span':
        """Return the span with one start less of each unfinished chunk."""
        started = {
            chunk: count if chunk in self.done else count - 1
            for chunk, count in self.started.items()
        }
        return self._replace(started=started)


def shard_of(job: str, number: int, shards: int) -> int:
    """Return the shard (from 0) that contains a span's row while open."""
    return hash64(f'{job}/{number}') % shards


def shard_prefix(shard: int) -> str:
    """Return the key prefix of the rows in a shard."""
    return f'{SPANS}{shard:03}/'


def span_key(job: str, number: int, shards: int) -> str:
    """Return the table key of an open span's row."""
    shard = shard_of(job, number, shards)
    return f'{shard_prefix(shard)}{job}/{number:05}'


def done_key(job: str, number: int) -> str:
    """Return the table key of a closed span's row."""
    return f'{DONE}{job}/{number:05}'


def parse_span(row: Row) -> Span:
    """Return the span in ``row``; raise UnreadableField."""
    fields = Fields(row.value)
    return Span(
        job=fields.text('job'),
        team=fields.text('team'),
        number=fields.integer('number'),
        service=fields.text('service'),
        url=fields.text('url'),
        segment=fields.text('segment'),
        offsets=fields.counts_list('offsets'),
        items=fields.integer('items'),
        due=fields.number('due'),
        created=fields.number('created'),
        repeatable=fields.flag('repeatable'),
        holder=fields.text('holder', ''),
        holders=fields.integer('holders', 0),
        started=fields.integers('started', {}),
        done=_done_in(fields),
        marks=fields.counts('marks', {}),
        write_id=fields.text('write_id', ''),
    )


def _done_in(span: Fields) -> dict[str, list[Any]]:
    """Return the results of a span's chunks; raise UnreadableField."""
    done = span.mapping('done', {})
    for chunk, found in done.items():
        if not chunk.isdecimal() or not _is_result(found):
            raise UnreadableField(f'the result of chunk {chunk!r} is invalid')
    return done


def _is_result(found: Any) -> bool:
    if not isinstance(found, list) or len(found) != len(ChunkResult._fields):
        return False
    name, *counts = found
    return isinstance(name, str) and all(map(is_count, counts))
