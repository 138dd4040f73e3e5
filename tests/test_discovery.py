"""Tests of ``Discovery``: unreadable entries and the grace period."""

from nose2.tools import params

from cactusridge import events
from cactusridge.platform.discovery import EXPIRED_GRACE_S, PREFIX
from cactusridge.store.table import Row
from standins.machines.corrupt_entries import CORRUPTIONS
from tests.discovery_case import BORN, ENTRY, DiscoveryCase


class TestUnreadable(DiscoveryCase):
    """Entries that another program has written wrongly."""

    def setUp(self):
        """Know two replicas."""
        super().setUp()
        self.put('i-0', ENTRY)
        self.put('i-1', ENTRY)

    @params(*CORRUPTIONS)
    def test_known_one_leaves_at_once(self, how):
        """An unreadable entry drops its replica at once, also in a grace."""
        self.back()
        self.spoil('i-0', how)
        self.assertEqual({'i-1'}, self.in_choice())
        self.put('i-0', ENTRY)
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())

    @params(*CORRUPTIONS)
    def test_unknown_one_does_not_come(self, how):
        """An unreadable entry adds no replica."""
        self.spoil('i-2', how)
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())

    @params(*(how for how in CORRUPTIONS if how != 'service not named'))
    def test_logged_once_a_version(self, how):
        """Reading an unreadable entry again logs it only once a version."""
        row = self.spoil('i-0', how)
        for _ in range(3):
            self.list.retain({f'{PREFIX}i-0', f'{PREFIX}i-1'})
            self.list.put(row)
        self.assertEqual(1, self.logged(events.HOST_UNREADABLE))
        self.spoil('i-0', how)
        self.assertEqual(2, self.logged(events.HOST_UNREADABLE))

    @params('', 'a\r\nX: 1', 'a b', 'é', 'n' * 201)
    def test_ids_that_cannot_be_sent(self, replica_id):
        """An id that cannot be sent in a header adds no replica."""
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
        """A field out of its bounds makes the entry unreadable."""
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
        """Values within the bounds and unknown fields are accepted."""
        self.put('i-0', ENTRY, **changes)
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())

    def test_in_another_part(self):
        """A row in another part of the table adds no replica."""
        row = Row('servers/part/i-2', ENTRY, 9)
        self.list.put(row)
        self.list.put(row)
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())
        self.assertEqual(1, self.logged(events.HOST_UNREADABLE))

    def test_a_removed_one_is_no_unreadable_one(self):
        """An entry removed in a grace period is not logged as unreadable."""
        self.back()
        self.remove('i-0')
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())
        self.clock.advance(EXPIRED_GRACE_S)
        self.remove('i-0')
        self.assertEqual({'i-1'}, self.in_choice())
        self.assertEqual(0, self.logged(events.HOST_UNREADABLE))


class TestGrace(DiscoveryCase):
    """The grace period for entries that expired in a store outage."""

    def setUp(self):
        """Know two replicas."""
        super().setUp()
        self.put('i-0', ENTRY)
        self.put('i-1', ENTRY)

    def test_one_comes_back(self):
        """A replica that registers within the grace stays; the other goes."""
        self.back()
        self.list.retain(set())
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())
        self.put('i-0', ENTRY)
        self.advance(EXPIRED_GRACE_S)
        self.assertEqual({'i-0'}, self.in_choice())

    def test_away_again(self):
        """A second outage starts another full grace period."""
        self.back()
        self.advance(EXPIRED_GRACE_S - 0.5)
        self.back()
        self.remove('i-0')
        self.advance(1)
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())
        self.advance(EXPIRED_GRACE_S)
        self.assertEqual({'i-1'}, self.in_choice())

    @params('no zone', 'nothing')
    def test_spoiled_while_missing(self, how):
        """An unreadable entry ends the grace period of its replica."""
        self.back()
        self.remove('i-0')
        self.spoil('i-0', how)
        self.assertEqual({'i-1'}, self.in_choice())

    def test_next_life_while_missing(self):
        """A newer incarnation is used at once and is not dropped."""
        self.back()
        self.remove('i-0')
        self.put('i-0', ENTRY, born=BORN + 1)
        self.advance(EXPIRED_GRACE_S)
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())

    @params(
        # Only this entry lost the store, or it was suspended: the peers had
        # the store all the time.
        (100, 0),
        # All entries lost the store, and the peers got it back earlier.
        (1, EXPIRED_GRACE_S - 1),
        # All entries lost the store, and this entry got it back first.
        (0, EXPIRED_GRACE_S),
    )
    def test_peers_had_the_store(self, store_uptime_s, grace_s):
        """The grace period starts at the store's earliest return to a peer."""
        self.back()
        self.list.retain({f'{PREFIX}i-0'})
        self.list.shorten_grace(self.clock.monotonic() - store_uptime_s)
        self.advance(max(0, grace_s - 0.01))
        self.assertEqual(
            {'i-0', 'i-1'} if grace_s else {'i-0'}, self.in_choice()
        )
        self.advance(0.01)
        self.assertEqual({'i-0'}, self.in_choice())

    def test_word_before_the_return(self):
        """A report of a peer before the outage ends shortens no grace."""
        self.list.shorten_grace(self.clock.monotonic() - 100)
        self.back()
        self.list.retain(set())
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())

    def test_leaves_after_a_peers_word(self):
        """After a report that a peer had the store, a removal is immediate."""
        self.back()
        self.list.shorten_grace(self.clock.monotonic() - 100)
        self.remove('i-0')
        self.assertEqual({'i-1'}, self.in_choice())

    def test_list_read_late(self):
        """The grace starts at the store's return, not when the list is read."""
        since = self.clock.monotonic()
        self.advance(1)
        self.list.store_recovered(since)
        self.list.retain(set())
        self.advance(EXPIRED_GRACE_S - 1)
        self.assertEqual(set(), self.in_choice())

    def test_former_life_while_missing(self):
        """An entry of an earlier incarnation does not keep its replica."""
        self.back()
        self.remove('i-0')
        self.put('i-0', ENTRY, born=BORN - 1)
        self.assertEqual({'i-0', 'i-1'}, self.in_choice())
        self.advance(EXPIRED_GRACE_S)
        self.assertEqual({'i-1'}, self.in_choice())
