"""Stores each result in one row, or in several if its output is long."""

import itertools
from collections.abc import Iterable

from cactusridge.jobs.keys import POSITION_DIGITS, result_prefix
from cactusridge.jobs.model import ItemState, Result
from cactusridge.jobs.row_text import split_text
from cactusridge.store.fields import Fields
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import Priority, Row, Table, Write
from cactusridge.store.unreadable import UnreadableField, UnreadableRecord

# Maximum number of rows that are read for one page of results.
PAGE_RESULTS = 30


def result_writes(
    job_id: str, position: int, result: Result
) -> Iterable[Write]:
    """Yield the rows of the result at ``position``.

    All rows after the first hold only further pieces of the output.
    """
    first, *others = split_text(result.output)
    key = f'{result_prefix(job_id)}{position:0{POSITION_DIGITS}}'
    yield Write(
        key,
        {'id': result.id, 'state': result.state, 'output': first},
    )
    for number, piece in enumerate(others):
        yield Write(f'{key}.{number:04}', {'more': piece})


def scan_start(job_id: str, position: int) -> str:
    """Return the key after which a scan starts at ``position``.

    The key is empty for position 0.
    """
    if not position:
        return ''
    return f'{result_prefix(job_id)}{position - 1:0{POSITION_DIGITS}}~'


def drop_last_result(rows: list[Row]) -> list[Row]:
    """Drop the rows of the last result, which may be incomplete.

    If all rows belong to one result, return all of them.
    """
    last = _position(rows[-1])
    kept = [row for row in rows if _position(row) != last]
    return kept or rows


class ResultReader:
    """Assembles results from their rows.

    The position of a result never changes, so a reader must not skip an
    unreadable result and return a later one in its position.
    """

    def __init__(self, table: Table, reader: RowReader) -> None:
        """Read the rows of ``table`` with ``reader``."""
        self._table = table
        self._reader = reader

    def page(self, job_id: str, after: int) -> list[Result]:
        """Return one page of results from position ``after`` on.

        Raises StoreUnavailable, and UnreadableRecord if the first result
        is unreadable.
        """
        rows = self._table.scan(
            result_prefix(job_id),
            Priority.report,
            scan_start(job_id, after),
            PAGE_RESULTS,
        )
        if len(rows) == PAGE_RESULTS:
            rows = drop_last_result(rows)
        return self.read(rows, after)

    def read(self, rows: Iterable[Row], first: int) -> list[Result]:
        """Return the results in sorted rows, from position ``first`` on.

        The list ends before the first result that is missing or
        unreadable. Raises UnreadableRecord if that is the result at
        position ``first``.
        """
        found: list[Result] = []
        result_rows = filter(self._is_result_row, rows)
        for found_position, group in itertools.groupby(result_rows, _position):
            expected_position = f'{first + len(found):0{POSITION_DIGITS}}'
            try:
                found.append(
                    self._result(list(group), found_position, expected_position)
                )
            except UnreadableRecord:
                if not found:
                    raise
                break
        return found

    def _is_result_row(self, row: Row) -> bool:
        """Return whether a row's key is that of a result; log it if not."""
        position = _position(row)
        is_result = position.isdecimal() and len(position) == POSITION_DIGITS
        if not is_result:
            self._reader.log_unreadable(
                row, 'the key is not that of a result row'
            )
        return is_result

    def _result(
        self, rows: list[Row], found_position: str, expected_position: str
    ) -> Result:
        """Assemble the result in ``rows``; raise UnreadableRecord.

        ``found_position`` is the position in the keys of the rows and
        ``expected_position`` the position that has to come next.
        """
        if found_position != expected_position:
            self._reader.raise_unreadable(
                rows[0], f'the result {expected_position} before it is missing'
            )
        result = self._reader.read(rows[0], _parse_first)
        others = [
            self._reader.read(row, _parse_continuation) for row in rows[1:]
        ]
        if result is None or None in others:
            self._reader.raise_unreadable(
                rows[0], 'a row of the result was removed'
            )
        numbers = [row.key.rpartition('.')[-1] for row in rows[1:]]
        if numbers != [f'{number:04}' for number in range(len(others))]:
            self._reader.raise_unreadable(
                rows[0], f'the further rows of the result are {numbers}'
            )
        output = ''.join((result.output, *others))
        return result._replace(output=output)


def _position(row: Row) -> str:
    """Return the position in the key of a result's row, unchecked."""
    return row.key.split('.', 2)[1]


def _parse_first(row: Row) -> Result:
    if row.key.count('.') != 1:
        raise UnreadableField('the first row of the result is missing')
    fields = Fields(row.value)
    return Result(
        fields.text('id'),
        fields.enum_value('state', ItemState),
        fields.text('output'),
    )


def _parse_continuation(row: Row) -> str:
    return Fields(row.value).text('more')
