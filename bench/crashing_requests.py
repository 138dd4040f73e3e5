"""Measures the effect of quarantine while a request crashes replicas.

    python -m bench.crashing_requests [SEED...]

The fleet has five simulated replicas and three entries as real processes.
Callers start streams of two seconds at random times. One caller repeats a
request that crashes each replica that runs it. Each seed is run with the policy
``quarantine: none`` and with ``by_crashes``, and with the same streams in both.
"""

from gevent import monkey

monkey.patch_all()

import random
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import gevent

from cactusridge import logs
from standins.machines.site import MachineSite

SEEDS = (1, 2, 3, 4, 5)
POLICIES = ('none', 'by_crashes')
ENTRIES = ('one', 'two', 'three')
REPLICAS = 5
SLOTS = 8
RUN_S = 15
STREAMS_PER_S = 6
STREAM = b'40 0.05'
EVENTS = 40
CRASH = b'crash'
# Seconds between two repeats of the request that crashes replicas.
REPEAT_S = (0.2, 1.2)
# Two-sided 95% quantile of the t distribution for five pairs.
T_QUANTILE_FIVE_PAIRS = 2.776


class SeedResult(NamedTuple):
    """The number of crashes and the share of streams that were complete."""

    crashes: int
    whole: float


def run_seed(seed: int, policy_name: str) -> SeedResult:
    """Run one seed with the quarantine policy ``policy_name``."""
    rng = random.Random(seed)
    starts = [rng.uniform(0, RUN_S) for _ in range(RUN_S * STREAMS_PER_S)]
    with tempfile.TemporaryDirectory() as folder:
        site = MachineSite(Path(folder), REPLICAS, SLOTS)
        site.policy = {'quarantine': policy_name}
        try:
            return _run_site(site, rng, starts)
        finally:
            site.stop()


def _run_site(
    site: MachineSite,
    rng: random.Random,
    starts: list[float],
) -> SeedResult:
    site.start()
    for name in ENTRIES:
        site.start_entry(name)
    gevent.sleep(1)
    begun_at = time.monotonic()
    calls = [
        gevent.spawn_later(start, _is_whole, site, number)
        for number, start in enumerate(starts)
    ]
    number = 0
    while time.monotonic() - begun_at < RUN_S:
        _call(site, f'crash-{number}', '/on/crash', CRASH, number)
        gevent.sleep(rng.uniform(*REPEAT_S))
        number += 1
    gevent.joinall(calls)
    crashes = sum(len(each.crash_times_s) for each in site.replicas)
    return SeedResult(crashes, statistics.mean(call.value for call in calls))


def _is_whole(site: MachineSite, number: int) -> bool:
    """Send a stream request and return whether all events arrived."""
    status, body = _call(site, f's{number}', f'/on/{number}', STREAM, number)
    return status == 200 and body.count(b'data:') == EVENTS


def _call(
    site: MachineSite,
    attempt: str,
    target: str,
    body: bytes,
    number: int,
) -> tuple[int, bytes]:
    sent = {'X-Attempt-Id': attempt, 'X-Request-Deadline': '5000'}
    name = ENTRIES[number % len(ENTRIES)]
    try:
        status, _, received = site.call(name, 'POST', target, body, sent)
    except Exception as exc:
        # A broken response counts as an incomplete stream.
        sys.stderr.write(f'{attempt}: {exc!r}\n')
        return 0, b''
    return status, received


def _interval(differences: list[float]) -> str:
    mean = statistics.mean(differences)
    if len(differences) != len(SEEDS):
        return f'{mean:+.3f}'
    spread = statistics.stdev(differences) / len(differences) ** 0.5
    return f'{mean:+.3f} ± {T_QUANTILE_FIVE_PAIRS * spread:.3f}'


def main(args: list[str]) -> None:
    """Print a row for each seed, then the mean differences."""
    logs.configure('json')
    whole, crashes = [], []
    for seed in map(int, args) if args else SEEDS:
        no_quarantine, with_quarantine = (
            run_seed(seed, policy_name) for policy_name in POLICIES
        )
        sys.stdout.write(
            f'| {seed} | {no_quarantine.crashes} | {with_quarantine.crashes} |'
        )
        sys.stdout.write(
            f' {no_quarantine.whole:.3f} | {with_quarantine.whole:.3f} |\n'
        )
        sys.stdout.flush()
        crashes.append(with_quarantine.crashes - no_quarantine.crashes)
        whole.append(with_quarantine.whole - no_quarantine.whole)
    sys.stdout.write(f'crashes {_interval(crashes)}\n')
    sys.stdout.write(f'whole {_interval(whole)}\n')


if __name__ == '__main__':
    main(sys.argv[1:])
