"""Plays what happens to a list of replicas to both of its readers."""

from cactusridge import wire
from cactusridge.fleet.life_listener import LifeListener
from cactusridge.fleet.replica import incarnation_key
from cactusridge.platform.discovery import LAPSED_GRACE_S, PREFIX
from cactusridge.store.table import Row
from standins.machines.spoiled import SPOILED
from tests.discovery_case import BORN, UNTOLD, DiscoveryCase, row_of
from tests.naive_list import Entry, NaiveList


class Ends(LifeListener):
    """Keeps the lives that have ended."""

    def __init__(self):
        """Start with none."""
        self.lives = []

    def life_ended(self, life):
        """Keep it."""
        self.lives.append(life)


class Play(DiscoveryCase):
    """Plays steps at a store, its reader and the naive one."""

    def runTest(self):  # noqa: N802
        """There is none of its own."""

    def begin(self):
        """Start with an empty list."""
        self.setUp()
        self.naive = NaiveList(LAPSED_GRACE_S)
        self.ends = Ends()
        self.fleet.on_life_end(self.ends)
        # By id: the version and what is there, None once removed.
        self.store = {}
        self.history = []
        self.unheard = {}

    def play(self, todo):
        """Play the steps; compare after each."""
        self.begin()
        try:
            for name, *rest in todo:
                getattr(self, name)(*rest)
                self.compare()
        finally:
            self.doCleanups()

    def write(self, replica_id, held):
        """Write an entry, spoil it, or remove it."""
        self.version += 1
        self.store[replica_id] = (self.version, held)
        self.unheard.pop(replica_id, None)
        self.unheard[replica_id] = self.store[replica_id]
        self.history.append((replica_id, self.store[replica_id]))

    def feed(self):
        """Let the reader hear of what has changed."""
        for replica_id, (version, held) in self.unheard.items():
            self.tell(replica_id, version, held)
        self.unheard = {}

    def whole(self):
        """Let the reader read everything."""
        there = {
            replica_id: row
            for replica_id, row in self.store.items()
            if row[1] is not None
        }
        self.list.keep_only({f'{PREFIX}{each}' for each in there})
        for replica_id, (version, held) in there.items():
            self.list.put(self.row(replica_id, version, held))
        self.naive.whole(
            {
                replica_id: held if isinstance(held, Entry) else None
                for replica_id, (_, held) in there.items()
            },
        )
        self.unheard = {}

    def late(self, number):
        """Let the reader hear of an old row once more."""
        if self.history:
            replica_id, row = self.history[number % len(self.history)]
            self.tell(replica_id, *row)

    def away(self):
        """Let the store be back after an outage."""
        self.unheard = {}
        self.list.regained(self.clock.monotonic())
        self.naive.regained()
        self.whole()

    def wait(self, passed_s):
        """Let time pass."""
        self.advance(passed_s)
        self.naive.advance(passed_s)

    def tell(self, replica_id, version, held):
        """Tell both readers of one row."""
        self.list.put(self.row(replica_id, version, held))
        if held is None:
            self.naive.remove(replica_id)
        else:
            entry = held if isinstance(held, Entry) else None
            self.naive.put(replica_id, entry)

    def row(self, replica_id, version, held):
        """Return a row as the reader of rows has it."""
        key = f'{PREFIX}{replica_id}'
        if held is None:
            return Row(key, None, version)
        if not isinstance(held, Entry):
            return row_of(SPOILED[held](UNTOLD), key, version)
        said = {
            **UNTOLD,
            'state': held.state,
            'address': f'127.0.0.1:{held.port}',
        }
        if held.born is not None:
            said['born'] = BORN + held.born
        return row_of(wire.encode(said), key, version)

    def compare(self):
        """Both readers have to use the same replicas and lives."""
        found = {
            (each.id, each.born and each.born - BORN, each.address.port)
            for each in self.fleet.ready('model')
        }
        self.assertEqual(self.naive.in_choice(), found)
        ended = [
            incarnation_key(replica_id, born and BORN + born or 0)
            for replica_id, born in self.naive.ended
        ]
        self.assertEqual(ended, self.ends.lives)
        for life in ended:
            self.assertIsNone(self.fleet.get(life))
        for each in self.fleet.ready('model'):
            self.assertIs(each, self.fleet.get(each.life))
