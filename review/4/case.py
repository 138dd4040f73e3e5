# flake8: noqa: WPS432, WPS226, WPS210, E402
"""A server goes down and up by turns; sound batch items are never done."""

from gevent import monkey

monkey.patch_all()

import gevent
from harness import (
    BROKEN,
    CANNOT_RUN,
    HELD,
    TROUBLE,
    Deployment,
    Record,
    run_case,
)

SERVERS = 9
SLOTS = 2
ENTRIES = ('one', 'two')
# Two times, a server of the nine goes down and up by turns: begin and length.
FLAPS = ((1.0, 6.5), (8.5, 6.5))
PERIOD_S = 1.4
JOBS = 2
ITEMS = 10
# Events of an item and the seconds between them: twelve seconds of work.
ITEM = '240 0.05'
TRAFFIC_ENDS_S = 20
FINISH_S = 18
CALM_S = 5
NONE_FAILED_S = 20


def flap(site: Deployment, record: Record) -> None:
    """Let the first server go down and up by turns, at its times."""
    for begins_s, lasts_s in FLAPS:
        gevent.sleep(max(0, begins_s - record.now()))
        while record.now() < begins_s + lasts_s:
            record.line('server i-0 goes down, and comes back in 0.7 s')
            site.crash(0)
            site.last_crash_s = record.now()
            gevent.sleep(PERIOD_S)


def read_until(
    site: Deployment, record: Record, jobs: list[str], end_s: float
) -> None:
    """Read the results twice a second until ``end_s``: the traffic."""
    number = 0
    while record.now() < end_s:
        name = ENTRIES[number % len(ENTRIES)]
        counts = [len(site.listed_results(name, job)) for job in jobs]
        record.line(f'client: {name} lists {counts}')
        number += 1
        gevent.sleep(0.5)


def unlisted_items(site: Deployment, job: str) -> set[str]:
    """Return the items of a job that are not listed."""
    ids = {f'{job}-{number}' for number in range(ITEMS)}
    return ids - set(site.listed_results('two', job))


def play(site: Deployment, record: Record) -> int:
    """Play the case and return the verdict."""
    site.last_crash_s = float('-inf')
    site.start()
    for name in ENTRIES:
        site.start_entry(name)
    record.restart_clock()
    jobs = [f'job-{number}' for number in range(JOBS)]
    for job in jobs:
        items = [(f'{job}-{number}', ITEM) for number in range(ITEMS)]
        status = site.submit_items('one', job, items)
        record.line(f'client: submits {job} of {ITEMS} items: {status}')
        if status != 202:
            return CANNOT_RUN
    if TROUBLE:
        gevent.spawn(flap, site, record)
    read_until(site, record, jobs, TRAFFIC_ENDS_S)
    ends_s = TRAFFIC_ENDS_S + FINISH_S
    gevent.sleep(ends_s - CALM_S - record.now())
    before: set[str] = set()
    for each in jobs:
        before |= unlisted_items(site, each)
    busy = 0
    while record.now() < ends_s:
        busy += sum(replica.running for replica in site.replicas)
        gevent.sleep(0.1)
    lost = set()
    for job in jobs:
        lost |= unlisted_items(site, job)
    record.line('client: unlisted:', *sorted(lost))
    record.line('server: items running in the last 5 s:', busy)
    for name in ENTRIES:
        for event in site.events(name, 'quarantined', 'item_failed'):
            record.line(f'{name} logs', event)
    # The excuses of the rule: none of them may apply.
    excused = (
        busy
        or lost != before
        or record.now() - site.last_crash_s <= NONE_FAILED_S
    )
    return BROKEN if lost and not excused else HELD


run_case(play, SERVERS, SLOTS, __file__)
