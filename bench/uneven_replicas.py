"""Compares the policies of capacity at replicas of different speeds.

    python -m bench.uneven_replicas [SEEDS]

Each kind of requests is simulated without a network (tests/uneven_play.py), at
uneven and at equal replicas, with the policy `mean` and with `observed`, whose
observations entries keep (own) or share. Prints the mean of each measure with
`mean` and the differences from it in pairs by seed, with 95% intervals.
"""

import itertools
import sys
from concurrent.futures import ProcessPoolExecutor
from types import MappingProxyType

from bench.decisions.paired import Difference, difference
from tests.uneven_play import (
    EQUAL,
    SPEEDS,
    WORKS,
    UnevenOutcome,
    UnevenPlay,
    Work,
)

SEEDS = 5
FLEETS = MappingProxyType({'uneven': SPEEDS, 'equal': EQUAL})
NAIVE = 'mean'
VARIANTS = (NAIVE, 'own', 'shared')
# Simulations that run at the same time.
PROCESSES = 2
MEASURES = UnevenOutcome._fields[3:]


def play(work: Work, speeds: tuple[float, ...], variant: str, seed: int):
    """Return the outcome of one simulation."""
    return UnevenPlay(work, speeds, seed, variant).run()


def differences(
    plays: list[UnevenOutcome], after: str
) -> dict[str, Difference]:
    """Return the differences of a policy from the naive one, by measure."""
    return {
        name: difference(
            plays, NAIVE, after, lambda each, field=name: getattr(each, field)
        )
        for name in MEASURES
    }


def row(case: str, name: str, after: str, found: Difference) -> str:
    """Return a row of the table."""
    change = f'{found.mean:+.3f} ± {found.half_width:.3f}'
    return f'| {case} | {name} | {found.before:.3f} | {after} | {change} |\n'


def compare(work: Work, fleet: str, seeds: range) -> None:
    """Print the rows of one kind of requests at uneven or equal replicas."""
    cases = itertools.product([work], [FLEETS[fleet]], VARIANTS, seeds)
    with ProcessPoolExecutor(PROCESSES) as pool:
        plays = list(pool.map(play, *zip(*cases, strict=True)))
    for after in VARIANTS[1:]:
        for name, each in differences(plays, after).items():
            case = f'{work.name}, {fleet}'
            sys.stdout.write(row(case, name, after, each))
    sys.stdout.flush()


def main() -> None:
    """Compare the policies in all cases."""
    count = int(sys.argv[1]) if sys.argv[1:] else SEEDS
    for work, fleet in itertools.product(WORKS, FLEETS):
        compare(work, fleet, range(1, count + 1))


if __name__ == '__main__':
    main()
