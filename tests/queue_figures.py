"""Prints the differences of ways of queueing in the simulation of bursts.

Run ``PYTHONHASHSEED=0 python -m tests.queue_figures FLEET LOADS VARIANTS
SEEDS``, for example ``fleet 1.1,1.2 fair 5``. Each variant is compared with
``none`` in pairs of the same seed. The order of sets decides between equal
replicas, so the figures repeat only with a fixed hash seed.
"""

import sys
from collections.abc import Callable
from types import MappingProxyType

from bench.decisions.paired import difference
from tests.queue_play import FLEET, LARGE, QueueOutcome, QueuePlay
from tests.queue_plays import CELL

FLEETS = MappingProxyType({'fleet': FLEET, 'cell': CELL})
PERIODS = 3
NAIVE = 'none'
PERCENT = 100

Measure = Callable[[QueueOutcome], float]

MEASURES: MappingProxyType[str, Measure] = MappingProxyType(
    {
        'on time': lambda play: play.share('on_time'),
        'late': lambda play: play.share('late'),
        'unanswered': lambda play: play.share('unanswered'),
        'large': lambda play: play.share('unanswered', [LARGE]),
        'small': lambda play: play.share('unanswered', play.small()),
        'worst tenth': lambda play: play.share(
            'unanswered', play.worst_tenth()
        ),
    }
)
COUNTS = ('started', 'held_back', 'given_up', 'overdue')


def show(plays: list[QueueOutcome], variant: str) -> None:
    """Print the differences of a variant from ``NAIVE``, in percent."""
    for name, measure in MEASURES.items():
        found = difference(plays, NAIVE, variant, measure)
        before, mean, half = (
            PERCENT * number
            for number in (found.before, found.mean, found.half_width)
        )
        sys.stdout.write(
            f'  {name}: {before:.2f} -> {before + mean:.2f}'
            f' ({mean:+.2f} ± {half:.2f}, {found.pairs} pairs)\n'
        )
    ours = [play for play in plays if play.variant == variant]
    sums = {name: sum(getattr(play, name) for play in ours) for name in COUNTS}
    asked = sum(play.asked for play in ours)
    sys.stdout.write(f'  callers {asked}, {sums}\n')
    sys.stdout.flush()


def main(fleet: str, loads: str, variants: str, seeds: str) -> None:
    """Simulate and print."""
    for load in map(float, loads.split(',')):
        plays = []
        for variant in (NAIVE, *variants.split(',')):
            plays.extend(
                QueuePlay(variant, load, seed, FLEETS[fleet]).run(PERIODS)
                for seed in range(1, int(seeds) + 1)
            )
            if variant != NAIVE:
                sys.stdout.write(f'{fleet}, load {load}, {variant}\n')
                show(plays, variant)


if __name__ == '__main__':
    main(*sys.argv[1:])
