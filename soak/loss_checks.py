"""Checks that planned work and silent replicas cost no answer.

A call is lost if its connection ends without a complete answer, once it has
been passed on to a replica or later than LOSS_SLACK_S after it was sent.
"""

from soak.planned_work import GRACE_S, STOP, PlannedWork
from soak.record import Call, CallEnd, Record, RunEnd, RunStart

# Seconds after the last byte of a request within which the connection may
# end without a response, if no replica has received the request. Callers
# measure this time, and 0.3 s of it is the delay of their own event loop that
# is not recorded as a stall.
LOSS_SLACK_S = 0.2 + 0.3
# Seconds without an unplanned fault before a call that ends at any other time
# than beside planned work. Beside planned work, the time to reconnect that
# belongs to every recorded fault is enough.
QUIET_S = 3
DEADLINE_S = 5
# A stop may end a request on which a replica still works in the last sixth of
# the grace, if it was sent no later than this many seconds after the signal.
LAST_SIXTH_S = GRACE_S * 5 / 6
SENT_EARLY_S = 3
# Answers of which neither promises that the request has not run.
OWN_FAILURES = frozenset((502, 504))


def check_losses(record: Record, runs: dict[str, list[RunStart]]) -> None:
    """Check every call that ended without an answer or with a failure."""
    for call in record.calls:
        ran = runs.get(call.id, [])
        if call.status in OWN_FAILURES and call.end == CallEnd.whole:
            _check_failure(record, call)
        elif call.end in {CallEnd.cut, CallEnd.closed, CallEnd.silent}:
            _check_loss(record, call, ran)


def _check_loss(record: Record, call: Call, ran: list[RunStart]) -> None:
    works = _works_around(record, call)
    lost = ran or _took_s(call) > LOSS_SLACK_S
    if not lost or _is_disturbed(record, call, works):
        return
    # A call that gets no answer at all is owed one by its time-out.
    is_owed = call.end == CallEnd.silent or not _is_excused(
        record, call, ran, works
    )
    if is_owed:
        record.add_violation(
            'planned work cuts nothing', _evidence(record, call, works)
        )


def _check_failure(record: Record, call: Call) -> None:
    """Check an answer of an entry itself, which bears no signature."""
    works = _works_around(record, call)
    signed = 'X-Response-Signature' in call.headers
    if signed or _is_out_of_time(record, call):
        return
    if not _is_disturbed(record, call, works):
        record.add_violation(
            'silence is no failure', _evidence(record, call, works)
        )


def _is_excused(
    record: Record,
    call: Call,
    ran: list[RunStart],
    works: list[PlannedWork],
) -> bool:
    """Return whether an end without a complete answer is permitted.

    It is at the deadline or time-out, if the last replica broke off, or if
    that replica used up the grace of a stop.
    """
    if _is_out_of_time(record, call) or not ran:
        return _is_out_of_time(record, call)
    unended = RunEnd(call.ended_at, broken_off=False)
    end = record.run_ends.get((call.id, ran[-1].life), unended)
    return end.broken_off or any(
        work.what == STOP
        and call.sent_at <= work.at + SENT_EARLY_S
        and min(end.at, call.ended_at) >= work.at + LAST_SIXTH_S
        for work in works
    )


def _is_out_of_time(record: Record, call: Call) -> bool:
    """Return whether the deadline or the time-out of the route was reached."""
    timeout_s = record.planned_works.timeout_s(call.sent_at, call.ended_at)
    return _took_s(call) >= min(DEADLINE_S, timeout_s)


def _works_around(record: Record, call: Call) -> list[PlannedWork]:
    return record.planned_works.around(call.entry, call.sent_at, call.ended_at)


def _is_disturbed(record: Record, call: Call, works: list[PlannedWork]) -> bool:
    since = call.sent_at if works else call.sent_at - QUIET_S
    return not record.is_undisturbed(since, call.ended_at, planned_too=False)


def _evidence(record: Record, call: Call, works: list[PlannedWork]) -> str:
    beside = [
        f'{work.what} {call.ended_at - work.at:.2f} s before its end'
        for work in works
    ]
    silent = [
        each.replica
        for each in record.silences
        if each.since <= call.ended_at and each.until >= call.sent_at
    ]
    return (
        f'{call.id} {call.end} {call.status} after {_took_s(call):.2f} s at '
        f'{call.entry}, sent at {call.sent_at:.3f}, {call.body[-80:]!r}; '
        f'beside {beside}; silent {silent}'
    )


def _took_s(call: Call) -> float:
    return call.ended_at - call.sent_at
