"""Starts the whole demo; with ``--check`` tries it and stops again."""

from gevent import monkey

monkey.patch_all()

import argparse
import signal
import sys
import tempfile
from pathlib import Path

import gevent
from gevent.event import Event

from demo.check import run_check
from standins.fleet_plan import FleetPlan
from standins.local_fleet import LocalFleet

PORTS = (8400, 8401)


def main(args: list[str]) -> int:
    """Run the demo and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--check', action='store_true')
    parser.add_argument('--ports', type=int, nargs=2, default=PORTS)
    options = parser.parse_args(args)
    with tempfile.TemporaryDirectory() as folder:
        plan = FleetPlan(entry_ports=tuple(options.ports))
        fleet = LocalFleet(Path(folder), plan)
        try:
            return serve(fleet, options.check)
        finally:
            fleet.kill_all()


def serve(fleet: LocalFleet, check: bool) -> int:
    """Start the fleet, serve or check it, and stop it.

    Returns 1 if a check or a process failed, else 0.
    """
    fleet.start()
    urls = ' and '.join(map(fleet.url, fleet.names_of_kind('entry')))
    sys.stdout.write(f'ready: {urls}, token demo\n')
    sys.stdout.flush()
    failures = 0
    if check:
        failures = run_check(fleet, sys.stdout)
    else:
        wait_for_signal()
    statuses = fleet.stop()
    failed = {name: code for name, code in statuses.items() if code}
    sys.stdout.write(f'stopped {len(statuses)} processes; failed: {failed}\n')
    return 1 if failures or failed else 0


def wait_for_signal() -> None:
    """Wait for SIGINT (Ctrl-C) or SIGTERM."""
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    stop.wait()


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
