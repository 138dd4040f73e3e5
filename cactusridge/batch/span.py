"""A span: the part of a job that one lease covers."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from cactusridge.hashing import hash64
from cactusridge.store.fields import Fields, is_count
from cactusridge.store.table import Row
from cactusridge.store.unreadable import UnreadableField

SPANS = 'spans/'
DONE = 'done/'


class ChunkResult(NamedTuple):
    """Where a chunk's output lies and how its items ended.

    The first ``ok_bytes`` of the object are output lines, the rest
    error lines.
    """

    name: str
    ok_bytes: int
    size: int
    ok: int
    failed: int


class Span(NamedTuple):
    """A span's row: its work, its lease and its progress.

    ``started`` counts, by chunk, the holders that began it; ``done``
    has the results. Keys are text, since JSON has no others.
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
        """Return the span's name, unique over all jobs."""
        return f'{self.job}/{self.number:05}'

    @property
    def chunks(self) -> int:
        """Return the number of chunks."""
        return len(self.offsets) - 1

    def results(self) -> list[ChunkResult]:
        """Return the results so far, in the order of the chunks."""
        return [
            ChunkResult(*self.done[key]) for key in sorted(self.done, key=int)
        ]

    def pending(self) -> list[int]:
        """Return the chunks without a result."""
        return [
            number
            for number in range(self.chunks)
            if str(number) not in self.done
        ]

    def begin(self, chunks: Iterable[int]) -> 'Span':
        """Return the span with ``chunks`` begun once more."""
        counts = {
            str(chunk): self.started.get(str(chunk), 0) + 1 for chunk in chunks
        }
        return self._replace(started={**self.started, **counts})

    def unbegin(self) -> 'Span':
        """Return the span as if the chunks in work were not begun."""
        started = {
            chunk: count if chunk in self.done else count - 1
            for chunk, count in self.started.items()
        }
        return self._replace(started=started)


def shard_of(job: str, number: int, shards: int) -> int:
    """Return the shard of a span."""
    return hash64(f'{job}/{number}') % shards


def shard_prefix(shard: int) -> str:
    """Return the prefix below which a shard's spans are kept."""
    return f'{SPANS}{shard:03}/'


def span_key(job: str, number: int, shards: int) -> str:
    """Return the key of an open span's row."""
    shard = shard_of(job, number, shards)
    return f'{shard_prefix(shard)}{job}/{number:05}'


def done_key(job: str, number: int) -> str:
    """Return the key of a closed span's row."""
    return f'{DONE}{job}/{number:05}'


def span_of(row: Row) -> Span:
    """Return the span in ``row``; raise UnreadableField."""
    fields = Fields(row.value)
    return Span(
        job=fields.text('job'),
        team=fields.text('team'),
        number=fields.whole('number'),
        service=fields.text('service'),
        url=fields.text('url'),
        segment=fields.text('segment'),
        offsets=fields.wholes('offsets'),
        items=fields.whole('items'),
        due=fields.number('due'),
        created=fields.number('created'),
        repeatable=fields.flag('repeatable'),
        holder=fields.text('holder', ''),
        holders=fields.whole('holders', 0),
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
            raise UnreadableField(f'the result of chunk {chunk!r}')
    return done


def _is_result(found: Any) -> bool:
    if not isinstance(found, list) or len(found) != len(ChunkResult._fields):
        return False
    name, *counts = found
    return isinstance(name, str) and all(map(is_count, counts))
