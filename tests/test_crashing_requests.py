"""Requests that crash each replica that runs them come again and again."""

import itertools

import gevent
from nose2.tools import params

from standins.waiting import wait_for
from tests.machine_case import MachineCase

CRASHES = 3
# Repeats that may still run once the entries can know of the third crash.
RETRIES = 3
CONTACT_S = 3.0
REPEATS = 8
STREAM = b'crash'
PLAIN = b'plain crash'
WAIT_S = 20
# Streams, one of which may go on elsewhere, and plain requests.
REQUESTS = (
    ('/on/1', STREAM),
    ('/again/1', STREAM),
    ('/safe/1', PLAIN),
    ('/plain/1', PLAIN),
)


class CrashCase(MachineCase):
    """Some replicas, and a caller that brings the same request again."""

    replicas = 5

    def setUp(self):
        """Number the attempts."""
        super().setUp()
        self._numbers = itertools.count()

    def bring(
        self,
        target: str,
        body: bytes,
        entry: str | None = None,
        source: str = '127.0.0.1',
    ) -> int:
        """Send a request as a new attempt, to one entry after the other."""
        number = next(self._numbers)
        names = self.entries
        name = entry or names[number % len(names)]
        sent = {'X-Attempt-Id': f'a{number}', 'X-Request-Deadline': '4000'}
        return self.site.call(name, 'POST', target, body, sent, source)[0]

    def crashes(self) -> list[float]:
        """Return when replicas crashed, in order."""
        found = (each.crashed for each in self.site.replicas)
        return sorted(itertools.chain.from_iterable(found))

    def forget_crashes(self) -> None:
        """Count crashes from now on."""
        for replica in self.site.replicas:
            replica.crashed.clear()

    def bring_to_crash(self, target: str, body: bytes) -> None:
        """Bring a request until it has crashed three replicas."""
        while len(self.crashes()) < CRASHES:
            self.bring(target, body)

    def check_budget(self) -> None:
        """Check how many crashes came once the third could be known."""
        crashes = self.crashes()
        known_at = crashes[CRASHES - 1] + CONTACT_S
        late = [at for at in crashes if at > known_at]
        self.assertLessEqual(len(late), RETRIES)


class TestCrashingRequests(CrashCase):
    """The same path, caller and body, at any entry."""

    def test_request_that_crashes_replicas_is_held_back(self):
        """It reaches few replicas more once it has crashed three."""
        for target, body in REQUESTS:
            with self.subTest(target):
                self.forget_crashes()
                self.bring_to_crash(target, body)
                gevent.sleep(CONTACT_S)
                for _ in range(REPEATS):
                    self.bring(target, body)
                    gevent.sleep(0.3)
                self.check_budget()

    def test_item_that_crashes_replicas_is_held_back(self):
        """An item is not run for ever; the others of its job are done."""
        self.site.submit('one', 'j1', ['crash', '5 0.05', '5 0.05'])
        wait_for('three crashes', lambda: len(self.crashes()) >= CRASHES, 20)
        gevent.sleep(CONTACT_S * 2)
        self.check_budget()
        listed = self.wait_done('two', 'j1', 2)
        self.assertEqual({'j1-1', 'j1-2'}, set(listed))

    def test_entries_that_start_anew_know_it(self):
        """The loss of all entries does not begin the count anew."""
        self.bring_to_crash('/on/1', STREAM)
        gevent.sleep(1)
        for process in self.site.entries.values():
            process.kill()
        for name in self.entries:
            self.site.start_entry(name)
        gevent.sleep(CONTACT_S)
        for _ in range(REPEATS):
            self.bring('/on/1', STREAM)
        self.check_budget()

    def test_held_request_is_refused_at_once(self):
        """It has not run, so that a status may promise so."""
        self.bring_to_crash('/on/1', STREAM)
        gevent.sleep(0.5)
        self.assertEqual(503, self.bring('/on/1', STREAM))
        self.assertEqual(CRASHES, len(self.crashes()))


class TestSharers(CrashCase):
    """Who only shares a replica with such a request stays served."""

    def test_others_are_served(self):
        """Other paths, callers and bodies are served all the while."""
        self.bring_to_crash('/on/1', STREAM)
        gevent.sleep(1)
        for target, body, source in (
            ('/on/1', b'3 0.01', '127.0.0.1'),
            ('/on/2', b'3 0.01', '127.0.0.1'),
            ('/on/1', b'3 0.01', '127.0.0.2'),
        ):
            status = self.bring(target, body, None, source)
            self.assertEqual(200, status)

    def test_items_that_shared_replicas_are_done(self):
        """Items that were cut off by every crash are done, each once."""
        self.site.submit('one', 'j2', ['60 0.05'] * 12)
        wait_for(
            'they run',
            lambda: sum(each.running for each in self.site.replicas) == 12,
        )
        for _ in range(REPEATS):
            self.bring('/on/1', STREAM)
            gevent.sleep(0.4)
        listed = self.wait_done('two', 'j2', 12)
        self.assertEqual(12, len(set(listed)))

    def test_repeatable_requests_that_shared_replicas_are_served(self):
        """Streams that may go on elsewhere come whole."""
        calls = [
            gevent.spawn(self.bring, f'/again/{number}', b'40 0.05')
            for number in range(4)
        ]
        gevent.sleep(0.3)
        self.bring('/on/1', STREAM)
        gevent.joinall(calls, timeout=WAIT_S)
        self.assertEqual([200] * 4, [each.value for each in calls])

    @params(
        ('/on/1', b'3 0.01'),
        ('/again/1', b'3 0.01'),
    )
    def test_cut_connections_hold_nobody_back(self, target, body):
        """A request that was cut off everywhere by links that broke.

        Its replicas live, and nobody else sends them anything.
        """
        for replica in self.site.replicas:
            replica.cut_after = [1, 1]
        for _ in range(REPEATS):
            self.bring(target, body)
        gevent.sleep(0.3)
        for replica in self.site.replicas:
            replica.cut_after = []
        self.assertEqual(200, self.bring(target, body))
