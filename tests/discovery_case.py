"""A test case for the replica list with manually added rows."""

import operator
import unittest
from unittest import mock

import gevent

from cactusridge import logs, wire
from cactusridge.clock import ManualClock
from cactusridge.errors import BadRequest
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.platform.discovery import PREFIX, Discovery
from cactusridge.store.table import Row
from standins.machines.corrupt_entries import CORRUPTIONS

BORN = 1_764_720_000_000
ENTRY = {
    'service': 'model',
    'address': '127.0.0.1:8000',
    'zone': 'z',
    'version': '1',
    'slots': 8,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'sequence': 0,
    'born': BORN,
}
# A row of an older platform version, without the start time.
UNTOLD = {name: held for name, held in ENTRY.items() if name != 'born'}


def row_of(raw: bytes, key: str, version: int) -> Row:
    """Return the row that the table reader makes of the value ``raw``."""
    try:
        held = wire.decode(raw)
    except BadRequest:
        held = None
    return Row(key, held, version, unreadable=held is None)


class DiscoveryCase(unittest.TestCase):
    """A replica list with a manual clock and recorded events."""

    def setUp(self):
        """Create a replica list; record its events and timers."""
        self.clock = ManualClock()
        self.fleet = FleetView()
        self.list = Discovery(self.fleet, self.clock)
        self.version = 0
        self.events = []
        self.timers = []
        for patch in (
            mock.patch.object(logs, 'emit', self.note),
            mock.patch.object(gevent, 'spawn_later', self.spawn_later),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def note(self, event, **fields):
        """Record an event."""
        self.events.append((event, fields))

    def spawn_later(self, wait_s, call):
        """Record a call that is due in ``wait_s`` seconds."""
        self.timers.append((self.clock.monotonic() + wait_s, call))

    def advance(self, passed_s):
        """Advance the clock; run the calls that become due, in order."""
        until = self.clock.monotonic() + passed_s
        while min((at for at, _ in self.timers), default=until + 1) <= until:
            self.timers.sort(key=operator.itemgetter(0))
            at, call = self.timers.pop(0)
            self.clock.now = max(at, self.clock.now)
            call()
        self.clock.now = until

    def logged(self, event):
        """Return the number of times that ``event`` was logged."""
        return sum(each == event for each, _ in self.events)

    def back(self):
        """Notify the list of the end of a store outage."""
        self.list.store_recovered(self.clock.monotonic())

    def put(self, replica_id, entry, **changes):
        """Put a row of a replica into the list and return it."""
        self.version += 1
        raw = wire.encode({**entry, **changes})
        row = row_of(raw, f'{PREFIX}{replica_id}', self.version)
        self.list.put(row)
        return row

    def remove(self, replica_id):
        """Remove the row of a replica from the list."""
        self.version += 1
        self.list.put(Row(f'{PREFIX}{replica_id}', None, self.version))

    def spoil(self, replica_id, how):
        """Put an invalid row of a replica into the list and return it."""
        self.version += 1
        raw = CORRUPTIONS[how](ENTRY)
        row = row_of(raw, f'{PREFIX}{replica_id}', self.version)
        self.list.put(row)
        return row

    def in_choice(self):
        """Return the ids of the replicas that accept new work."""
        return {replica.id for replica in self.fleet.ready('model')}
