"""A burn report as a page with a plot, in one file."""

from html import escape
from pathlib import Path
from typing import Any

WIDTH = 480
ROW = 22
TEXT_DROP = 15
GAP = 3
BAR_LEFT = 190
SCALE = 14.4
PAGE = """<!doctype html><html lang="en"><meta charset="utf-8">
<title>Burn of {service}</title>
<body><h1>Burn of {service}</h1>
<p>Burn 1 uses the budget up in just a quarter; bars end at 14.4.</p>
{plot}
<table>{rows}</table>
<p>Missing periods: {missing}</p></body></html>
"""


def write_page(report: dict[str, Any], path: str) -> None:
    """Write the page for ``report`` to ``path``."""
    Path(path).write_text(render_page(report))


def render_page(report: dict[str, Any]) -> str:
    """Return the page for ``report``."""
    bars = [
        (f'{kind}, {window}', rate)
        for window, rates in report['burn'].items()
        for kind, rate in rates.items()
    ]
    rows = [
        f'<tr><th>{escape(kind)}</th><td>target {told["target"]}</td>'
        f'<td>good {told["good"]}</td><td>bad {told["bad"]}</td>'
        f'<td>left {_share(told["budget_left"])}</td></tr>'
        for kind, told in report['objectives'].items()
    ]
    missing = [
        f'{gap["entry"]} after {gap["after"]}' for gap in report['missing']
    ]
    return PAGE.format(
        service=escape(report['service']),
        plot=_plot(bars),
        rows=''.join(rows),
        missing=escape(', '.join(missing) or 'none'),
    )


def _share(left: float | None) -> str:
    return 'not known from this window' if left is None else f'{left:.1%}'


def _plot(bars: list[tuple[str, float]]) -> str:
    drawn = [_rate_bar(number, *rated) for number, rated in enumerate(bars)]
    height = ROW * len(bars)
    return (
        f'<svg width="{WIDTH}" height="{height}"'
        f' role="img">{"".join(drawn)}</svg>'
    )


def _rate_bar(number: int, label: str, rate: float) -> str:
    top = number * ROW
    length = min(1, rate / SCALE) * (WIDTH - BAR_LEFT)
    colour = '#b00' if rate > 1 else '#484'
    return (
        f'<text x="0" y="{top + TEXT_DROP}" font-size="12">{escape(label)}'
        f' {rate:.2f}</text><rect x="{BAR_LEFT}" y="{top + GAP}"'
        f' width="{length:.1f}" height="{ROW - 2 * GAP}" fill="{colour}"/>'
    )
