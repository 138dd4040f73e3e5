"""Renders a burn report as one self-contained HTML page with a plot."""

from html import escape
from pathlib import Path
from typing import Any

WIDTH = 480
ROW_HEIGHT = 22
TEXT_BASELINE = 15
BAR_MARGIN = 3
BAR_LEFT = 190
# The burn rate at the right end of a bar: the threshold of the page alert.
MAX_SHOWN_BURN = 14.4
PAGE = """<!doctype html><html lang="en"><meta charset="utf-8">
<title>Burn of {service}</title>
<body><h1>Burn of {service}</h1>
<p>Burn rate 1 uses up the error budget in a quarter; bars end at 14.4.</p>
{plot}
<table>{rows}</table>
<p>Missing periods: {missing}</p></body></html>
"""


def write_page(report: dict[str, Any], path: str) -> None:
    """Write the HTML page of ``report`` to the file ``path``."""
    Path(path).write_text(render_page(report))


def render_page(report: dict[str, Any]) -> str:
    """Return the HTML page of ``report``."""
    bars = [
        (f'{kind}, {window}', rate)
        for window, rates in report['burn'].items()
        for kind, rate in rates.items()
    ]
    rows = [
        f'<tr><th>{escape(kind)}</th><td>target {objective["target"]}</td>'
        f'<td>good {objective["good"]}</td><td>bad {objective["bad"]}</td>'
        f'<td>left {_format_share(objective["budget_left"])}</td></tr>'
        for kind, objective in report['objectives'].items()
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


def _format_share(left: float | None) -> str:
    return 'unknown for this window' if left is None else f'{left:.1%}'


def _plot(bars: list[tuple[str, float]]) -> str:
    rate_bars = [_rate_bar(number, *rated) for number, rated in enumerate(bars)]
    height = ROW_HEIGHT * len(bars)
    return (
        f'<svg width="{WIDTH}" height="{height}"'
        f' role="img">{"".join(rate_bars)}</svg>'
    )


def _rate_bar(number: int, label: str, rate: float) -> str:
    top = number * ROW_HEIGHT
    length = min(1, rate / MAX_SHOWN_BURN) * (WIDTH - BAR_LEFT)
    colour = '#b00' if rate > 1 else '#484'
    return (
        f'<text x="0" y="{top + TEXT_BASELINE}" font-size="12">{escape(label)}'
        f' {rate:.2f}</text><rect x="{BAR_LEFT}" y="{top + BAR_MARGIN}"'
        f' width="{length:.1f}" height="{ROW_HEIGHT - 2 * BAR_MARGIN}"'
        f' fill="{colour}"/>'
    )
