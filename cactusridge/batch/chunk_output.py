"""Writes the output of a chunk to the object store."""

import gevent

from cactusridge.batch.item_outcome import ItemOutcome
from cactusridge.batch.span import ChunkResult, Span
from cactusridge.clock import Clock
from cactusridge.errors import StoreUnavailable
from cactusridge.identity import new_id
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.table import Priority

PAUSE_S = 0.5


def write_output(
    objects: ObjectStore,
    span: Span,
    chunk: int,
    outcomes: list[ItemOutcome],
    clock: Clock,
) -> ChunkResult:
    """Write the lines of ``outcomes`` to a new object.

    Retries every PAUSE_S seconds while the store is unavailable. The
    object's name is unique to this call, so that a second holder of the
    same chunk never overwrites an object that the span's row may already
    point to. Returns the object's name, sizes in bytes and item counts.
    """
    ok = [outcome.line for outcome in outcomes if outcome.ok]
    failed = [outcome.line for outcome in outcomes if not outcome.ok]
    body = b''.join((*ok, *failed))
    unique = new_id('o', clock)
    name = f'outputs/{span.name}/{chunk:03}-{unique}'
    while True:
        try:
            objects.put(name, body, Priority.commit)
        except StoreUnavailable:
            gevent.sleep(PAUSE_S)
            continue
        break
    return ChunkResult(name, sum(map(len, ok)), len(body), len(ok), len(failed))
