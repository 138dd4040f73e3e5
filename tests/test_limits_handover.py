"""Handover of the counts of limits while single messages or entries fail."""

from cactusridge.organisations.limit_copies import BACKUP_BURST
from cactusridge.organisations.limit_messages import LimitRequest
from tests.limits_handover_case import ALL_TOKENS, LIMIT, NAME, HandoverCase

REQUEST = LimitRequest(NAME, LIMIT, 2)


class TestHandover(HandoverCase):
    """Single messages are lost, or single entries fail."""

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
