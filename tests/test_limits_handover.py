"""Handover of the counts of limits while single messages or entries fail."""

import unittest

from nose2.tools import params

from cactusridge.organisations.errors import LimitUnavailable
from cactusridge.organisations.limit_copies import BACKUP_BURST
from cactusridge.organisations.limit_count import BURST_TOLERANCE
from cactusridge.organisations.limit_messages import LimitRequest
from cactusridge.organisations.organisation import RateLimit
from tests.limits_fleet import Fleet
from tests.limits_limiters import by_owners

NAME = 'o1'
# A rate of 0 shows tokens that are granted twice.
LIMIT = RateLimit(0, 10)
FIRST_LIMIT = RateLimit(10, 10)
ALL_TOKENS = LIMIT.burst + BURST_TOLERANCE
REQUEST = LimitRequest(NAME, LIMIT, 2)
START_S = 20


class TestHandover(unittest.TestCase):
    """Five entries, the owner of an organisation among them."""

    def setUp(self):
        """Let the owner count three requests."""
        self.fleet = Fleet(5, by_owners, 1)
        self.run_for(START_S)
        ranked = self.fleet.entries[0].process.owners.ranked_entries(NAME)
        entries = [self.fleet.by_name[each] for each in ranked]
        self.owner, self.successor, self.third = entries  # noqa: WPS414
        self.others = [
            each for each in self.fleet.entries if each.name not in ranked
        ]
        self.owner.limiter.take(NAME, FIRST_LIMIT, 1)
        self.admitted = 1
        self.send(2)
        self.assertEqual(3, self.admitted)

    def run_for(self, length_s):
        """Advance the clock; nothing may ever be counted twice meanwhile."""
        end = self.fleet.clock.now + length_s
        while self.fleet.clock.now < end:
            self.fleet.advance_to(min(end, self.fleet.clock.now + 0.05), ())
            self.assertLessEqual(self.fleet.holders(NAME), 1)

    def send(self, count, entry=None):
        """Send requests at an entry; return how many could not be counted."""
        limiter = (entry or self.others[0]).limiter
        lost = 0
        for _ in range(count):
            try:
                self.admitted += not limiter.take(NAME, LIMIT, 2)
            except LimitUnavailable:
                lost += 1
        return lost

    def send_twice(self):
        """Send requests before and after an owner has asked for counts."""
        self.send(1)
        self.run_for(0.4)
        self.send(40)

    def holds(self, entry):
        """Return whether an entry may count the organisation."""
        return entry.process.counter.holds.usable(NAME) is not None

    def lose(self, entry, *kinds):
        """Lose all messages of the given kinds that an entry sends."""
        entry.process.link.is_lost = lambda kind: kind in kinds

    def stop(self, entry):
        """Begin a planned stop of an entry."""
        entry.process.handover.stop()

    def kill(self, entry):
        """Kill the process of an entry."""
        entry.alive = False
        entry.process.members.has_left = True

    def test_planned_stop(self):
        """The successor has the tokens at once, with no request refused."""
        self.stop(self.owner)
        self.assertTrue(self.holds(self.successor))
        self.assertEqual(0, self.send(40))
        self.assertEqual(ALL_TOKENS, self.admitted)
        self.owner.process.members.leave()
        self.run_for(8)
        self.assertEqual(0, self.send(10))
        self.assertEqual(ALL_TOKENS, self.admitted)

    def test_restarted_at_once(self):
        """A process that is back at once does not count without a handover.

        The others do not know it until they read its row.
        """
        self.stop(self.owner)
        self.run_for(0.2)
        self.owner.start()
        self.lose(self.owner, 'announcement')
        self.owner.renew()
        self.run_for(0.5)
        self.assertFalse(self.holds(self.owner))
        self.assertTrue(self.holds(self.successor))
        self.run_for(5)
        self.assertTrue(self.holds(self.owner))
        self.send(40)
        self.assertEqual(ALL_TOKENS, self.admitted)

    def test_restarted_and_announced(self):
        """It gets the counts back as soon as the others know it."""
        self.stop(self.owner)
        self.run_for(0.2)
        self.owner.start()
        self.owner.renew()
        self.run_for(0.2)
        self.assertTrue(self.holds(self.owner))
        self.assertFalse(self.holds(self.successor))
        self.send(40)
        self.assertEqual(ALL_TOKENS, self.admitted)

    @params('announcement', 'confirmation')
    def test_restarted_unknown(self, kind):
        """It does not count while another one may have what it handed over.

        Nobody answers its questions, so it cannot know who counts.
        """
        self.stop(self.owner)
        self.run_for(0.2)
        self.owner.start()
        for each in self.fleet.entries:
            self.lose(each, kind, 'ask', 'decline', 'handover')
            each.renew_at = self.fleet.clock.now + 1
        self.owner.renew()
        for _ in range(4):
            self.run_for(0.2)
            self.send(1)
            self.assertFalse(self.holds(self.owner))

    def test_lost_handover(self):
        """Nobody counts until the handover has been sent again."""
        self.lose(self.owner, 'handover', 'stop')
        self.stop(self.owner)
        self.run_for(0.5)
        self.assertEqual(0, self.fleet.holders(NAME))
        self.lose(self.owner)
        self.run_for(0.2)
        self.assertTrue(self.holds(self.successor))
        self.send(40)
        self.assertEqual(ALL_TOKENS, self.admitted)

    def test_lost_acknowledgement(self):
        """A handover that is repeated grants no tokens twice."""
        self.lose(self.successor, 'acknowledgement')
        self.stop(self.owner)
        self.send(40)
        self.run_for(1)
        self.send(40)
        self.assertEqual(ALL_TOKENS, self.admitted)
        self.lose(self.successor)
        self.run_for(0.2)
        self.assertFalse(list(self.owner.process.handover.outbox.pending()))

    def test_late_copy(self):
        """A copy of a handover does not bring back what was handed on."""
        seen = []
        self.owner.process.link.is_lost = lambda kind: False
        original = self.successor.process.handover.receive
        self.successor.process.handover.receive = lambda handover: (
            seen.append(handover),
            original(handover),
        )
        self.stop(self.owner)
        self.stop(self.successor)
        self.run_for(0.2)
        self.assertTrue(self.holds(self.third))
        original(seen[0])
        self.assertFalse(self.holds(self.successor))
        self.assertTrue(self.holds(self.third))

    def test_successor_dies(self):
        """The next entry continues once the successor has left the list."""
        self.stop(self.owner)
        self.send(4)
        self.kill(self.successor)
        self.run_for(5)
        self.send_twice()
        self.assertTrue(self.holds(self.third))
        self.assertLessEqual(self.admitted, ALL_TOKENS + 2 * BACKUP_BURST)

    def test_frozen_owner(self):
        """An owner that was suspended does not count when it is resumed."""
        self.owner.frozen = True
        self.run_for(5)
        self.send_twice()
        self.assertTrue(self.holds(self.successor))
        self.owner.frozen = False
        response = self.owner.process.counter.count(REQUEST)
        self.assertFalse(response.counted)
        admitted = self.admitted
        self.run_for(10)
        self.send(40)
        self.assertEqual(admitted, self.admitted)

    def test_frozen_successor(self):
        """A handover that was read late is not accepted."""
        waiting = []
        receive = self.successor.process.handover.receive
        self.successor.process.handover.receive = waiting.append
        self.stop(self.owner)
        self.lose(self.owner, 'handover')
        self.successor.frozen = True
        self.run_for(5)
        self.successor.frozen = False
        self.successor.process.handover.receive = receive
        for handover in waiting:
            receive(handover)
        self.assertFalse(self.holds(self.successor))
        self.run_for(8)
        self.send_twice()
        self.assertLessEqual(self.admitted, ALL_TOKENS + 2 * BACKUP_BURST)

    def test_old_requester(self):
        """An entry with an old list is sent on to the successor."""
        asker = self.others[1]
        asker.store_lost = True
        self.lose(self.owner, 'stop')
        self.stop(self.owner)
        self.owner.process.members.leave()
        self.run_for(2)
        owners = asker.process.owners
        self.assertEqual(self.owner.name, owners.ranked_entries(NAME)[0])
        self.assertEqual(0, self.send(40, asker))
        self.assertEqual(ALL_TOKENS, self.admitted)

    def test_lost_lease(self):
        """An owner that alone loses the store stops; another one takes over.

        It does not hand its counts over: in an outage that entries notice one
        after the other nobody could count for the ten seconds for which the
        sender of a handover does not count.
        """
        self.owner.store_lost = True
        self.run_for(6)
        self.assertFalse(self.holds(self.owner))
        self.send(4)
        self.owner.store_lost = False
        self.run_for(10)
        self.send(40)
        self.assertLessEqual(self.admitted, ALL_TOKENS + BACKUP_BURST)

    def test_outage_of_all(self):
        """The owner counts on through a long outage and after it."""
        for each in self.fleet.entries:
            each.store_lost = True
        for _ in range(8):
            self.run_for(1)
            self.assertTrue(self.holds(self.owner))
        for each in self.fleet.entries:
            each.store_lost = False
        for _ in range(6):
            self.run_for(1)
            self.assertTrue(self.holds(self.owner))
        self.send(40)
        self.assertEqual(ALL_TOKENS, self.admitted)

    def test_stop_in_an_outage(self):
        """The successor counts although the owner is still listed."""
        for each in self.fleet.entries:
            each.store_lost = True
        self.run_for(4)
        self.stop(self.owner)
        self.run_for(1)
        self.kill(self.owner)
        self.run_for(3)
        self.assertEqual(0, self.send(40))
        self.assertEqual(ALL_TOKENS, self.admitted)

    def test_stopped_in_a_new_membership(self):
        """An entry that stops does not count in a membership that is new."""
        self.stop(self.owner)
        self.kill(self.successor)
        self.owner.store_lost = True
        self.run_for(4)
        self.owner.store_lost = False
        self.run_for(8)
        self.assertFalse(self.holds(self.owner))
        self.send_twice()
        self.assertFalse(self.holds(self.owner))

    def test_backup_that_handed_on(self):
        """A backup owner does not use its copy of what it has handed on."""
        self.stop(self.owner)
        self.run_for(0.2)
        self.stop(self.successor)
        self.run_for(0.2)
        self.assertTrue(self.holds(self.third))
        self.kill(self.owner)
        asked = REQUEST._replace(as_backup=True, owners_exited=True)
        response = self.successor.process.counter.count(asked)
        self.assertEqual((False, 0, self.third.name), response)

    def test_early_start(self):
        """A new entry starts early only if the next one can be sure."""
        declined = []
        self.third.process.link.decline = lambda entry, names, reply: (
            declined.append(reply)
        )
        asker = self.owner.process.owners.own
        self.third.process.handover.receive_ask(asker, [NAME])
        self.third.store_lost = True
        self.run_for(3)
        self.third.process.handover.receive_ask(asker, [NAME])
        self.assertEqual([True, False], [each.nobody for each in declined])

    def test_joined_before_an_outage(self):
        """An entry that others have not read yet does not count in an outage.

        The entry that counted before does not know it.
        """
        self.stop(self.owner)
        self.run_for(0.5)
        self.owner.start()
        self.lose(self.owner, 'announcement')
        self.owner.renew()
        for each in self.fleet.entries:
            each.store_lost = True
        self.run_for(8)
        self.assertFalse(self.holds(self.owner))
        self.assertTrue(self.holds(self.successor))
