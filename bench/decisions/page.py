"""Writes the tables and plots in docs/decisions/ from the stored plays.

python -m bench.decisions.page
"""

import sys
from collections.abc import Iterable
from operator import attrgetter
from pathlib import Path
from typing import NamedTuple

import matplotlib as mpl

mpl.use('svg')

from matplotlib import pyplot as plt

from bench.decisions.paired import difference
from bench.decisions.plays import Play, read_plays

ROOT = Path(__file__).parent.parent.parent
PLAYS = ROOT / 'bench' / 'data' / 'decisions'
PAGE = ROOT / 'docs' / 'decisions'
SHOWN = ('mended', 'start', 'returns')
MEASURES = ('worth', 'worst_windows', 'unserved', 'late', 'processor_s')
HEAD = ('comparison', 'days and seeds', *MEASURES)


class Comparison(NamedTuple):
    """Two variants of the code, with their names in docs/DECISIONS.md."""

    before: str
    after: str

    def __str__(self) -> str:
        """Return the names of both variants."""
        return f'{self.before} → {self.after}'


ROUNDS = (
    Comparison('mended', 'start'),
    Comparison('start', 'returns'),
    Comparison('start', 'returns by share'),
)
ABLATED = ('admission', 'claims', 'items', 'outliers', 'placing')
ABLATION = tuple(Comparison('returns', f'no {each}') for each in ABLATED)


def rows(plays: list[Play], compared: Iterable[Comparison]) -> list[str]:
    """Return the table: a row for each comparison, a cell for each measure."""
    lines = [_row(HEAD), _row('---' for _ in HEAD)]
    for each in compared:
        cells = [
            difference(plays, each.before, each.after, attrgetter(measure))
            for measure in MEASURES
        ]
        texts = (f'{cell.mean:+.3f} ± {cell.half_width:.3f}' for cell in cells)
        lines.append(_row((str(each), str(cells[0].pairs), *texts)))
    return lines


def plot(plays: list[Play], day: str, seed: int, path: Path) -> None:
    """Plot the share of worth earned over one day for each variant."""
    figure, axes = plt.subplots(figsize=(8, 3))
    for play in plays:
        if (play.day, play.seed) == (day, seed):
            starts, _, earned = zip(*play.windows, strict=True)
            axes.step(starts, earned, where='post', label=play.variant)
    axes.set_xlabel('seconds from the start of traffic')
    axes.set_ylabel('share of worth earned')
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def main() -> int:
    """Write the page with its tables and its plot."""
    plays = read_plays(PLAYS / 'nilepulse-race.jsonl')
    shown = [play for play in plays if play.variant in SHOWN]
    weakest = min(shown, key=attrgetter('worth'))
    PAGE.mkdir(exist_ok=True)
    plot(shown, weakest.day, weakest.seed, PAGE / 'weak-day.svg')
    text = (
        '# Paired differences\n',
        '\nWritten by `make decisions` from bench/data/decisions; the mean',
        ' and half of\nits 95% interval, paired by day and seed.\n',
        '\n## Rounds\n\n',
        *rows(plays, ROUNDS),
        '\n## Ablation\n\n',
        *rows(plays, ABLATION),
        f'\n## The weakest of these days\n\n{weakest.day}, seed ',
        f'{weakest.seed}:\n\n![worth by second](weak-day.svg)\n',
    )
    (PAGE / 'tables.md').write_text(''.join(text))
    return 0


def _row(cells: Iterable[str]) -> str:
    return f'| {" | ".join(cells)} |\n'


if __name__ == '__main__':
    sys.exit(main())
