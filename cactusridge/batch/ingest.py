"""Reads a batch input file line by line and splits it into segments."""

import hashlib
from collections.abc import Iterable, Iterator

from cactusridge.batch.lines import BadLine, Item, parse_line
from cactusridge.batch.manifest import Segment
from cactusridge.clock import Clock
from cactusridge.errors import TooLarge
from cactusridge.hashing import hash64
from cactusridge.identity import new_id
from cactusridge.startup.models import BatchSettings
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.table import Priority

NEWLINE = b'\n'
MAX_LINE_BYTES = 4 * 1024 * 1024


class TooManyItems(TooLarge):
    """The file contains more items than a job may have."""

    code = 'too_many_items'


class Ingest:
    """One upload; keeps at most one segment in memory.

    ``items`` is the number of items read, ``size`` the number of bytes and
    ``first`` the first item, whose model and url all others must share.
    """

    def __init__(
        self,
        cfg: BatchSettings,
        objects: ObjectStore,
        clock: Clock,
    ) -> None:
        """Write segments to ``objects`` under a name unique to this upload."""
        self._cfg = cfg
        self._objects = objects
        self._upload = new_id('u', clock)
        self._digest = hashlib.sha256()
        self._custom_ids: set[int] = set()
        self._lines: list[bytes] = []
        self._number = 0
        self.items = 0
        self.size = 0
        self.first: Item | None = None
        self.segments: list[Segment] = []

    def take(self, blocks: Iterable[bytes]) -> None:
        """Read the whole file and store its segments.

        Raises BadLine, TooLarge, TooManyItems or StoreUnavailable.
        """
        for line in self._split_lines(blocks):
            self._number += 1
            if line.strip():
                self._add(line)
        if self._lines:
            self._store_segment()
        if self.first is None:
            raise BadLine('the file contains no items', param='file')

    def digest(self) -> str:
        """Return the SHA-256 digest of all bytes read, in hex."""
        return self._digest.hexdigest()

    def _split_lines(self, blocks: Iterable[bytes]) -> Iterator[bytes]:
        rest = b''
        for block in blocks:
            self._count(block)
            *lines, rest = (rest + block).split(NEWLINE)
            yield from lines
            if len(rest) > MAX_LINE_BYTES:
                raise BadLine(
                    f'line {self._number + 1}: longer than'
                    f' {MAX_LINE_BYTES} bytes',
                )
        if rest:
            yield rest

    def _count(self, block: bytes) -> None:
        self._digest.update(block)
        self.size += len(block)
        if self.size > self._cfg.max_file_bytes:
            raise TooLarge(
                f'the file exceeds {self._cfg.max_file_bytes} bytes',
            )

    def _add(self, line: bytes) -> None:
        item = parse_line(line, self._number)
        self._check_same_target(item)
        self._check_unique(item)
        self.items += 1
        if self.items > self._cfg.max_items:
            raise TooManyItems(
                f'line {self._number}: the file contains more than'
                f' {self._cfg.max_items} items',
            )
        self._lines.append(line.strip() + NEWLINE)
        if len(self._lines) == self._cfg.chunk_items * self._cfg.span_chunks:
            self._store_segment()

    def _check_same_target(self, item: Item) -> None:
        if self.first is None:
            self.first = item
        if item.model != self.first.model:
            raise BadLine(
                f'line {self._number}, body.model: all items of a file must'
                ' have the same model',
            )
        if item.url != self.first.url:
            raise BadLine(
                f'line {self._number}, url: all items of a file must have'
                ' the same url',
            )

    def _check_unique(self, item: Item) -> None:
        key = hash64(item.custom_id)
        if key in self._custom_ids:
            raise BadLine(
                f'line {self._number}, custom_id: {item.custom_id!r} is'
                ' already used on an earlier line',
            )
        self._custom_ids.add(key)

    def _store_segment(self) -> None:
        offsets = [0]
        for start in range(0, len(self._lines), self._cfg.chunk_items):
            chunk = self._lines[start : start + self._cfg.chunk_items]
            offsets.append(offsets[-1] + sum(map(len, chunk)))
        name = f'inputs/{self._upload}/{len(self.segments):05}'
        body = b''.join(self._lines)
        self._objects.put(name, body, Priority.acceptance)
        segment = Segment(name, len(self._lines), tuple(offsets))
        self.segments.append(segment)
        self._lines = []
