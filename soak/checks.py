"""Checks of the promises against what callers and replicas recorded.

The checks share no code with the product. ``check_always`` has the checks
that hold under any fault. Most of the others apply only while no fault has
disturbed the fleet since ``QUIET_S`` seconds before.
"""

import itertools
import time
from collections import Counter

from soak.loss_checks import QUIET_S, check_losses
from soak.record import Call, CallEnd, Job, Record, RunStart
from soak.versions import versions_in, without_marks
from standins.machines.replica import MAIN_SERVICE

# Statuses of requests that have not run and never will.
REFUSALS = frozenset((408, 421, 429, 503))
ENDED_BOUND_S = 3
DRAIN_BOUND_S = 2
CONFIG_BOUND_S = 2
# Seconds after its caller has left within which a request may still reach a
# replica, and how many may later.
GONE_BOUND_S = 0.5 + 0.3
GONE_REQUESTS = 3
ATTEMPTS = 2
# Seconds after which an item may be given up, by the route of the jobs.
MAX_WAIT_S = 60


def check_always(record: Record) -> None:
    """Check the promises that hold at any time and under any fault."""
    runs = record.runs_by_id()
    for call in record.calls:
        _check_call(record, call, runs.get(call.id, []))
    for job in list(record.jobs.values()):
        _check_job(record, job, runs)


def check_at_end(record: Record) -> None:
    """Check all promises, including those that faults may suspend."""
    check_always(record)
    runs = record.runs_by_id()
    _check_ended_jobs(record, runs)
    _check_withheld(record)
    _check_configuration(record)
    check_losses(record, runs)
    _check_gone(record, runs)


def check_outstanding(record: Record, seconds: float) -> None:
    """Check that all results are listed after ``seconds`` without progress.

    Jobs that their caller has asked to end are left out.
    """
    for job in record.jobs.values():
        owed = job.accepted_at is not None and job.end_requested_at is None
        listed = {each['id'] for each in job.listed_results}
        missing = set(job.item_ids()) - listed
        if owed and missing:
            text = f'{job.id}: {sorted(missing)}, nothing for {seconds} s'
            record.add_violation('items complete', text)


def check_one_version(record: Record, about: str, texts: list[str]) -> None:
    """Check that the output of a stream or an item is from one version."""
    versions = versions_in(texts)
    if len(versions) > 1:
        text = f'{about} holds {sorted(versions)}: {texts}'
        record.add_violation('one version', text)


def _check_call(record: Record, call: Call, runs: list[RunStart]) -> None:
    if call.kind == 'on' and len(runs) > 1:
        record.add_violation('once', f'{call.id} ran at {_locations(runs)}')
    if call.status in REFUSALS and runs and call.kind == 'on':
        record.add_violation(
            'refused is not run', f'{call.id} {call.status} ran'
        )
    if call.status in {404, 400} and call.kind != 'version':
        record.add_violation('not denied', f'{call.id} got {call.status}')
    if call.status == 500 and 'X-Response-Signature' not in call.headers:
        record.add_violation(
            'no fault of its own', f'{call.id} got {call.body!r}'
        )
    if call.status in {429, 503} and 'Retry-After' not in call.headers:
        record.add_violation(
            'says when to come back', f'{call.id}: {call.body!r}'
        )


def _check_job(
    record: Record, job: Job, runs: dict[str, list[RunStart]]
) -> None:
    ids = job.item_ids()
    listed = Counter(each['id'] for each in job.listed_results)
    for item_id, count in listed.items():
        if count > 1:
            record.add_violation('listed once', f'{item_id} {count} times')
        if item_id not in ids:
            record.add_violation(
                'whole answer', f'{item_id} listed in {job.id}'
            )
    bodies = dict(zip(ids, job.bodies, strict=True))
    for found in list(job.listed_results):
        _check_result(record, job, found, bodies.get(found['id'], ''))
    for run_start in itertools.chain(*(runs.get(each, ()) for each in ids)):
        if run_start.service != MAIN_SERVICE:
            record.add_violation(
                'service of the job', f'{run_start.id} at {run_start.service}'
            )
    if job.refused and any(item_id in runs for item_id in ids):
        record.add_violation(
            'refused is not run', f'{job.id} {job.statuses} ran'
        )


def _check_result(
    record: Record, job: Job, found: dict[str, str], body: str
) -> None:
    item_id, state, output = found['id'], found['state'], found['output']
    poison = body in {'impossible', 'failing'}
    if state == 'completed':
        count = 0 if poison else int(body.split()[0])
        whole = '\n'.join(
            f'{item_id}.{number}' for number in range(1, count + 1)
        )
        check_one_version(record, item_id, [output])
        if without_marks(output) != whole or poison:
            record.add_violation('whole answer', f'{item_id}: {output[:80]!r}')
    elif _is_given_up_early(record, job, item_id) and not poison:
        text = f'{item_id} after {record.failed_runs[item_id]} failures'
        record.add_violation('given up too early', text)


def _is_given_up_early(record: Record, job: Job, item_id: str) -> bool:
    """Return whether an item may not have been given up yet.

    The checks are made each second, so the job is now about as old as when the
    result was listed.
    """
    accepted_at = job.accepted_at or time.monotonic()
    is_old = time.monotonic() - accepted_at >= MAX_WAIT_S
    return record.failed_runs[item_id] < ATTEMPTS and not is_old


def _check_ended_jobs(record: Record, runs: dict[str, list[RunStart]]) -> None:
    for job in record.jobs.values():
        if job.end_acknowledged_at is None:
            continue
        bound = job.end_acknowledged_at + ENDED_BOUND_S
        begun = itertools.chain.from_iterable(
            runs.get(item_id, ()) for item_id in job.item_ids()
        )
        for each in begun:
            late = each.at > bound
            if late and record.is_undisturbed(each.at - QUIET_S, each.at, True):
                record.add_violation(
                    'ended jobs stop', f'{each.id} at {each.at}'
                )


def _check_withheld(record: Record) -> None:
    """Check that no request started at an incarnation excluded from them."""
    for run_start, exclusion in itertools.product(
        record.run_starts, record.exclusions
    ):
        settled = exclusion.since + DRAIN_BOUND_S
        late = settled < run_start.at <= exclusion.until
        if run_start.life != exclusion.life or not late:
            continue
        if record.is_undisturbed(
            run_start.at - QUIET_S, run_start.at, planned_too=False
        ):
            text = f'{run_start.id} at {run_start.life} at {run_start.at}'
            record.add_violation(exclusion.promise, text)


def _check_gone(record: Record, runs: dict[str, list[RunStart]]) -> None:
    """Check that few requests reach a replica after their caller has left."""
    late = [
        f'{run_start.id} {run_start.at - call.ended_at:.2f} s'
        for call in record.calls
        for run_start in runs.get(call.id, ())
        if call.end == CallEnd.caller_closed
        and run_start.at > call.ended_at + GONE_BOUND_S
        and record.is_undisturbed(call.sent_at - QUIET_S, run_start.at, False)
    ]
    if len(late) > GONE_REQUESTS:
        record.add_violation('callers who left', f'run later: {late}')


def _check_configuration(record: Record) -> None:
    """Check that catalog versions apply in time and are never rolled back.

    Version N serves its own route and no other version's.
    """
    newest: dict[str, tuple[int, float]] = {}
    for call in sorted(record.calls, key=lambda each: each.ended_at):
        is_undisturbed = record.is_undisturbed(
            call.sent_at - QUIET_S, call.ended_at, True
        )
        if call.version is None or not is_undisturbed:
            continue
        if call.status == 200:
            seen, seen_at = newest.get(call.entry, (0, 0))
            if call.version < seen and call.sent_at > seen_at:
                text = f'{call.id} v{call.version} after v{seen}'
                record.add_violation('never back', text)
            now = (call.version, call.ended_at)
            newest[call.entry] = max((seen, seen_at), now)
        _check_in_force(record, call, call.version)


def _check_in_force(record: Record, call: Call, version: int) -> None:
    """Check a response against the catalog version that must be active."""
    settled = call.sent_at - CONFIG_BOUND_S
    known = [number for number, at in record.versions.items() if at <= settled]
    oldest_allowed = max(known)
    if call.status == 200 and version < oldest_allowed:
        record.add_violation(
            'in force', f'{call.id}: v{version} is still served'
        )
    if call.status == 404 and version == max(record.versions):
        if version <= oldest_allowed:
            record.add_violation(
                'in force', f'{call.id}: v{version} is not served'
            )


def _locations(runs: list[RunStart]) -> str:
    return ', '.join(f'{each.life} at {each.at:.3f}' for each in runs)
