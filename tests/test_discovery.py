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
        self.back()
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
        self.back()
        self.remove('i-0')
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())
        self.clock.advance(LAPSED_GRACE_S)
        self.remove('i-0')
        self.assertEqual({'i-1'}, self.in_choice())
        self.assertEqual(0, self.logged(events.HOST_UNREADABLE))


class TestGrace(DiscoveryCase):
    """Entries that lapsed while the store was away."""

    def setUp(self):
        """Know two replicas."""
        super().setUp()
        self.put('i-0', ENTRY)
        self.put('i-1', ENTRY)

    def test_one_comes_back(self):
        """Who is back within the grace stays; the other goes after it."""
        self.back()
        self.list.keep_only(set())
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())
        self.put('i-0', ENTRY)
        self.advance(LAPSED_GRACE_S)
        self.assertEqual({'i-0'}, self.in_choice())

    def test_away_again(self):
        """A second outage has a grace of its own."""
        self.back()
        self.advance(LAPSED_GRACE_S - 0.5)
        self.back()
        self.remove('i-0')
        self.advance(1)
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())
        self.advance(LAPSED_GRACE_S)
        self.assertEqual({'i-1'}, self.in_choice())

    @params('no zone', 'nothing')
    def test_spoiled_while_missing(self, how):
        """A spoiled entry ends the grace of its replica."""
        self.back()
        self.remove('i-0')
        self.spoil('i-0', how)
        self.assertEqual({'i-1'}, self.in_choice())

    def test_next_life_while_missing(self):
        """A newer life is in choice at once and is not dropped."""
        self.back()
        self.remove('i-0')
        self.put('i-0', ENTRY, born=BORN + 1)
        self.advance(LAPSED_GRACE_S)
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())

    @params(
        # Cut off or turned away alone, or frozen: peers had it all along.
        (100, 0),
        # Away for all, and back for the peers some time before.
        (1, LAPSED_GRACE_S - 1),
        # Away for all, and back for this entry first.
        (0, LAPSED_GRACE_S),
    )
    def test_peers_had_the_store(self, store_s, grace_s):
        """A replica is kept for the grace from its earliest return on."""
        self.back()
        self.list.keep_only({f'{PREFIX}i-0'})
        self.list.peer_answered(self.clock.monotonic() - store_s)
        self.advance(max(0, grace_s - 0.01))
        self.assertEqual(
            {'i-0', 'i-1'} if grace_s else {'i-0'}, self.in_choice()
        )
        self.advance(0.01)
        self.assertEqual({'i-0'}, self.in_choice())

    def test_word_before_the_return(self):
        """What a peer said in the outage says nothing of its end."""
        self.list.peer_answered(self.clock.monotonic() - 100)
        self.back()
        self.list.keep_only(set())
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())

    def test_leaves_after_a_peers_word(self):
        """With the store known to be sound, who goes is gone at once."""
        self.back()
        self.list.peer_answered(self.clock.monotonic() - 100)
        self.remove('i-0')
        self.assertEqual({'i-1'}, self.in_choice())

    def test_list_read_late(self):
        """The grace counts from the store's return, not from the reading."""
        since = self.clock.monotonic()
        self.advance(1)
        self.list.regained(since)
        self.list.keep_only(set())
        self.advance(LAPSED_GRACE_S - 1)
        self.assertEqual(set(), self.in_choice())

    def test_former_life_while_missing(self):
        """An entry of a former life brings nobody back."""
        self.back()
        self.remove('i-0')
        self.put('i-0', ENTRY, born=BORN - 1)
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())
        self.advance(LAPSED_GRACE_S)
        self.assertEqual({'i-1'}, self.in_choice())
