# flake8: noqa: WPS432, WPS226, WPS210, E402
"""A job that is sent again during a hand-over is taken over without end."""

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

SERVERS = 6
SLOTS = 8
ENTRIES = ('one', 'two', 'three')
OTHERS = ('two', 'three')
JOBS = ('job-0', 'job-1', 'job-2', 'job-3')
ITEMS = 5
# Events of an item and the seconds between them: six seconds of work.
ITEM = '120 0.05'
# The store answers as usual, or sixty times slower for some seconds.
USUAL_S = 0.004
SLOW_S = 0.24
SLOW_FOR_S = 4.5
STOP_AT_S = 1.0
# Other clients send the jobs again while their 202 is only seconds old.
AGAIN_EVERY_S = 0.35
AGAIN_FROM_S = 1.8
AGAIN_UNTIL_S = 4.0
TRAFFIC_ENDS_S = 14
FINISH_S = 18
CALM_S = 5


def submit(site: Deployment, record: Record, name: str, job: str) -> int:
    """Send a batch job, for the first time or again."""
    items = [(f'{job}-{number}', ITEM) for number in range(ITEMS)]
    status = site.submit_items(name, job, items)
    record.line(f'client: sends {job} at {name}: {status}')
    return status


def slow_down(site: Deployment, record: Record) -> None:
    """Let the store answer slowly for some seconds."""
    record.line(f'store: answers take {SLOW_S} s')
    site.store.response_delay_s = SLOW_S
    gevent.sleep(SLOW_FOR_S)
    site.store.response_delay_s = USUAL_S
    record.line(f'store: answers take {USUAL_S} s')


def restart(site: Deployment, record: Record) -> None:
    """Stop the first machine as planned and start it again."""
    gevent.sleep(max(0, STOP_AT_S - record.now()))
    record.line('platform: SIGTERM to one')
    status = site.entries['one'].stop()
    record.line(f'platform: one has ended with {status}, and starts again')
    site.spawn_entry('one')


def send_again(site: Deployment, record: Record, name: str) -> None:
    """Send the jobs again at ``name``, some times."""
    gevent.sleep(max(0, AGAIN_FROM_S - record.now()))
    while record.now() < AGAIN_UNTIL_S:
        for job in JOBS:
            gevent.spawn(submit, site, record, name, job)
        gevent.sleep(AGAIN_EVERY_S)


def unlisted_items(site: Deployment) -> set[str]:
    """Return the items that are not listed."""
    ids = {f'{job}-{number}' for job in JOBS for number in range(ITEMS)}
    for job in JOBS:
        ids -= set(site.listed_results('two', job))
    return ids


def had_lately(site: Deployment, items: set[str], ends_s: float) -> set[str]:
    """Return the items that servers had in the last seconds.

    A run that its sender ends within a second does not count.
    """
    return {
        request_id
        for replica in site.replicas
        for request_id, begun, ended, whole in replica.ended_runs
        if request_id in items
        and ended > ends_s - CALM_S
        and (whole or ended - begun > 1)
    }


def play(site: Deployment, record: Record) -> int:
    """Play the case and return the verdict."""
    site.store.response_delay_s = USUAL_S
    site.start()
    for name in ENTRIES:
        site.start_entry(name)
    record.restart_clock()
    for job in JOBS:
        if submit(site, record, 'one', job) != 202:
            return CANNOT_RUN
    if TROUBLE:
        gevent.spawn(slow_down, site, record)
    gevent.spawn(restart, site, record)
    for other in OTHERS:
        gevent.spawn(send_again, site, record, other)
    ends_s = TRAFFIC_ENDS_S + FINISH_S
    while record.now() < ends_s - CALM_S:
        gevent.sleep(1)
        record.line(f'client: {len(unlisted_items(site))} items unlisted')
    gevent.sleep(max(0, ends_s - record.now()))
    lost = unlisted_items(site)
    record.line('client: unlisted:', *sorted(lost))
    held = had_lately(site, lost, ends_s)
    record.line('server: had for over a second of late:', *sorted(held))
    for name in OTHERS:
        taken = site.events(name, 'job_taken', 'job_lease_lost')
        record.line(f'{name} logs {len(taken)} takeovers and lost holds')
    return BROKEN if lost - held else HELD


run_case(play, SERVERS, SLOTS, __file__)
