"""Measures all slopes and writes docs/CAPACITY.md."""

import sys
from pathlib import Path

from bench import capacity, cost
from bench.capacity_figures import (
    Figure,
    entry_figures,
    open_spans,
    platform_figures,
    sidecar_figures,
)
from bench.slopes import Fit

PAGE = Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'
TEXT = Path(__file__).parent / 'capacity_text.md'


def slopes_table(fits: list[Fit]) -> str:
    """Return the measured slopes as a Markdown table."""
    rows = [
        f'| {fit.name} | {fit.unit} | {fit.base:,.0f} | {fit.slope:,.4f} |'
        f' {fit.fit:.3f} | {fit.sizes[0]:,} to {fit.sizes[-1]:,} |'
        for fit in fits
    ]
    head = '| what | unit | base | slope each | fit | sizes |'
    return '\n'.join((head, '| --- | --- | --- | --- | --- | --- |', *rows))


def table(figures: list[Figure]) -> str:
    """Return the estimates as a Markdown table."""
    head = '| what | at the target | unit | limit | share | carried by |'
    rows = [figure.row() for figure in figures]
    return '\n'.join((head, f'|{" --- |" * 6}', *rows))


def summed(figures: list[Figure], kind: str) -> float:
    """Return the sum of the figures whose name begins with ``kind``."""
    return sum(each.found for each in figures if each.what.startswith(kind))


def main() -> int:
    """Measure, then write and print the page."""
    found = capacity.measure()
    listed = [Fit(**raw) for raw in found['fits']] + cost.measure()
    fits = {fit.name: fit for fit in listed}
    sizes = found['messages']
    platform = platform_figures()
    text = TEXT.read_text().format(
        slopes=slopes_table(listed),
        messages='\n'.join(
            f'- {name}: {size:.1f}' for name, size in sizes.items()
        ),
        entry=table(entry_figures(fits, sizes)),
        sidecar=table(sidecar_figures(fits, sizes)),
        platform=table(platform),
        writes=f'{summed(platform, "writes"):.0f}',
        reads=f'{summed(platform, "reads"):.0f}',
        spans=f'{open_spans():.0f}',
    )
    PAGE.write_text(text)
    sys.stdout.write(text)
    return 0


if __name__ == '__main__':
    sys.exit(main())
