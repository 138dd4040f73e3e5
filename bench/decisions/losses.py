"""Where the worth of a day was lost: each loss under one reason.

The reasons are a closed list and add up to the whole. Two are estimates
by the log and say so: late online requests are told apart by what this
fleet saw of them, late batch items by when their results were there.
"""

import enum
from collections import Counter
from collections.abc import Iterable

from bench.decisions.day import Day, KindOutcome, Line

# A result is on time this many seconds after its job was taken.
RESULT_DUE_S = 18.0
# First bytes later than this are late for every kind on the sheets, less
# the way to the caller.
ON_TIME_S = 0.29


class Reason(enum.Enum):
    """Why worth was lost."""

    cut = 'the entry or replica was lost under it'
    nobody = 'no entry could be reached'
    refused = 'refused at the last try'
    failed = 'failed at a replica'
    queued = 'late: waited in a replica’s queue'
    repeated = 'late: sent to a second replica'
    slow = 'late: slow at a replica without a queue'
    elsewhere = 'late: no entry at first, or refused at first'
    taken_late = 'batch late: its job was taken late'
    done_late = 'batch late: its result came late'
    prices = 'prices'
    sizes = 'unexplained: sizes, half credits'


# How a last try ended, by what the report calls it.
LAST_TRIES = {
    'deadline': Reason.cut,
    'cut in the answer': Reason.cut,
    'cut, no answer': Reason.cut,
    'no connection': Reason.nobody,
    '429': Reason.refused,
    '503': Reason.refused,
}


def losses(day: Day, log: list[Line], slots: int) -> dict[Reason, float]:
    """Return the share of the worth owed that each reason cost.

    ``slots`` is how many requests a replica works on at once.
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
            Reason.elsewhere,
        ),
    }
    found: Counter[Reason] = Counter()
    for outcome in day.outcomes:
        found.update(_of_kind(outcome, day, late[outcome.kind.batch]))
    owed = sum(each.owed * each.kind.worth for each in day.outcomes)
    shares = {reason: lost / owed for reason, lost in found.items()}
    return {**shares, Reason.prices: sum(day.prices.values())}


def _of_kind(
    outcome: KindOutcome,
    day: Day,
    late: Counter[Reason],
) -> dict[Reason, float]:
    """Return the worth that a kind of request lost, by reason."""
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
    """Return a loss split by counts, unexplained if there are none."""
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
    """Return how many requests the report counts as late."""
    return sum(
        outcome.late for outcome in day.outcomes if outcome.kind.batch == batch
    )


def _with_unseen(
    seen: Counter[Reason],
    total: int,
    unseen: Reason,
) -> Counter[Reason]:
    """Return the counts with those that the log does not show as late."""
    return seen + Counter({unseen: total - sum(seen.values())})


def _online_late(log: list[Line], slots: int) -> Counter[Reason]:
    """Count requests that were answered late, by what the log shows."""
    placed: dict[str, list[Line]] = {}
    for line in _of(log, 'request_placed'):
        placed.setdefault(line.fields['request'], []).append(line)
    return Counter(
        _late_reason(placed.get(line.fields['request'], []), slots)
        for line in _of(log, 'request_answered')
        if line.fields['first_byte_s'] > ON_TIME_S
    )


def _late_reason(tries: list[Line], slots: int) -> Reason:
    if len(tries) > 1:
        return Reason.repeated
    queued = any(line.fields['online'] > slots for line in tries)
    return Reason.queued if queued else Reason.slow


def _batch_late(log: list[Line]) -> Counter[Reason]:
    """Count items whose results came late after the taking."""
    taken = {line.fields['job']: line.at_s for line in _of(log, 'job_accepted')}
    late = (
        len(line.fields['items'])
        for line in _of(log, 'results_listed')
        if line.at_s - taken.get(line.fields['job'], line.at_s) > RESULT_DUE_S
    )
    return Counter({Reason.done_late: sum(late)})


def _of(log: Iterable[Line], event: str) -> Iterable[Line]:
    return (line for line in log if line.event == event)
