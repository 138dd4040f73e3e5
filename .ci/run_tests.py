"""Runs each test module in a process of its own, some at a time."""

import os
import subprocess  # noqa: S404
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent
REPORTS = ROOT / '.run'
# Modules mostly wait, so that six of them keep two processors busy.
MIN_AT_ONCE = 6
MAX_AT_ONCE = 8
# The longest go first, each before the shorter ones, so that none is left alone
# at the end.
LONGEST = (
    'test_crashing_requests',
    'test_silent_replicas',
    'test_soak',
    'test_out_of_step',
    'test_no_answers',
    'test_silent_refusals',
    'test_limits',
    'test_stream_versions',
    'test_keys_on_machines',
    'test_parts_shared',
    'test_limits_roll',
    'test_machine_links',
    'test_stop_table',
    'test_crashing_parts',
    'test_uneven_play',
    'test_config_resumed',
    'test_chaos',
    'test_queue_play',
    'test_slow_callers',
    'test_frozen',
    'test_late_loop',
    'test_burst_play',
    'test_config_keys',
    'test_machine_path',
    'test_limits_outage',
    'test_machine_lives',
    'test_poison',
    'test_job_routes',
    'test_machine_failures',
    'test_config_feed',
    'test_killed',
    'test_bad_jobs',
    'test_early_jobs',
    'test_stopping',
    'test_crash_sharers',
    'test_exactly_once',
    'test_crashing_prompts',
    'test_processes',
    'test_silent_replica_items',
    'test_endless_answers',
    'test_endless_comments',
    'test_early_ends',
    'test_late_in_grace',
    'test_hangup',
    'test_sound_silence',
    'test_server',
    'test_stop_end',
    'test_hot_entry',
    'test_waiting_callers',
    'test_limits_chaos',
)


def report_of(module: str) -> Path:
    """Return where a module's JUnit report goes."""
    return REPORTS / f'{module}.xml'


def modules() -> list[str]:
    """Return every test module, the longest first."""
    found = [path.stem for path in (ROOT / 'tests').glob('test_*.py')]
    places = {name: place for place, name in enumerate(LONGEST)}
    return sorted(found, key=lambda name: (places.get(name, len(places)), name))


def run(module: str) -> int:
    """Run one module; print what it said; return its exit status."""
    command = (
        *(sys.executable, '-m', 'nose2', '--config', 'tests/nose2.cfg'),
        *('-s', 'tests', '-t', '.', '-v'),
        *('--junit-xml-path', str(report_of(module))),
        f'tests.{module}',
    )
    ended = subprocess.run(  # noqa: S603
        command,
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    sys.stdout.write(f'== {module}\n{ended.stdout}')
    sys.stdout.flush()
    return ended.returncode


def main() -> int:
    """Run everything; return 0 only if each module's run did."""
    REPORTS.mkdir(exist_ok=True)
    names = modules()
    for name in names:
        report_of(name).unlink(missing_ok=True)
    at_once = max(MIN_AT_ONCE, min(MAX_AT_ONCE, os.cpu_count() or 1))
    with ThreadPoolExecutor(at_once) as workers:
        statuses = list(workers.map(run, names))
    return int(any(statuses))


if __name__ == '__main__':
    sys.exit(main())
