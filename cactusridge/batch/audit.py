"""Reads what is stored of a closed span: each item has one result."""

from collections import Counter

import orjson

from cactusridge.batch.span import Span
from cactusridge.platform.object_store import ObjectStore
from cactusridge.platform.table import Priority
from cactusridge.slo.window import Quantity


def audit_span(objects: ObjectStore, span: Span) -> Quantity:
    """Return how many items of ``span`` have one result, and have not.

    Compares the ids in the input with those in the outputs that the
    span's row points at, as a reader of the results finds them. An
    item missing, doubled or foreign is bad. Raises StoreUnavailable.
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
        raw = objects.get(result.name, priority=Priority.report)
        found.update(_ids(raw))
    bad = sum(
        found[custom_id] != wanted[custom_id]
        for custom_id in wanted.keys() | found.keys()
    )
    return Quantity(len(wanted) - min(bad, len(wanted)), bad)


def _ids(raw: bytes) -> Counter[str]:
    return Counter(orjson.loads(line)['custom_id'] for line in raw.splitlines())
