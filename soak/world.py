"""The fleet of a soak: entries as processes, and ways to harm them."""

import signal
import subprocess  # noqa: S404
import time
from pathlib import Path
from typing import Any

import gevent

from soak.record import Record, Span
from soak.replica import SoakReplica
from standins.forwarder import Forwarder
from standins.machines.replica import MachineReplica
from standins.machines.site import ROUTES, MachineSite
from standins.machines.store import Place
from standins.waiting import wait_for

# A planned stop has to be over within this time, in seconds.
GRACE_S = 8
# A process that took part in no fault for so long is in touch again.
CONTACT_S = 3
# The soak's own loop was late by so much: what it measured meanwhile
# says nothing of the fleet.
STALL_S = 0.3
TICK_S = 0.05


class World(MachineSite):
    """Entries behind proxies, the store, and replicas that can fail."""

    def __init__(self, folder: Path, replicas: int, slots: int) -> None:
        """Make everything but the entries."""
        self.record = Record()
        super().__init__(folder, replicas, slots)
        self.caller_links: dict[str, Forwarder] = {}
        self.ending: set[str] = set()
        self.paused: set[str] = set()
        self._starting: set[str] = set()
        self.over = False
        self.active: dict[object, tuple[float, str, bool]] = {}
        # Entries of replicas that another writer has overwritten.
        self.spoiled: set[Place] = set()

    def make_replica(self, replica_id: str, slots: int) -> MachineReplica:
        """Return a replica that notes its runs."""
        return SoakReplica(replica_id, slots, self.record)

    def begin(self, names: list[str]) -> None:
        """Start everything and wait until every entry is ready."""
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
        """Put a version in force whose own route replaces the last one's."""
        number = self.version + 1
        own = {
            'name': f'v{number}',
            'path_prefix': f'/v{number}/',
            'kind': 'idempotent',
        }
        self.configure([*ROUTES, own])
        self.record.versions[number] = time.monotonic()

    def disturb(self, key: object, what: str, planned: bool) -> None:
        """Note that something begins to disturb the fleet."""
        self.active[key] = (time.monotonic(), what, planned)

    def undisturb(self, key: object) -> None:
        """Note that it is over, for what was in touch all the while."""
        begun_at, what, planned = self.active.pop(key)
        until = time.monotonic() + CONTACT_S
        self.record.spans.append(Span(begun_at, until, what, planned))

    def lives(self, name: str) -> bool:
        """Tell whether an entry's process runs."""
        return self.entries[name].process.poll() is None

    def loads(self, name: str) -> bool:
        """Tell whether an entry's own code has begun to run.

        Before that, for some 50 ms, it is the interpreter's start that a
        signal meets, and no program can stand one.
        """
        maps = Path(f'/proc/{self.entries[name].process.pid}/maps')
        return self.lives(name) and 'gevent' in maps.read_text()

    def kill(self, name: str) -> None:
        """End an entry at once."""
        self.ending.add(name)
        self.entries[name].kill()

    def stop_entry(self, name: str) -> bool:
        """Stop an entry as planned; tell whether it ended in time."""
        self.ending.add(name)
        process = self.entries[name]
        process.send(signal.SIGTERM)
        try:
            process.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return False
        return True

    def restart(self, name: str) -> None:
        """Start an entry again if its process has ended."""
        if self.over or self.lives(name) or name in self._starting:
            return
        # Starting a process takes a while, and two faults that end
        # together would both begin it.
        self._starting.add(name)
        self.spawn_entry(name)
        self._starting.discard(name)
        self.ending.discard(name)

    def pause(self, name: str) -> None:
        """Suspend an entry's process."""
        self.paused.add(name)
        self.entries[name].send(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let an entry's process go on."""
        self.paused.discard(name)
        self.entries[name].send(signal.SIGCONT)

    def note_own_ends(self) -> None:
        """Note the entries that ended though nobody asked them to."""
        for name, process in self.entries.items():
            status = process.process.poll()
            if status is not None and name not in self.ending:
                self.record.broke('own end', f'{name} ended with {status}')
                self.ending.add(name)

    def stop(self) -> None:
        """End what this soak has started."""
        self.over = True
        for name in self.paused.copy():
            self.resume(name)
        for link in self.caller_links.values():
            link.stop()
        super().stop()

    def _watch_stalls(self) -> None:
        """Note when this process itself could not keep time."""
        while not self.over:
            before = time.monotonic()
            gevent.sleep(TICK_S)
            late_s = time.monotonic() - before - TICK_S
            if late_s > STALL_S:
                until = time.monotonic() + CONTACT_S
                self.record.spans.append(
                    Span(before, until, f'stall {late_s:.2f}', planned=False),
                )


def every_link(world: World) -> list[Any]:
    """Return every proxy of a soak."""
    return [
        *world.caller_links.values(),
        *world.store_links.values(),
        *world.replica_links,
    ]
