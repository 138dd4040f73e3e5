"""Results as rows: a first row for each position, more for long outputs."""

from collections.abc import Iterable
from typing import Any

from cactusridge.jobs.keys import result_prefix
from cactusridge.jobs.model import ItemState, Result
from cactusridge.jobs.pieces import cut
from cactusridge.store.table import Row, Write


def rows_of(job_id: str, position: int, result: Result) -> Iterable[Write]:
    """Yield the rows of a result; all but the first only go on its output."""
    first, *others = cut(result.output)
    key = f'{result_prefix(job_id)}{position:06}'
    yield Write(
        key,
        {'id': result.id, 'state': result.state, 'output': first},
    )
    for number, piece in enumerate(others):
        yield Write(f'{key}.{number:04}', {'more': piece})


def start_after(job_id: str, position: int) -> str:
    """Return a key after all rows of the results before ``position``."""
    if not position:
        return ''
    return f'{result_prefix(job_id)}{position - 1:06}~'


def without_last(rows: list[Row]) -> list[Row]:
    """Drop the last result, whose rows may not all be on the page."""
    firsts = [
        number for number, row in enumerate(rows) if 'id' in (row.value or {})
    ]
    return rows[: firsts[-1]] if len(firsts) > 1 else rows


def results_in(rows: Iterable[Row]) -> Iterable[Result]:
    """Yield the results in rows that are sorted by key."""
    found: list[dict[str, Any]] = []
    for row in rows:
        raw = row.value or {}
        if 'id' in raw:
            found.append({**raw})
        elif found:
            found[-1]['output'] += raw.get('more', '')
    for fields in found:
        yield Result(fields['id'], ItemState(fields['state']), fields['output'])
