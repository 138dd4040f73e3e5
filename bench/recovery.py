"""Kills and restarts all entries of a site; prints how long recovery took.

The entries are real processes; the store and the replicas are stand-ins in
this process. The store replies after 4 ms. Times are from the end of the
imports, which take a part of the total that depends on the machine's load.
"""

import argparse
import contextlib
import io
import itertools
import json
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from datetime import datetime
from http import HTTPStatus
from pathlib import Path
from typing import Any

import gevent

from cactusridge import logs
from standins.machines.site import MachineSite
from standins.waiting import NotReady, wait_for

STORE_DELAY_S = 0.004
# Interval in seconds at which each entry is called until it answers.
CALL_INTERVAL_S = 0.02
# Items of a job: as many as an entry runs at once, each of 30 s.
ITEMS = 2
REPLICAS = 4
# Seconds for the first checkpoint and for two reads of the member list.
SETTLE_S = 2
# Longest time in seconds until every entry has answered a call.
ANSWER_S = 60
ITEM_BODY = '600 0.05'
LINES = ('serving_started', 'jobs_resumed')


def main() -> None:
    """Measure as often as the command line asks; print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--entries', type=int, default=6)
    parser.add_argument('--rounds', type=int, default=3)
    parser.add_argument('--store-down-s', type=float, default=0)
    args = parser.parse_args()
    # The stand-ins log each connection that ends at a kill.
    logs.configure('json', io.StringIO())
    lines: list[dict[str, Any]] = []
    waits: list[tuple[list[float], list[float]]] = []
    for _ in range(args.rounds):
        with tempfile.TemporaryDirectory() as folder:
            site = MachineSite(Path(folder), REPLICAS, args.entries)
            try:
                waits.append(_measure(site, args.entries, args.store_down_s))
                lines.extend(_events(site, *LINES))
            finally:
                site.stop()
    _print_table(lines)
    answers, jobs = (list(itertools.chain(*each)) for each in zip(*waits))
    since = 'the return of the store' if args.store_down_s else 'the restart'
    sys.stdout.write(f'first answer, from {since}: {_summary(answers)}\n')
    sys.stdout.write(f'first item of a job, from {since}: {_summary(jobs)}\n')


def _measure(
    site: MachineSite, count: int, down_s: float
) -> tuple[list[float], list[float]]:
    """Restart all entries.

    Return the seconds until each entry answered and each job ran again,
    from the restart or, if the store was down, from its return.
    """
    site.start()
    site.store.response_delay_s = STORE_DELAY_S
    entries = [f'e{number}' for number in range(count)]
    for name in entries:
        site.start_entry(name)
    for name in entries:
        site.submit(
            name, f'job-{name}', list(itertools.repeat(ITEM_BODY, ITEMS))
        )
    jobs = {f'job-{name}' for name in entries}
    wait_for('all jobs run', lambda: jobs == set(_started(site, 0)))
    gevent.sleep(SETTLE_S)
    for name in entries:
        site.entries[name].kill()
        site.entries[name].log.write_text('')
    since = time.time()
    site.store.down = down_s > 0
    for name in entries:
        site.spawn_entry(name)
    callers = [
        gevent.spawn(_call_until_answered, site, each) for each in entries
    ]
    if down_s:
        wait_for('all listen', lambda: len(_events(site, 'listening')) == count)
        gevent.sleep(down_s)
        site.store.down = False
        since = time.time()
    gevent.joinall(callers, ANSWER_S, raise_error=True)
    wait_for(
        'all jobs run again',
        lambda: jobs == set(_started(site, since)),
    )
    answers = [
        _unix_time(line['timestamp']) - since
        for line in _events(site, 'serving_started')
    ]
    return answers, list(_started(site, since).values())


def _call_until_answered(site: MachineSite, name: str) -> None:
    """Poll the readiness of an entry and call it until it answers."""
    status = 0
    while status != HTTPStatus.OK:
        gevent.sleep(CALL_INTERVAL_S)
        headers = {'X-Attempt-Id': f'{name}-{time.time()}'}
        with contextlib.suppress(NotReady, OSError):
            # The entry records when it was ready for the first time.
            site.is_ready(name)
            status = site.call(name, 'POST', '/on/', b'1', headers)[0]


def _started(site: MachineSite, since: float) -> dict[str, float]:
    """Return the seconds from ``since`` to the first item of each job."""
    found: dict[str, float] = {}
    for line in _events(site, 'item_started'):
        at = _unix_time(line['timestamp']) - since
        found[line['job']] = min(at, found.get(line['job'], at))
    return found


def _events(site: MachineSite, *names: str) -> list[dict[str, Any]]:
    """Return the log lines of the events with these names."""
    return [line for line in _lines(site) if line['event'] in names]


def _lines(site: MachineSite) -> Iterator[dict[str, Any]]:
    for process in site.entries.values():
        for text in process.log.read_text().splitlines():
            if text.startswith('{') and text.endswith('}'):
                yield json.loads(text)


def _unix_time(stamp: str) -> float:
    return datetime.fromisoformat(stamp).timestamp()


def _print_table(lines: list[dict[str, Any]]) -> None:
    for event in LINES:
        chosen = [line for line in lines if line['event'] == event]
        sys.stdout.write(f'{event}: {len(chosen)} lines\n')
        first = next(iter(chosen), {})
        names = [name for name in first if name.endswith('_s')]
        for name in names:
            times = [_since_imports(line, name) for line in chosen]
            sys.stdout.write(f'  {name}: {_summary(times)}\n')


def _since_imports(line: dict[str, Any], name: str) -> float | None:
    """Return a time of a line, from the end of the imports if it is later."""
    if name in {'imports_s', 'cpu_s'} or line[name] is None:
        return line[name]
    return line[name] - line['imports_s']


def _summary(times: list[float | None]) -> str:
    known = [each for each in times if each is not None]
    if not known:
        return 'none'
    return (
        f'median {statistics.median(known):.3f} s,'
        f' longest {max(known):.3f} s ({len(known)})'
    )


if __name__ == '__main__':
    main()
