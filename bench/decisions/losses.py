"""Splits the worth that a day lost by reason.

The reasons are a closed list, and their losses add up to the whole loss. The
split of late requests is an estimate from the fleet's own logs: late online
requests are classified by how they were placed, and late batch items by the
time at which their results were listed.
"""

import enum
from collections import Counter
from collections.abc import Iterable

from bench.decisions.day import Day, KindOutcome, Line

# Seconds after the acceptance of its job up to which a result is on time.
RESULT_DUE_S = 18.0
# Seconds to the first byte above which a response is late, for every kind of
# request on the sheets. The limit leaves time for the network to the caller.
ON_TIME_S = 0.29


class Reason(enum.Enum):
    """The reason for which worth was lost."""

    cut = 'the entry or replica was lost under it'
    no_connection = 'no entry could be reached'
    refused = 'refused at the last try'
    failed = 'failed at a replica'
    queued = 'late: waited in a replica’s queue'
    repeated = 'late: sent to a second replica'
    slow = 'late: slow at a replica without a queue'
    late_first_try = 'late: no entry at first, or refused at first'
    taken_late = 'batch late: its job was taken late'
    done_late = 'batch late: its result came late'
    prices = 'prices'
    sizes = 'unexplained: sizes, half credits'


# The reason for each end of a last try, by its name in the report.
LAST_TRIES = {
    'deadline': Reason.cut,
    'cut in the answer': Reason.cut,
    'cut, no answer': Reason.cut,
    'no connection': Reason.no_connection,
    '429': Reason.refused,
    '503': Reason.refused,
}


def losses(day: Day, log: list[Line], slots: int) -> dict[Reason, float]:
    """Return the share of the worth owed that was lost for each reason.

    ``slots`` is the number of requests that a replica runs concurrently.
    """
    late = {
        True: _with_unseen(
            _batch_late(log),
            _late(day, batch=True),
            Reason.taken_late,
        ),
        False: _with_unseen(
            _online_late(log, slots),
            _late(day, batch=False),
            Reason.late_first_try,
        ),
    }
    found: Counter[Reason] = Counter()
    for outcome in day.outcomes:
        found.update(_kind_losses(outcome, day, late[outcome.kind.batch]))
    owed = sum(each.owed * each.kind.worth for each in day.outcomes)
    shares = {reason: lost / owed for reason, lost in found.items()}
    return {**shares, Reason.prices: sum(day.prices.values())}


def _kind_losses(
    outcome: KindOutcome,
    day: Day,
    late: Counter[Reason],
) -> dict[Reason, float]:
    """Return the worth lost on a kind of request, by reason."""
    kind = outcome.kind
    found: Counter[Reason] = Counter()
    unserved = outcome.refused + outcome.failed
    found.update(_split(unserved * kind.worth, _last_tries(day)))
    lost_by_late = outcome.late * (kind.worth - kind.late_worth)
    found.update(_split(lost_by_late, late))
    whole = outcome.owed * kind.worth * (1 - outcome.earned)
    found[Reason.sizes] += whole - sum(found.values())
    return dict(found)


def _split(lost: float, counts: Counter[Reason]) -> dict[Reason, float]:
    """Split a loss by counts; without any count it is unexplained."""
    total = sum(counts.values())
    if not total:
        return {Reason.sizes: lost}
    return {reason: lost * count / total for reason, count in counts.items()}


def _last_tries(day: Day) -> Counter[Reason]:
    counts: Counter[Reason] = Counter()
    for name, count in day.unserved.items():
        counts[LAST_TRIES.get(name, Reason.failed)] += count
    return counts


def _late(day: Day, batch: bool) -> int:
    """Return the number of requests that the report counts as late."""
    return sum(
        outcome.late for outcome in day.outcomes if outcome.kind.batch == batch
    )


def _with_unseen(
    seen: Counter[Reason],
    total: int,
    default: Reason,
) -> Counter[Reason]:
    """Add the late requests that the log does not show as late."""
    return seen + Counter({default: total - sum(seen.values())})


def _online_late(log: list[Line], slots: int) -> Counter[Reason]:
    """Count late responses in the log, by reason."""
    placed: dict[str, list[Line]] = {}
    for line in _events_named(log, 'request_placed'):
        placed.setdefault(line.fields['request'], []).append(line)
    return Counter(
        _late_reason(placed.get(line.fields['request'], []), slots)
        for line in _events_named(log, 'request_answered')
        if line.fields['first_byte_s'] > ON_TIME_S
    )


def _late_reason(tries: list[Line], slots: int) -> Reason:
    if len(tries) > 1:
        return Reason.repeated
    queued = any(line.fields['online'] > slots for line in tries)
    return Reason.queued if queued else Reason.slow


def _batch_late(log: list[Line]) -> Counter[Reason]:
    """Count items whose results were late after their job was accepted."""
    taken = {
        line.fields['job']: line.at_s
        for line in _events_named(log, 'job_accepted')
    }
    late = (
        len(line.fields['items'])
        for line in _events_named(log, 'results_listed')
        if line.at_s - taken.get(line.fields['job'], line.at_s) > RESULT_DUE_S
    )
    return Counter({Reason.done_late: sum(late)})


def _events_named(log: Iterable[Line], event: str) -> Iterable[Line]:
    return (line for line in log if line.event == event)
