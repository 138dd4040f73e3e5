"""Manifest of an uploaded batch input file."""

from typing import Any, NamedTuple

from cactusridge.store.fields import Fields


class Segment(NamedTuple):
    """An object that contains the input of one span.

    ``offsets`` are the byte offsets at which its chunks begin, followed by
    its size in bytes.
    """

    name: str
    items: int
    offsets: tuple[int, ...]


class Manifest(NamedTuple):
    """A batch input file: its metadata, model, endpoint and segments.

    ``bytes`` is its size, ``created`` its upload time in Unix seconds.
    """

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
        """Return the value of the file's row, which leaves out segments."""
        fields = self._asdict()
        fields.pop('segments')
        return fields

    def encoded(self) -> dict[str, Any]:
        """Return the whole manifest as a JSON object, for storage."""
        segments = [segment._asdict() for segment in self.segments]
        return {**self._asdict(), 'segments': segments}


def decode(raw: Any) -> Manifest:
    """Return the manifest in a JSON object; raise UnreadableField."""
    fields = Fields(raw)
    texts = {
        name: fields.text(name)
        for name in ('id', 'team', 'filename', 'model', 'url')
    }
    wholes = {
        name: fields.integer(name)
        for name in ('bytes', 'created', 'items', 'chunk_items')
    }
    segments = tuple(map(_segment, fields.items_of('segments')))
    return Manifest(**texts, **wholes, segments=segments)


def _segment(raw: Any) -> Segment:
    fields = Fields(raw)
    return Segment(
        fields.text('name'),
        fields.integer('items'),
        tuple(fields.counts_list('offsets')),
    )
