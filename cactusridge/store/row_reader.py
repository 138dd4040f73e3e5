"""Parses rows into typed values; an invalid row does not affect others."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, NoReturn, TypeVar

from cactusridge.store.row_reports import RowReports
from cactusridge.store.table import Row
from cactusridge.store.unreadable import UnreadableField, UnreadableRecord

ParsedT = TypeVar('ParsedT')


class RowReader:
    """Parses rows with functions that raise UnreadableField.

    Each version of a row that cannot be parsed is logged once.
    """

    def __init__(self) -> None:
        """Start with no logged rows."""
        self._reports = RowReports()

    def read(
        self,
        row: Row,
        parse: Callable[[Row], ParsedT],
    ) -> ParsedT | None:
        """Return the parsed row, or None if the row is absent.

        Raises UnreadableRecord if the row cannot be parsed.
        """
        if row.unreadable:
            self.raise_unreadable(row, 'its value is not a JSON object')
        if row.value is None:
            return None
        try:
            return parse(row)
        except UnreadableField as exc:
            self.raise_unreadable(row, str(exc))

    def exists(self, row: Row) -> bool:
        """Return whether a row exists; raise UnreadableRecord."""
        return self.read(row, _value) is not None

    def readable(
        self,
        rows: Iterable[Row],
        parse: Callable[[Row], ParsedT],
    ) -> Iterator[ParsedT]:
        """Yield the parsed rows; skip absent and unreadable ones.

        This is only for rows whose loss breaks no guarantee of the system.
        """
        for row in rows:
            try:
                found = self.read(row, parse)
            except UnreadableRecord:
                continue
            if found is not None:
                yield found

    def log_unreadable(self, row: Row, error: str) -> None:
        """Log that a row cannot be parsed."""
        self._reports.report_once(row.key, row.version, error)

    def raise_unreadable(self, row: Row, error: str) -> NoReturn:
        """Log that a row cannot be parsed and raise UnreadableRecord."""
        self.log_unreadable(row, error)
        raise UnreadableRecord(f'{row.key} cannot be read: {error}')


def _value(row: Row) -> dict[str, Any] | None:
    return row.value
