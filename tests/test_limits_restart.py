"""Processes that start again, and what they may count."""

from nose2.tools import params

from tests.limits_handover_case import ALL_TOKENS, NAME, HandoverCase


class TestRestart(HandoverCase):
    """An owner that hands over starts again at once."""

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
