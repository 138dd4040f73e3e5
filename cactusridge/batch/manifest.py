"""What an uploaded file consists of."""

from typing import Any, NamedTuple

from cactusridge.store.fields import Fields


class Segment(NamedTuple):
    """An object with the input of one span.

    ``offsets`` are the bytes at which its chunks begin, and its size.
    """

    name: str
    items: int
    offsets: tuple[int, ...]


class Manifest(NamedTuple):
    """A batch input file: its segments, model and endpoint."""

    id: str
    team: str
    filename: str
    bytes: int
    created: int
    model: str
    url: str
    items: int
    chunk_items: int
    segments: tuple[Segment, ...]

    def row(self) -> dict[str, Any]:
        """Return the table's row; segments are kept in an object."""
        fields = self._asdict()
        fields.pop('segments')
        return fields

    def encoded(self) -> dict[str, Any]:
        """Return the whole manifest as JSON."""
        segments = [segment._asdict() for segment in self.segments]
        return {**self._asdict(), 'segments': segments}


def decode(raw: Any) -> Manifest:
    """Return the manifest that was encoded; raise UnreadableField."""
    fields = Fields(raw)
    texts = {
        name: fields.text(name)
        for name in ('id', 'team', 'filename', 'model', 'url')
    }
    wholes = {
        name: fields.whole(name)
        for name in ('bytes', 'created', 'items', 'chunk_items')
    }
    segments = tuple(map(_segment, fields.listed('segments')))
    return Manifest(**texts, **wholes, segments=segments)


def _segment(raw: Any) -> Segment:
    fields = Fields(raw)
    return Segment(
        fields.text('name'),
        fields.whole('items'),
        tuple(fields.wholes('offsets')),
    )
