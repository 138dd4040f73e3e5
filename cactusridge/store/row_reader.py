"""Makes typed values of rows; one that cannot be read costs itself alone."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, NoReturn, TypeVar

from cactusridge.store.row_reports import RowReports
from cactusridge.store.table import Row
from cactusridge.store.unreadable import UnreadableField, UnreadableRecord

ParsedT = TypeVar('ParsedT')


class RowReader:
    """Reads rows with a parser that raises UnreadableField.

    Each row that cannot be read is logged, once a version.
    """

    def __init__(self) -> None:
        """Start without anything logged."""
        self._reports = RowReports()

    def read(
        self,
        row: Row,
        parse: Callable[[Row], ParsedT],
    ) -> ParsedT | None:
        """Return the row's content, None only if the row is absent.

        Raises UnreadableRecord.
        """
        if row.unreadable:
            self.refuse(row, 'its bytes are no JSON object')
        if row.value is None:
            return None
        try:
            return parse(row)
        except UnreadableField as exc:
            self.refuse(row, str(exc))

    def there(self, row: Row) -> bool:
        """Tell whether a row is there; raise UnreadableRecord."""
        return self.read(row, _value) is not None

    def readable(
        self,
        rows: Iterable[Row],
        parse: Callable[[Row], ParsedT],
    ) -> Iterator[ParsedT]:
        """Yield the contents of the rows that are there and readable.

        For rows on which no promise rests: the others are left out.
        """
        for row in rows:
            try:
                found = self.read(row, parse)
            except UnreadableRecord:
                continue
            if found is not None:
                yield found

    def report(self, row: Row, error: str) -> None:
        """Log a row that is left out."""
        self._reports.report_once(row.key, row.version, error)

    def refuse(self, row: Row, error: str) -> NoReturn:
        """Log a row and raise UnreadableRecord."""
        self.report(row, error)
        raise UnreadableRecord(f'{row.key} cannot be read: {error}')


def _value(row: Row) -> dict[str, Any] | None:
    return row.value
