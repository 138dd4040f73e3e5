"""What callers get while one request crashes replicas, with and without.

    python -m bench.crashing_requests [SEED...]

Five replicas and three entries as real processes. Callers send streams of two
seconds at random moments; one caller brings the same request again and again,
which ends each replica that begins to run it. Each seed is played with
``quarantine: by_crashes`` and with ``none``; the same streams come in both.
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
RULES = ('none', 'by_crashes')
ENTRIES = ('one', 'two', 'three')
REPLICAS = 5
SLOTS = 8
DAY_S = 15
STREAMS_PER_S = 6
STREAM = b'40 0.05'
EVENTS = 40
CRASH = b'crash'
# Between two repeats of the request that crashes replicas, in seconds.
REPEAT_S = (0.2, 1.2)
# Of the t distribution for five pairs, 95%.
T_FIVE = 2.776


class Played(NamedTuple):
    """Crashes, and shares of the others' streams that came whole."""

    crashes: int
    whole: float


def play(seed: int, rule: str) -> Played:
    """Play one day."""
    rng = random.Random(seed)
    starts = [rng.uniform(0, DAY_S) for _ in range(DAY_S * STREAMS_PER_S)]
    with tempfile.TemporaryDirectory() as folder:
        site = MachineSite(Path(folder), REPLICAS, SLOTS)
        site.policy = {'quarantine': rule}
        try:
            return _played(site, rng, starts)
        finally:
            site.stop()


def _played(
    site: MachineSite,
    rng: random.Random,
    starts: list[float],
) -> Played:
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
    while time.monotonic() - begun_at < DAY_S:
        _call(site, f'crash-{number}', '/on/crash', CRASH, number)
        gevent.sleep(rng.uniform(*REPEAT_S))
        number += 1
    gevent.joinall(calls)
    crashes = sum(len(each.crashed) for each in site.replicas)
    return Played(crashes, statistics.mean(call.value for call in calls))


def _is_whole(site: MachineSite, number: int) -> bool:
    """Send a stream; tell whether all of it has come."""
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
        status, _, got = site.call(name, 'POST', target, body, sent)
    except Exception as exc:
        # A broken answer is what is counted.
        sys.stderr.write(f'{attempt}: {exc!r}\n')
        return 0, b''
    return status, got


def _interval(differences: list[float]) -> str:
    mean = statistics.mean(differences)
    if len(differences) != len(SEEDS):
        return f'{mean:+.3f}'
    spread = statistics.stdev(differences) / len(differences) ** 0.5
    return f'{mean:+.3f} ± {T_FIVE * spread:.3f}'


def main(args: list[str]) -> None:
    """Print a row a seed, then the mean differences."""
    logs.configure('json')
    whole, crashes = [], []
    for seed in map(int, args) if args else SEEDS:
        without, held = (play(seed, rule) for rule in RULES)
        sys.stdout.write(f'| {seed} | {without.crashes} | {held.crashes} |')
        sys.stdout.write(f' {without.whole:.3f} | {held.whole:.3f} |\n')
        sys.stdout.flush()
        crashes.append(held.crashes - without.crashes)
        whole.append(held.whole - without.whole)
    sys.stdout.write(f'crashes {_interval(crashes)}\n')
    sys.stdout.write(f'whole {_interval(whole)}\n')


if __name__ == '__main__':
    main(sys.argv[1:])
