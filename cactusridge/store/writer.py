"""Conditional writes whose answer may be lost."""

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
    """Insert rows that are conditional on absence; return their version.

    The same transaction is sent again after a lost answer: the first to
    take effect makes the condition fail for the other, so it cannot
    take effect twice. ABSENT: the rows were there; the caller reads them
    to see whose they are. StoreUnavailable: nothing was written.
    OutcomeUnknown: it could not be found out.
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
        'the store did not say whether it was accepted; send it again'
        ' with the same key, it will not be run twice',
        retry_after_s=pause_s,
    )


def _raise_unless(sent: bool, exc: StoreUnavailable) -> None:
    """Pass the outage on only if nothing was sent before it."""
    if not sent:
        raise exc
