"""Plays changes of a list of replicas to the reader and a naive model."""

from cactusridge import wire
from cactusridge.fleet.incarnation_listener import IncarnationListener
from cactusridge.fleet.replica import incarnation_key
from cactusridge.platform.discovery import EXPIRED_GRACE_S, PREFIX
from cactusridge.store.table import Row
from standins.machines.corrupt_entries import CORRUPTIONS
from tests.discovery_case import BORN, UNTOLD, DiscoveryCase, row_of
from tests.naive_list import Entry, NaiveList


class Ends(IncarnationListener):
    """Records the incarnations that have ended."""

    def __init__(self):
        """Create a listener without records."""
        self.incarnations = []

    def incarnation_ended(self, incarnation):
        """Record the incarnation."""
        self.incarnations.append(incarnation)


class Play(DiscoveryCase):
    """Plays steps to a store, its reader and the naive model."""

    def runTest(self):  # noqa: N802
        """Do nothing; the steps are the test."""

    def begin(self):
        """Start with an empty list."""
        self.setUp()
        self.naive = NaiveList(EXPIRED_GRACE_S)
        self.ends = Ends()
        self.fleet.add_incarnation_listener(self.ends)
        # The version and the payload of each row by replica id; the payload of
        # a removed row is None.
        self.store = {}
        self.history = []
        self.pending = {}

    def play(self, todo):
        """Play the steps, and compare both readers after each."""
        self.begin()
        try:
            for name, *rest in todo:
                getattr(self, name)(*rest)
                self.compare()
        finally:
            self.doCleanups()

    def write(self, replica_id, payload):
        """Write an entry, write an unreadable one, or remove it."""
        self.version += 1
        self.store[replica_id] = (self.version, payload)
        self.pending.pop(replica_id, None)
        self.pending[replica_id] = self.store[replica_id]
        self.history.append((replica_id, self.store[replica_id]))

    def feed(self):
        """Deliver all pending changes to the reader."""
        for replica_id, (version, payload) in self.pending.items():
            self.tell(replica_id, version, payload)
        self.pending = {}

    def whole(self):
        """Let the reader read all rows."""
        there = {
            replica_id: row
            for replica_id, row in self.store.items()
            if row[1] is not None
        }
        self.list.retain({f'{PREFIX}{each}' for each in there})
        for replica_id, (version, payload) in there.items():
            self.list.put(self.row(replica_id, version, payload))
        self.naive.whole(
            {
                replica_id: payload if isinstance(payload, Entry) else None
                for replica_id, (_, payload) in there.items()
            },
        )
        self.pending = {}

    def late(self, number):
        """Deliver an old row to the reader again."""
        if self.history:
            replica_id, row = self.history[number % len(self.history)]
            self.tell(replica_id, *row)

    def away(self):
        """End an outage of the store."""
        self.pending = {}
        self.list.store_recovered(self.clock.monotonic())
        self.naive.regained()
        self.whole()

    def wait(self, passed_s):
        """Advance the time."""
        self.advance(passed_s)
        self.naive.advance(passed_s)

    def tell(self, replica_id, version, payload):
        """Deliver one row to both readers."""
        self.list.put(self.row(replica_id, version, payload))
        if payload is None:
            self.naive.remove(replica_id)
        else:
            entry = payload if isinstance(payload, Entry) else None
            self.naive.put(replica_id, entry)

    def row(self, replica_id, version, payload):
        """Return a row as the reader of rows receives it."""
        key = f'{PREFIX}{replica_id}'
        if payload is None:
            return Row(key, None, version)
        if not isinstance(payload, Entry):
            return row_of(CORRUPTIONS[payload](UNTOLD), key, version)
        fields = {
            **UNTOLD,
            'state': payload.state,
            'address': f'127.0.0.1:{payload.port}',
        }
        if payload.born is not None:
            fields['born'] = BORN + payload.born
        return row_of(wire.encode(fields), key, version)

    def compare(self):
        """Check that both readers use the same replicas and incarnations."""
        found = {
            (
                each.id,
                each.started_at_ms and each.started_at_ms - BORN,
                each.address.port,
            )
            for each in self.fleet.ready('model')
        }
        self.assertEqual(self.naive.in_choice(), found)
        ended = [
            incarnation_key(replica_id, born and BORN + born or 0)
            for replica_id, born in self.naive.ended
        ]
        self.assertEqual(ended, self.ends.incarnations)
        for incarnation in ended:
            self.assertIsNone(self.fleet.get(incarnation))
        for each in self.fleet.ready('model'):
            self.assertIs(each, self.fleet.get(each.incarnation))
