"""Retries conditional writes whose replies may be lost."""

from collections.abc import Sequence

import gevent

from cactusridge.errors import OutcomeUnknown, StoreUnavailable
from cactusridge.store.table import (
    ABSENT,
    Condition,
    ConditionFailed,
    Priority,
    Table,
    Write,
    WriteUnknown,
)

TRIES = 6
FIRST_PAUSE_S = 0.1
GROWTH = 2


def insert_once(
    table: Table,
    conditions: Sequence[Condition],
    writes: Sequence[Write],
    priority: Priority = Priority.acceptance,
) -> int:
    """Insert rows on condition that they are absent; return their version.

    If a reply is lost, the same transaction is sent again. It cannot take
    effect twice: once it has taken effect, its condition fails. Returns
    ABSENT if the rows exist already; the caller then reads them to find out
    whether it wrote them. Raises StoreUnavailable if nothing was written,
    OutcomeUnknown if the outcome could not be determined.
    """
    pause_s = FIRST_PAUSE_S
    sent = False
    for _ in range(TRIES):
        try:
            return table.transact(conditions, writes, priority)
        except ConditionFailed:
            return ABSENT
        except WriteUnknown:
            sent = True
        except StoreUnavailable as exc:
            _raise_unless(sent, exc)
        gevent.sleep(pause_s)
        pause_s *= GROWTH
    raise OutcomeUnknown(
        'the store did not confirm the request; send it again with the'
        ' same key, and it will not be run twice',
        retry_after_s=pause_s,
    )


def _raise_unless(sent: bool, exc: StoreUnavailable) -> None:
    """Raise ``exc`` unless an earlier attempt may have taken effect."""
    if not sent:
        raise exc
