"""Simulates the admission queue and prints the plays as JSON lines.

Run ``python -m tests.queue_plays LOADS VARIANTS SEEDS PERIODS``. Tests run it
in a process of its own with a fixed hash seed: the order of sets decides
between equal replicas, so that other plays differ from run to run.
"""

import os
import subprocess
import sys

import msgspec

from tests.burst_play import Fleet
from tests.queue_play import QueueOutcome, QueuePlay

# One of the four cells of the usual fleet, which takes an eighth of the time.
CELL = Fleet(entries=10, replicas=7, zones=1)
HASH_SEED = '0'
LIMIT_S = 600


def simulate(*args: str) -> list[QueueOutcome]:
    """Return the plays that this module prints for ``args``."""
    done = subprocess.run(  # noqa: S603
        [sys.executable, '-m', 'tests.queue_plays', *args],
        env={**os.environ, 'PYTHONHASHSEED': HASH_SEED},
        stdout=subprocess.PIPE,
        timeout=LIMIT_S,
        check=True,
    )
    return [
        msgspec.json.decode(line, type=QueueOutcome)
        for line in done.stdout.splitlines()
    ]


def main(loads: str, variants: str, seeds: str, periods: str) -> None:
    """Simulate a cell and print the plays."""
    for load in map(float, loads.split(',')):
        for seed in range(1, int(seeds) + 1):
            for variant in variants.split(','):
                play = QueuePlay(variant, load, seed, CELL)
                found = msgspec.json.encode(play.run(int(periods)))
                sys.stdout.buffer.writelines((found, b'\n'))


if __name__ == '__main__':
    main(*sys.argv[1:])
