"""Reads what is stored of a closed span: each item has one result."""

from collections import Counter

import orjson

from cactusridge.batch.span import Span
from cactusridge.errors import NotFound
from cactusridge.slo.window import Quantity
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.table import Priority


def audit_span(objects: ObjectStore, span: Span) -> Quantity:
    """Return how many items of ``span`` have one result, and have not.

    Compares the ids in the input with those in the outputs that the
    span's row points at, as a reader of the results finds them. An
    item missing, doubled or foreign is bad, and so is one whose result
    is gone or cannot be read. Raises StoreUnavailable.
    """
    wanted = _ids(
        objects.get(
            span.segment,
            span.offsets[0],
            span.offsets[-1],
            Priority.report,
        ),
    )
    found = Counter[str]()
    for result in span.results():
        found.update(_ids(_stored(objects, result.name)))
    bad = sum(
        found[custom_id] != wanted[custom_id]
        for custom_id in wanted.keys() | found.keys()
    )
    return Quantity(len(wanted) - min(bad, len(wanted)), bad)


def _stored(objects: ObjectStore, name: str) -> bytes:
    """Return a result object; one that is gone holds no results."""
    try:
        return objects.get(name, priority=Priority.report)
    except NotFound:
        return b''


def _ids(raw: bytes) -> Counter[str]:
    return Counter(map(_id_in, raw.splitlines()))


def _id_in(line: bytes) -> str:
    """Return the id in a line, or the line itself if it has none."""
    try:
        return str(orjson.loads(line)['custom_id'])
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return line.decode(errors='replace')
