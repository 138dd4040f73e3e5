"""The fleet of a soak, and operations that disturb it."""

import itertools
import math
import signal
import subprocess  # noqa: S404
import time
from pathlib import Path
from typing import Any

import gevent

from soak.configurations import Configurations
from soak.job_routes import GROUP_PREFIXES
from soak.planned_work import (
    CONFIGURATION,
    GRACE_S,
    RELOAD,
    STOP,
    PlannedWork,
)
from soak.record import Disturbance, Record
from soak.replica import SoakReplica
from soak.versions import VERSIONS
from standins.forwarder import Forwarder
from standins.machines.replica import MachineReplica
from standins.machines.site import ROUTES, MachineSite
from standins.machines.store import Place
from standins.waiting import wait_for

# Seconds after the end of a fault until the processes that it affected are
# assumed to have reconnected.
RECONNECT_S = 3
# Delay of the soak's own event loop, in seconds, above which its measurements
# say nothing about the fleet.
STALL_S = 0.3
TICK_S = 0.05


class World(MachineSite):
    """Entries behind proxies, a store, and replicas that can fail."""

    def __init__(self, folder: Path, replicas: int, slots: int) -> None:
        """Create the store and the replicas; ``begin`` starts the entries."""
        self.record = Record()
        super().__init__(folder, replicas, slots)
        self.caller_links: dict[str, Forwarder] = {}
        self.expected_exits: set[str] = set()
        self.paused: set[str] = set()
        self._starting: set[str] = set()
        self.finished = False
        self.active_disturbances: dict[object, tuple[float, str, bool]] = {}
        # Places of list entries that another writer has overwritten.
        self.spoiled: set[Place] = set()
        self.configurations = Configurations()
        # Limits on the requests of callers other than the usual ones.
        self.limits: dict[str, int] = {}
        # Seconds without data after which callers leave a stream, if they do.
        self.gap_s: float | None = None

    def make_replica(self, replica_id: str, slots: int) -> MachineReplica:
        """Return a replica that records its runs."""
        return SoakReplica(replica_id, slots, self.record)

    def path_of(self, item_id: str) -> str:
        """Return the path of a job item, in one of the groups of paths."""
        group = GROUP_PREFIXES[len(item_id) % len(GROUP_PREFIXES)]
        return f'{group}{item_id}'

    def mix_versions(self) -> None:
        """Give the replicas two software versions in turn."""
        versions = itertools.cycle(VERSIONS)
        for replica, version in zip(self.replicas, versions, strict=False):
            replica.version = version

    def begin(self, names: list[str]) -> None:
        """Start all processes and wait until every entry is ready."""
        self.start()
        self.reconfigure()
        for name in names:
            self.spawn_entry(name)
            link = Forwarder(self.addresses[name])
            link.start()
            self.caller_links[name] = link
        wait_for('all are ready', lambda: all(map(self.is_ready, names)))
        gevent.spawn(self._watch_stalls)

    def reconfigure(self) -> None:
        """Write a catalog version with a route that only this version has."""
        number = self.version + 1
        own = {
            'name': f'v{number}',
            'path_prefix': f'/v{number}/',
            'kind': 'idempotent',
        }
        routes = self.configurations.routes([*ROUTES, own])
        self.configurations.change_quota(self.record.organisations)
        sent_at = time.monotonic()
        holders = self.record.organisations.holders()
        self.configure(routes, holders, self.limits)
        self.record.versions[number] = time.monotonic()
        self._note_work(
            CONFIGURATION, '', sent_at, self.configurations.timeout_s
        )

    def begin_disturbance(self, key: object, what: str, planned: bool) -> None:
        """Record that a fault begins to disturb the fleet."""
        self.active_disturbances[key] = (time.monotonic(), what, planned)

    def end_disturbance(self, key: object) -> None:
        """Record that a fault ended, with time for processes to reconnect."""
        started_at, what, planned = self.active_disturbances.pop(key)
        until = time.monotonic() + RECONNECT_S
        self.record.disturbances.append(
            Disturbance(started_at, until, what, planned)
        )

    def is_running(self, name: str) -> bool:
        """Return whether an entry's process is running."""
        return self.entries[name].process.poll() is None

    def has_loaded(self, name: str) -> bool:
        """Return whether an entry's own code has started to run.

        For about 50 ms before that, the Python interpreter is starting, and
        a signal would end any program.
        """
        maps = Path(f'/proc/{self.entries[name].process.pid}/maps')
        return self.is_running(name) and 'gevent' in maps.read_text()

    def kill(self, name: str) -> None:
        """Kill an entry."""
        self.expected_exits.add(name)
        self.entries[name].kill()

    def stop_entry(self, name: str) -> bool:
        """Stop an entry gracefully; return whether it exited in time."""
        self.expected_exits.add(name)
        process = self.entries[name]
        self._note_work(STOP, name, time.monotonic())
        process.send(signal.SIGTERM)
        try:
            process.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return False
        return True

    def reload(self, name: str) -> None:
        """Send SIGHUP to an entry."""
        self._note_work(RELOAD, name, time.monotonic())
        self.entries[name].send(signal.SIGHUP)

    def restart(self, name: str) -> None:
        """Restart an entry if its process has exited."""
        if self.finished or self.is_running(name) or name in self._starting:
            return
        # Starting a process takes time. Without this mark, two faults that
        # end at the same time would both start the entry.
        self._starting.add(name)
        self.spawn_entry(name)
        self._starting.discard(name)
        self.expected_exits.discard(name)

    def pause(self, name: str) -> None:
        """Suspend an entry's process."""
        self.paused.add(name)
        self.entries[name].send(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume an entry's process."""
        self.paused.discard(name)
        self.entries[name].send(signal.SIGCONT)

    def record_unexpected_exits(self) -> None:
        """Record entries that exited although no fault ended them."""
        for name, process in self.entries.items():
            status = process.process.poll()
            if status is not None and name not in self.expected_exits:
                self.record.add_violation(
                    'own end', f'{name} ended with {status}'
                )
                self.expected_exits.add(name)

    def stop(self) -> None:
        """Stop all processes, proxies and servers of this soak."""
        self.finished = True
        for name in self.paused.copy():
            self.resume(name)
        for link in self.caller_links.values():
            link.stop()
        super().stop()

    def _note_work(
        self,
        what: str,
        entry: str,
        at: float,
        timeout_s: float = math.inf,
    ) -> None:
        self.record.planned_works.add(
            PlannedWork(what, entry, at, time.monotonic(), timeout_s)
        )

    def _watch_stalls(self) -> None:
        """Record when the event loop of this process was late."""
        while not self.finished:
            before = time.monotonic()
            gevent.sleep(TICK_S)
            late_s = time.monotonic() - before - TICK_S
            if late_s > STALL_S:
                until = time.monotonic() + RECONNECT_S
                self.record.disturbances.append(
                    Disturbance(
                        before, until, f'stall {late_s:.2f}', planned=False
                    ),
                )


def every_link(world: World) -> list[Any]:
    """Return every proxy of a soak."""
    return [
        *world.caller_links.values(),
        *world.store_links.values(),
        *world.replica_links,
    ]
