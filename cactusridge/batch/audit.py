"""Audit of closed spans: checks that each item has exactly one result."""

from collections import Counter

import orjson

from cactusridge.batch.span import Span
from cactusridge.errors import NotFound
from cactusridge.slo.window import GoodBadCounts
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.table import Priority


def audit_span(objects: ObjectStore, span: Span) -> GoodBadCounts:
    """Return how many items of ``span`` have exactly one result.

    Compares the custom ids in the input with those in the output objects
    that the span's row points to, which are the ones that readers of the
    results get. Items without a result, with several results or with a
    result that the input does not contain are bad; a result object that is
    missing or unreadable counts as no result. Raises StoreUnavailable.
    """
    input_ids = _count_ids(
        objects.get(
            span.segment,
            span.offsets[0],
            span.offsets[-1],
            Priority.report,
        ),
    )
    output_ids = Counter[str]()
    for result in span.results():
        output_ids.update(_count_ids(_stored(objects, result.name)))
    bad = sum(
        output_ids[custom_id] != input_ids[custom_id]
        for custom_id in input_ids.keys() | output_ids.keys()
    )
    return GoodBadCounts(len(input_ids) - min(bad, len(input_ids)), bad)


def _stored(objects: ObjectStore, name: str) -> bytes:
    """Return the bytes of a result object, empty if it does not exist."""
    try:
        return objects.get(name, priority=Priority.report)
    except NotFound:
        return b''


def _count_ids(raw: bytes) -> Counter[str]:
    return Counter(map(_id_in, raw.splitlines()))


def _id_in(line: bytes) -> str:
    """Return the custom id in a line, or the line itself if it has none."""
    try:
        return str(orjson.loads(line)['custom_id'])
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return line.decode(errors='replace')
