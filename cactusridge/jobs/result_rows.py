"""Stores each result in one row, or in several if its output is long."""

import itertools
from collections.abc import Iterable

from cactusridge.jobs.keys import POSITION_DIGITS, result_prefix
from cactusridge.jobs.model import ItemState, Result
from cactusridge.jobs.pieces import cut
from cactusridge.store.fields import Fields
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import Priority, Row, Table, Write
from cactusridge.store.unreadable import UnreadableField, UnreadableRecord

# Maximum number of rows that are read for one page of results.
PAGE_RESULTS = 30


def rows_of(job_id: str, position: int, result: Result) -> Iterable[Write]:
    """Yield the rows of the result at ``position``.

    All rows after the first hold only further pieces of the output.
    """
    first, *others = cut(result.output)
    key = f'{result_prefix(job_id)}{position:0{POSITION_DIGITS}}'
    yield Write(
        key,
        {'id': result.id, 'state': result.state, 'output': first},
    )
    for number, piece in enumerate(others):
        yield Write(f'{key}.{number:04}', {'more': piece})


def start_after(job_id: str, position: int) -> str:
    """Return the key after which a scan starts at ``position``.

    The key is empty for position 0.
    """
    if not position:
        return ''
    return f'{result_prefix(job_id)}{position - 1:0{POSITION_DIGITS}}~'


def without_last(rows: list[Row]) -> list[Row]:
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
            start_after(job_id, after),
            PAGE_RESULTS,
        )
        if len(rows) == PAGE_RESULTS:
            rows = without_last(rows)
        return self.read(rows, after)

    def read(self, rows: Iterable[Row], first: int) -> list[Result]:
        """Return the results in sorted rows, from position ``first`` on.

        The list ends before the first result that is missing or
        unreadable. Raises UnreadableRecord if that is the result at
        position ``first``.
        """
        found: list[Result] = []
        ours = filter(self._is_ours, rows)
        for place, group in itertools.groupby(ours, _position):
            wanted = f'{first + len(found):0{POSITION_DIGITS}}'
            try:
                found.append(self._result(list(group), place, wanted))
            except UnreadableRecord:
                if not found:
                    raise
                break
        return found

    def _is_ours(self, row: Row) -> bool:
        """Return whether a row's key is that of a result; log it if not."""
        position = _position(row)
        ours = position.isdecimal() and len(position) == POSITION_DIGITS
        if not ours:
            self._reader.report(row, 'the key is not that of a result row')
        return ours

    def _result(self, rows: list[Row], place: str, wanted: str) -> Result:
        """Assemble the result in ``rows``; raise UnreadableRecord.

        ``place`` is the position in the keys and ``wanted`` the position
        that has to come next.
        """
        if place != wanted:
            self._reader.refuse(
                rows[0], f'the result {wanted} before it is missing'
            )
        result = self._reader.read(rows[0], _first)
        others = [self._reader.read(row, _more) for row in rows[1:]]
        if result is None or None in others:
            self._reader.refuse(rows[0], 'a row of the result was removed')
        numbers = [row.key.rpartition('.')[-1] for row in rows[1:]]
        if numbers != [f'{number:04}' for number in range(len(others))]:
            self._reader.refuse(
                rows[0], f'the further rows of the result are {numbers}'
            )
        output = ''.join((result.output, *others))
        return result._replace(output=output)


def _position(row: Row) -> str:
    """Return the position in the key of a result's row, unchecked."""
    return row.key.split('.', 2)[1]


def _first(row: Row) -> Result:
    if row.key.count('.') != 1:
        raise UnreadableField('the first row of the result is missing')
    fields = Fields(row.value)
    return Result(
        fields.text('id'),
        fields.word('state', ItemState),
        fields.text('output'),
    )


def _more(row: Row) -> str:
    return Fields(row.value).text('more')
