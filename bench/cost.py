"""Processor time and memory of the request path, by open streams."""

import sys
import tempfile
import time
from pathlib import Path

import gevent

from bench.caller import Caller
from bench.slopes import Fit, fit_line
from bench.trace import Event
from standins.fleet_plan import FleetPlan
from standins.local_fleet import LocalFleet

STREAMS = (10, 25, 50, 100)
SPEED = {'step_s': 0.04, 'per_stream_s': 0, 'slots': 400}
WARM_UP_S = 1
WINDOW_S = 4
TICKS_PER_S = 100
PAGE_BYTES = 4096
TOKENS = 100_000


class Usage:
    """Processor time in seconds and resident bytes of one process."""

    def __init__(self, pid: int) -> None:
        """Read the current values from /proc."""
        stat = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
        self.cpu_s = (int(stat[11]) + int(stat[12])) / TICKS_PER_S
        statm = Path(f'/proc/{pid}/statm').read_text().split()
        self.bytes = int(statm[1]) * PAGE_BYTES


def run_streams(fleet: LocalFleet, count: int) -> dict[str, tuple[float, ...]]:
    """Keep ``count`` streams open for ``WINDOW_S`` seconds.

    Returns tokens per second, processor share and resident bytes by process.
    """
    caller = Caller([fleet.addresses['entry-0']])
    event = Event(0, tokens=TOKENS, prompt_tokens=10, deadline_s=600)
    streams = [gevent.spawn(caller.send, event, 0) for _ in range(count)]
    gevent.sleep(WARM_UP_S)
    names = ('entry-0', 'sidecar-0')
    before = {name: Usage(fleet.processes[name].process.pid) for name in names}
    made = _generated(fleet)
    began = time.monotonic()
    gevent.sleep(WINDOW_S)
    elapsed_s = time.monotonic() - began
    tokens = (_generated(fleet) - made) / elapsed_s
    after = {name: Usage(fleet.processes[name].process.pid) for name in names}
    gevent.killall(streams)
    gevent.sleep(WARM_UP_S)
    return {
        name: (
            tokens,
            (after[name].cpu_s - before[name].cpu_s) / elapsed_s,
            after[name].bytes,
        )
        for name in names
    }


def _generated(fleet: LocalFleet) -> int:
    return fleet.call('engine-0', '/load', method='GET')[1]['generated']


def measure() -> list[Fit]:
    """Run a fleet at each stream count and return the fits of both roles."""
    plan = FleetPlan(entries=1, sidecars=1, slots=400, engine_speed=SPEED)
    with tempfile.TemporaryDirectory() as folder:
        fleet = LocalFleet(Path(folder), plan)
        try:
            fleet.start()
            found = [run_streams(fleet, count) for count in STREAMS]
        finally:
            fleet.kill_all()
    fits = []
    for name in ('entry-0', 'sidecar-0'):
        role = name.partition('-')[0]
        rates = [round(each[name][0]) for each in found]
        shares = [each[name][1] * 1e6 for each in found]
        sizes = [each[name][2] for each in found]
        fits.append(fit_line(f'{role}: a streamed token', 'us', rates, shares))
        fits.append(fit_line(f'{role}: open stream', 'bytes', STREAMS, sizes))
    return fits


def main() -> int:
    """Measure and print the fits."""
    for fit in measure():
        sys.stdout.write(
            f'{fit.name:30} {fit.unit:6} {fit.base:12.0f} +'
            f' {fit.slope:10.2f} each, fit {fit.fit:.3f};'
            f' {fit.sizes} {fit.found}\n',
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
