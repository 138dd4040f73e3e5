"""Replays the traces and writes docs/MEASUREMENTS.md and its plots."""

import sys
from pathlib import Path

import matplotlib as mpl

mpl.use('svg')

from matplotlib import pyplot as plt

from bench.outcomes import Outcome
from bench.replay import NAIVE, NO_BATCH, NO_ONLINE, OURS, Replay
from bench.takeover import takeover_section
from bench.trace import load_trace, save_trace
from bench.traces import make_traces

DOCS = Path(__file__).parent.parent / 'docs'
TRACES = Path(__file__).parent / 'data'
TAKEOVER = 'takeover'
POLICIES = (OURS, NAIVE, NO_BATCH, NO_ONLINE)
HEAD = (
    'policy',
    'first p50',
    'first p95',
    'first p99',
    'between p95',
    'between p99',
    'committed tok/s',
    'batch tok/s',
    'all tok/s',
    'failed',
    'attempts',
    'begun twice',
    'due met',
)
INTRO = """# Measurements

Written by `make bench` from one run; times in milliseconds, every figure
from the bench's own clocks and the stand-ins' own counters. Machines are
noisy: read ratios within one trace, not figures across pages. The engine
stand-in admits in arrival order, {slots} slots, 4 ms a step and 0.5 ms
more for each stream, 0.02 ms a prompt character not in its prefix cache.

Batch tokens are those generated less the online ones delivered; committed
ones are fewer in so short a run, since a chunk counts when it is whole.
Asked for and not reached: batch at 0.90 of what idle capacity would allow.
Slots that online used in the last 0.75 s stay free, and at light load that
is most of the difference. In the retry storm all engines cut every
connection for two seconds, about 60 requests' worth.
"""
TARGETS = """
Harm to first-token p99: **{harm:.2f}** x the run without batch (asked:
1.10 or less under the flood). Against naive: {naive:.2f} x its p99.
Fleet use: all tokens generated are **{use:.2f}** x those of the run
without online requests; batch tokens **{batch:.2f}** x those of naive.
"""


def main(names: list[str]) -> int:
    """Replay the traces in ``names``, or all if empty; write the page."""
    TRACES.mkdir(exist_ok=True)
    sections = []
    for trace in make_traces():
        if names and trace.name not in names:
            continue
        replayed = load_trace(save_trace(trace, TRACES), trace)
        outcomes = [Replay(replayed, policy).run() for policy in POLICIES]
        plot(outcomes)
        sections.append(section(outcomes))
        sys.stdout.write(sections[-1])
        sys.stdout.flush()
    if not names or TAKEOVER in names:
        sections.append(takeover_section())
        sys.stdout.write(sections[-1])
    text = INTRO.format(slots=8) + '\n'.join(sections)
    (DOCS / 'MEASUREMENTS.md').write_text(text)
    return 0


def section(outcomes: list[Outcome]) -> str:
    """Return the section of one trace with its table and ratios."""
    ours, naive, no_batch, no_online = outcomes
    name = ours.trace
    lines = [
        f'\n## {name}\n',
        f'![{name}](plots/{name}.svg)\n',
        f'| {" | ".join(HEAD)} |',
        f'|{" --- |" * len(HEAD)}',
        *(f'| {" | ".join(row(each))} |' for each in outcomes),
    ]
    ratios = TARGETS.format(
        harm=ratio(ours.first_ms(99), no_batch.first_ms(99)),
        naive=ratio(ours.first_ms(99), naive.first_ms(99)),
        batch=ratio(ours.batch_made_per_s(), naive.batch_made_per_s()),
        use=ratio(ours.generated_per_s(), no_online.generated_per_s()),
    )
    return '\n'.join(lines) + ratios


def row(outcome: Outcome) -> list[str]:
    """Return the table cells of one replay."""
    due = outcome.due_met + outcome.due_missed
    return [
        outcome.policy,
        *(f'{outcome.first_ms(each):.0f}' for each in (50, 95, 99)),
        *(f'{outcome.gap_ms(each):.1f}' for each in (95, 99)),
        f'{outcome.batch_per_s():.0f}',
        f'{outcome.batch_made_per_s():.0f}',
        f'{outcome.generated_per_s():.0f}',
        f'{outcome.failed()} of {len(outcome.answers)}',
        f'{outcome.attempts:.3f}',
        f'{outcome.redone:.1%}',
        f'{outcome.due_met} of {due}' if due else '',
    ]


def ratio(part: float, whole: float) -> float:
    """Return ``part`` divided by ``whole``, or 0 if ``whole`` is 0."""
    return part / whole if whole else 0


def plot(outcomes: list[Outcome]) -> None:
    """Plot first-token times and tokens per second over time."""
    figure, (top, bottom) = plt.subplots(2, 1, sharex=True, figsize=(8, 5))
    for outcome in outcomes:
        whole = [each for each in outcome.answers if each.outcome == 'whole']
        if whole:
            top.plot(
                [each.at for each in whole],
                [each.first_s * 1000 for each in whole],
                '.',
                markersize=3,
                label=outcome.policy,
            )
        curve = outcome.batch_curve
        rates = [
            (after[1] - before[1]) / (after[0] - before[0])
            for before, after in zip(curve, curve[1:], strict=False)
        ]
        times = [stamp for stamp, _ in curve[1:]]
        bottom.plot(times, rates, label=outcome.policy)
    top.set_ylabel('first token, ms')
    top.legend(fontsize=7)
    bottom.set_ylabel('all tokens a second')
    bottom.set_xlabel('seconds')
    folder = DOCS / 'plots'
    folder.mkdir(exist_ok=True)
    figure.savefig(folder / f'{outcomes[0].trace}.svg')
    plt.close(figure)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
