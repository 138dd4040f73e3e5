"""Prompts that crash each engine that runs them come again and again."""

import gevent
from nose2.tools import params

from standins.engine import POISON
from standins.waiting import wait_for
from tests.rig_case import RigCase

CRASHES = 3
# Repeats that may still run once the entries can know of the third crash.
RETRIES = 3
CONTACT_S = 1.0
REPEATS = 8
BACK_S = 0.4
REFUSED = 503


class TestCrashingPrompts(RigCase):
    """The same prompt of the same team, at any entry."""

    sidecars = 3

    def setUp(self):
        """Let engines be gone for a while after a crash."""
        super().setUp()
        self.rig.let_crash(BACK_S)

    def bring(self, number: int, text: str = POISON, **fields: bool) -> int:
        """Send a prompt to one entry after the other; return the status."""
        entry = number % len(self.rig.entries)
        before = len(self.rig.executions(text))
        answer = self.rig.chat(text, entry, **fields)
        if answer.status == REFUSED and answer.body['error']['not_run']:
            self.assertEqual(before, len(self.rig.executions(text)))
        return answer.status

    def check_refusals(self):
        """Check that what was said not to have run has not run.

        The same prompt has run in other calls; ``bring`` checks each.
        """
        found = self.rig.ran_though_refused()
        others = [raw for raw in found if POISON.encode() not in raw]
        self.assertEqual([], others)

    def bring_to_crash(self, **fields: bool) -> None:
        """Bring the prompt until it has ended three engines."""
        number = 0
        while self.rig.crashes() < CRASHES:
            self.bring(number, **fields)
            number += 1
            gevent.sleep(0.2)

    @params(True, False)
    def test_prompt_that_crashes_engines_is_held_back(self, stream):
        """It reaches few engines more; others are served all the while."""
        self.bring_to_crash(stream=stream)
        gevent.sleep(CONTACT_S)
        before = self.rig.crashes()
        said = []
        for number in range(REPEATS):
            said.append(self.bring(number, stream=stream))
            gevent.sleep(BACK_S)
            self.assertEqual(200, self.bring(number, f'other {number}'))
        self.assertLessEqual(self.rig.crashes() - before, RETRIES)
        self.assertEqual(REFUSED, said[-1])

    def test_item_that_crashes_engines_is_held_back(self):
        """It fails in each job; the other items are done."""
        for _ in range(4):
            job = self.submit(['a', POISON, 'b'])
            shown = self.wait_state(job, 'completed')
            counts = shown['request_counts']
            self.assertEqual((2, 1), (counts['completed'], counts['failed']))
        self.assertLessEqual(self.rig.crashes(), 2 * CRASHES)

    def test_entry_that_starts_later(self):
        """It holds back what the others do."""
        self.bring_to_crash()
        gevent.sleep(CONTACT_S)
        before = self.rig.crashes()
        entry = self.rig.add_entry()
        self.rig.wait_ready()
        wait_for(
            'held back',
            lambda: self.bring(self.rig.entries.index(entry)) == REFUSED,
        )
        self.assertLessEqual(self.rig.crashes() - before, 1)

    def test_engine_that_breaks_off_and_lives(self):
        """Nobody is held back for connections that break."""
        for number in range(2 * CRASHES):
            for engine in self.rig.engines:
                engine.subject.batch.crash()
            call = gevent.spawn(self.bring, number, 'long', max_tokens=60)
            gevent.sleep(0.15)
            for engine in self.rig.engines:
                engine.subject.batch.crash()
            call.join()
        self.assertEqual(200, self.bring(0, 'long'))
