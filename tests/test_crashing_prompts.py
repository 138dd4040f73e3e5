"""Tests that prompts which crash engines are quarantined when repeated."""

import gevent
from nose2.tools import params

from standins.engine import POISON
from standins.waiting import wait_for
from tests.rig_case import RigCase

CRASHES = 3
# Together they crash more engines than quarantine a request.
JOBS = 6
# Repeats that may still run after all entries can have received the third
# strike.
RETRIES = 3
CONTACT_S = 1.0
REPEATS = 8
BACK_S = 0.4
REFUSED = 503


class TestCrashingPrompts(RigCase):
    """Repeats of a prompt of one team, sent to any entry."""

    sidecars = 3

    def setUp(self):
        """Keep an engine down for BACK_S after a crash."""
        super().setUp()
        self.rig.let_crash(BACK_S)

    def bring(self, number: int, text: str = POISON, **fields: bool) -> int:
        """Send a prompt to the entries in turn; return the status.

        Checks that a prompt whose refusal says that it has not run did not
        run.
        """
        entry = number % len(self.rig.entries)
        before = len(self.rig.executions(text))
        answer = self.rig.chat(text, entry, **fields)
        if answer.status == REFUSED and answer.body['error']['not_run']:
            self.assertEqual(before, len(self.rig.executions(text)))
        return answer.status

    def check_refusals(self):
        """Check that prompts refused as not run have not run.

        The crashing prompt also runs in other calls; ``bring`` checks it.
        """
        found = self.rig.ran_though_refused()
        others = [raw for raw in found if POISON.encode() not in raw]
        self.assertEqual([], others)

    def bring_to_crash(self, **fields: bool) -> None:
        """Repeat the prompt until it has crashed three engines."""
        number = 0
        while self.rig.crashes() < CRASHES:
            self.bring(number, **fields)
            number += 1
            gevent.sleep(0.2)

    @params(True, False)
    def test_prompt_that_crashes_engines_is_held_back(self, stream):
        """The prompt reaches few further engines; other prompts are served."""
        self.bring_to_crash(stream=stream)
        gevent.sleep(CONTACT_S)
        before = self.rig.crashes()
        statuses = []
        for number in range(REPEATS):
            statuses.append(self.bring(number, stream=stream))
            gevent.sleep(BACK_S)
            self.assertEqual(200, self.bring(number, f'other {number}'))
        self.assertLessEqual(self.rig.crashes() - before, RETRIES)
        self.assertEqual(REFUSED, statuses[-1])

    def test_item_under_which_engines_crash_is_owed(self):
        """Each job runs the item, as often as its service allows.

        What crashed in earlier jobs is no evidence against an item. The other
        items complete.
        """
        for number in range(JOBS):
            before = self.rig.crashes()
            job = self.submit([f'a{number}', POISON, 'b'])
            shown = self.wait_state(job, 'completed')
            counts = shown['request_counts']
            self.assertEqual((2, 1), (counts['completed'], counts['failed']))
            code = self.lines(job, 'err')[0]['error']['code']
            self.assertEqual('item_attempts_exhausted', code)
            self.assertIn(self.rig.crashes() - before, range(1, CRASHES + 1))

    def test_entry_that_starts_later(self):
        """An entry that starts later quarantines the same prompt."""
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
        """Broken connections to running engines quarantine no prompt."""
        for number in range(2 * CRASHES):
            for engine in self.rig.engines:
                engine.subject.batch.crash()
            call = gevent.spawn(self.bring, number, 'long', max_tokens=60)
            gevent.sleep(0.15)
            for engine in self.rig.engines:
                engine.subject.batch.crash()
            call.join()
        self.assertEqual(200, self.bring(0, 'long'))
