"""``python -m soak`` runs seeds and prints the promises that were broken."""

from gevent import monkey

monkey.patch_all()

import json
import random
import shutil
import subprocess  # noqa: S404
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated

import typer

from cactusridge import logs
from cactusridge.descriptors import allow_many
from soak.run import run
from soak.schedule import FIRST_SEED_OF_SHAPES
from soak.variants import Size

REPORT = 'report.json'
LOGS = Path('.run/soak')
# What new seeds are drawn from.
NEW_SEEDS = range(FIRST_SEED_OF_SHAPES + 100, sys.maxsize)
app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def main(
    seeds: Annotated[str, typer.Option(help='As 7 or 1-50.')] = '101-150',
    at_once: Annotated[int, typer.Option(help='Runs at a time.')] = 3,
    seconds: Annotated[float, typer.Option(help='Faults begin.')] = 20,
    entries: Annotated[int, typer.Option(help='Entries.')] = 3,
    folder: Annotated[Path, typer.Option(help='For logs.')] = LOGS,
    drawn: Annotated[int, typer.Option(help='New seeds, in their place.')] = 0,
) -> None:
    """Run seeds, each in a process of its own; keep logs of what failed.

    Drawn seeds are of the newest kind; the report of each names it.
    """
    first, _, last = seeds.partition('-')
    wanted = range(int(first), int(last or first) + 1)
    if drawn:
        wanted = random.SystemRandom().sample(NEW_SEEDS, drawn)
    shown = [str(seconds), str(entries), str(folder)]
    if len(wanted) == 1:
        sys.exit(run_one(wanted[0], Size(seconds, entries), folder))
    with ThreadPoolExecutor(at_once) as workers:
        failed = list(
            workers.map(lambda seed: run_in_process(seed, shown), wanted),
        )
    sys.stdout.write(f'{len(wanted) - sum(failed)} passed, ')
    sys.stdout.write(f'{sum(failed)} failed\n')
    sys.exit(int(any(failed)))


def run_in_process(seed: int, shown: list[str]) -> int:
    """Run a seed in its own process; return 1 if the process failed."""
    seconds, entries, folder = shown
    options = ['--seconds', seconds, '--entries', entries, '--folder', folder]
    command = [sys.executable, '-m', 'soak', '--seeds', str(seed), *options]
    ended = subprocess.run(command, check=False)  # noqa: S603
    return int(ended.returncode != 0)


def run_one(seed: int, size: Size, folder: Path) -> int:
    """Run a seed in this process; return 1 if a promise was broken."""
    allow_many()
    place = folder / str(seed)
    shutil.rmtree(place, ignore_errors=True)
    place.mkdir(parents=True)
    with (place / 'standins.log').open('w') as own_log:
        logs.configure('json', own_log)
        record = run(seed, size, place)
    report = {
        'seed': seed,
        'size': size._asdict(),
        'figures': record.figures(),
        'spans': [list(disturbance) for disturbance in record.disturbances],
        'violations': [list(each) for each in record.violations],
    }
    (place / REPORT).write_text(json.dumps(report, indent=1))
    sys.stdout.write(f'seed {seed}: {record.figures()}\n')
    for each in record.violations:
        sys.stdout.write(f'seed {seed}: BROKEN {each.promise}: {each.text}\n')
    sys.stdout.flush()
    return int(bool(record.violations))


if __name__ == '__main__':
    app()
