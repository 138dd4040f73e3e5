"""Items that can never succeed end as failed; other items complete."""

import gevent
from nose2.tools import params

from standins.local_fleet import YAZMAN
from standins.waiting import wait_for
from tests.rig_case import RigCase

ITEMS = 24
BAD = 5
KINDS = (
    ('POISON', 'item_attempts_exhausted'),
    ('ENDLESS', 'item_attempts_exhausted'),
    ('REFUSE', None),
)


class TestPoison(RigCase):
    """One item of a job always fails."""

    @params(*KINDS)
    def test_one_bad_item(self, kind, code):
        """The bad item fails after at most two runs; the others complete."""
        self.rig.update(YAZMAN, item_timeout_s=1.5, max_item_attempts=2)
        texts = [f'i{n}' for n in range(ITEMS)]
        texts[BAD] = kind
        self.rig.wait_ready()
        job = self.submit(texts)
        shown = self.wait_state(job, 'completed')
        counts = shown['request_counts']
        self.assertEqual(
            (ITEMS - 1, 1), (counts['completed'], counts['failed'])
        )
        self.check_exactly_once(job, ITEMS)
        failed = self.lines(job, 'err')[0]
        self.assertEqual(f'id-{BAD}', failed['custom_id'])
        if code is None:
            self.assertEqual(400, failed['response']['status_code'])
        else:
            self.assertEqual(code, failed['error']['code'])
        begun = self.rig.executions(kind)
        self.assertLessEqual(len(begun), 2)

    def test_attempts_survive_lost_holders(self):
        """The count of attempts survives the loss of several lease holders."""
        job = self.submit([f's{n}' for n in range(8)], tokens=150)
        for _ in range(4):
            holder = self.entry_holding(job)
            self.rig.add_entry()
            self.rig.kill_entry(holder)
        self.wait_state(job, 'completed')
        self.check_exactly_once(job, 8)
        begun = [
            stored['started'].get('0', 0)
            for commit in self.rig.platform.table.history
            for key, stored in commit['writes']
            if stored and key.startswith('spans/')
        ]
        self.assertGreater(max(begun), 3)


class TestWaiting(RigCase):
    """Items wait behind online requests that fill every slot."""

    # A response takes 2 s of engine time, and a request waits as long for a
    # slot.
    read_timeout_s = 20

    def test_waiting_is_no_attempt(self):
        """Waiting behind online requests does not count as an attempt."""
        self.rig.update(YAZMAN, item_timeout_s=0.4, max_item_attempts=1)
        self.rig.wait_ready()
        online = [
            gevent.spawn(self.rig.chat, f'busy {n}', n % 2, max_tokens=250)
            for n in range(32)
        ]
        engines = [engine.subject.batch for engine in self.rig.engines]
        wait_for(
            'busy engines', lambda: sum(len(e.running) for e in engines) > 12
        )
        job = self.submit([f'w{n}' for n in range(4)])
        shown = self.wait_state(job, 'completed')
        gevent.joinall(online)
        self.assertEqual(4, shown['request_counts']['completed'])
