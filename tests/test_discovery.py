"""The list of replicas: what names one to use, and what does not."""

from nose2.tools import params

from cactusridge import events
from cactusridge.platform.discovery import LAPSED_GRACE_S, PREFIX
from cactusridge.store.table import Row
from standins.machines.spoiled import SPOILED
from tests.discovery_case import BORN, ENTRY, DiscoveryCase


class TestUnreadable(DiscoveryCase):
    """Entries of another writer."""

    def setUp(self):
        """Know two replicas."""
        super().setUp()
        self.put('i-0', ENTRY)
        self.put('i-1', ENTRY)

    @params(*SPOILED)
    def test_known_one_leaves_at_once(self, how):
        """It leaves the choice, also in a grace; the others hold."""
        self.list.regained()
        self.spoil('i-0', how)
        self.assertEqual({'i-1'}, self.in_choice())
        self.put('i-0', ENTRY)
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())

    @params(*SPOILED)
    def test_unknown_one_does_not_come(self, how):
        """An entry that cannot be read names no replica."""
        self.spoil('i-2', how)
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())

    @params(*(how for how in SPOILED if how != 'service not named'))
    def test_logged_once_a_version(self, how):
        """Reading everything again says nothing new."""
        row = self.spoil('i-0', how)
        for _ in range(3):
            self.list.keep_only({f'{PREFIX}i-0', f'{PREFIX}i-1'})
            self.list.put(row)
        self.assertEqual(1, self.logged(events.HOST_UNREADABLE))
        self.spoil('i-0', how)
        self.assertEqual(2, self.logged(events.HOST_UNREADABLE))

    @params('', 'a\r\nX: 1', 'a b', 'é', 'n' * 201)
    def test_ids_that_cannot_be_sent(self, replica_id):
        """An id has to stand in a header as it is."""
        self.put(replica_id, ENTRY)
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())

    @params(
        {'address': '0.0.0.0:80'},
        {'address': '224.0.0.1:80'},
        {'address': '255.255.255.255:80'},
        {'address': '127.0.0.1:+80'},
        {'address': '127.0.0.1:080000'},
        {'address': '127.0.0.01:80'},
        {'address': '127.0.0.1:80\n'},
        {'address': '127.0.0.1:\u0661'},
        {'address': '[::1]:80'},
        {'slots': 0},
        {'slots': 1 << 40},
        {'slots': 8.0},
        {'born': 1 << 60},
        {'born': None},
        {'born': BORN + 0.5},
        {'service': ''},
        {'service': 's' * 201},
        {'zone': ''},
        {'zone': 'é' * 101},
        {'state': 'Ready'},
        {'state': ['ready']},
        {'state': None},
    )
    def test_bounds(self, changes):
        """Each field has bounds."""
        self.put('i-0', ENTRY, **changes)
        self.assertEqual({'i-1'}, self.in_choice())
        self.assertEqual(1, self.logged(events.HOST_UNREADABLE))

    @params(
        {'address': '10.255.0.1:65535'},
        {'slots': 1},
        {'zone': 'é' * 100},
        {'sequence': 'not read'},
        {'more': [1]},
    )
    def test_within_bounds(self, changes):
        """What is within bounds, or is not read, names a replica."""
        self.put('i-0', ENTRY, **changes)
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())

    def test_in_another_part(self):
        """A row in another part of the table names no replica."""
        row = Row('servers/part/i-2', ENTRY, 9)
        self.list.put(row)
        self.list.put(row)
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())
        self.assertEqual(1, self.logged(events.HOST_UNREADABLE))

    def test_a_removed_one_is_no_unreadable_one(self):
        """Removed in a grace, it stays; then it goes, without a word."""
        self.list.regained()
        self.remove('i-0')
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())
        self.clock.advance(LAPSED_GRACE_S)
        self.remove('i-0')
        self.assertEqual({'i-1'}, self.in_choice())
        self.assertEqual(0, self.logged(events.HOST_UNREADABLE))
