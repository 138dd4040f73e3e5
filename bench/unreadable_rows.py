"""Time and memory of reading rows when some of them are unreadable.

``python -m bench.unreadable_rows`` prints the median time over REPEATS reads of
ROWS rows, in which every UNREADABLE_EVERY-th value is not base64, and the peak
of memory that Python allocates during one read, without the responses.
"""

import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError

from cactusridge import wire
from cactusridge.platform import row_codec
from cactusridge.platform.rows import PlatformRows
from cactusridge.store.link import PlatformAnswer
from cactusridge.store.table import PAGE, Row
from tests.scripted_link import ScriptedLink, packed, page, rows_over

ROWS = 12_000
UNREADABLE_EVERY = 100
REPEATS = 9
US_PER_S = 1_000_000
MS_PER_S = 1_000
MIB = 1 << 20
HEAD = {
    'host': 'api.example',
    'path': '/lots/',
    'items': 40,
    'created_ms': 123_456_789,
    'holder': 'entry-1',
    'life': 'a' * 16,
    'state': 'open',
    'catalog_version': 7,
}


class StrictEntry(BaseModel):
    """A row as a strict pydantic model, to compare with hand-written checks."""

    model_config = ConfigDict(strict=True)

    table: str
    part: str = ''
    key: str
    ver: int = 0
    value: str | None = None
    deleted: bool | None = None


def by_model(raw: Any) -> Row:
    """Return a row that is validated by the model."""
    try:
        entry = StrictEntry.model_validate(raw)
    except ValidationError:
        return row_codec.parse_row(raw)
    key = f'{entry.table}/{entry.part}/{entry.key}'
    held = row_codec.unpack(entry.value)
    return Row(key, held, entry.ver, unreadable=held is None)


def entries() -> list[dict[str, Any]]:
    """Return the rows of a table as the store returns them."""
    return [
        {
            'table': 'jobs',
            'part': 's1',
            'key': f'{number:016x}',
            'value': packed(HEAD) if number % UNREADABLE_EVERY else '***',
            'ver': number + 1,
        }
        for number in range(ROWS)
    ]


def median_s(action: Callable[[], object]) -> float:
    """Return the median time of an action, in seconds."""
    times = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        action()
        times.append(time.perf_counter() - began)
    return statistics.median(times)


def paged_rows(listed: list[dict[str, Any]]) -> PlatformRows:
    """Return a row reader whose link returns the rows in pages."""
    link = ScriptedLink()
    for start in range(0, ROWS, PAGE):
        more = start + PAGE < ROWS
        message = page(listed[start : start + PAGE], more=more)
        link.answers.append(PlatformAnswer(200, wire.encode(message)))
    return rows_over(link)


def peak_mib(rows: PlatformRows) -> float:
    """Return the peak of allocated memory during one read, in MiB."""
    tracemalloc.start()
    rows.snapshot(['jobs/s1/'])
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak / MIB


def print_line(line: str) -> None:
    """Print a line."""
    sys.stdout.write(f'{line}\n')


def main() -> None:
    """Measure and print the figures."""
    listed = entries()
    for name, read in (('hand', row_codec.parse_row), ('model', by_model)):
        row_us = median_s(lambda: list(map(read, listed))) / ROWS * US_PER_S
        print_line(f'{name}: {row_us:.2f} us a row')
    pages = [paged_rows(listed) for _ in range(REPEATS)]
    whole_ms = median_s(lambda: pages.pop().snapshot(['jobs/s1/'])) * MS_PER_S
    print_line(f'{ROWS} rows read whole: {whole_ms:.0f} ms')
    print_line(f'peak: {peak_mib(paged_rows(listed)):.1f} MiB')


if __name__ == '__main__':
    main()
