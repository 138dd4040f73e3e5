"""Tests that requests which crash replicas are quarantined when repeated."""

import itertools

import gevent

from standins.waiting import wait_for
from tests.crash_case import (
    CONTACT_S,
    CRASHES,
    PLAIN,
    REPEATS,
    SILENT,
    STREAM,
    CrashCase,
)

# Shorter than the time that entries wait for a response, in milliseconds.
SHORT_MS = 400
# Longer than the time in which a crashed replica restarts, in milliseconds.
LONG_MS = 1200
# Number of addresses from which the same request is sent in turn.
ADDRESSES = 5
# Streams, one of them repeatable, and plain requests.
REQUESTS = (
    ('/on/1', STREAM),
    ('/again/1', STREAM),
    ('/safe/1', PLAIN),
    ('/plain/1', PLAIN),
)


class TestCrashingRequests(CrashCase):
    """Repeats of a request with the same path, caller and body at any entry."""

    def test_request_that_crashes_replicas_is_held_back(self):
        """The request reaches few more replicas after it has crashed three."""
        for target, body in REQUESTS:
            with self.subTest(target):
                self.forget_crashes()
                self.bring_to_crash(target, body)
                gevent.sleep(CONTACT_S)
                for _ in range(REPEATS):
                    self.bring(target, body)
                    gevent.sleep(0.3)
                self.check_budget()

    def test_repeats_from_other_addresses(self):
        """Repeats from other addresses count as the same request.

        The address does not identify the caller.
        """
        for target, body in REQUESTS:
            with self.subTest(target):
                self.forget_crashes()
                numbers = itertools.cycle(range(1, ADDRESSES + 1))
                while len(self.crashes()) < CRASHES:
                    source = f'127.0.0.{next(numbers)}'
                    self.bring(target, body, source=source)
                gevent.sleep(CONTACT_S)
                for _ in range(REPEATS):
                    source = f'127.0.0.{next(numbers)}'
                    self.bring(target, body, source=source)
                    gevent.sleep(0.3)
                self.check_budget()

    def test_request_that_silences_replicas_is_held_back(self):
        """Requests whose replicas stop without closing are quarantined too.

        The callers' deadlines are shorter than the time that entries wait for
        a response.
        """
        for target, body in REQUESTS:
            with self.subTest(target):
                self.forget_crashes()
                silent = b'%b silent' % body
                while len(self.crashes()) < CRASHES:
                    self.bring(target, silent, deadline_ms=SHORT_MS)
                gevent.sleep(CONTACT_S)
                for _ in range(REPEATS):
                    self.bring(target, silent, deadline_ms=SHORT_MS)
                self.check_budget()

    def test_replica_that_is_back_at_its_address(self):
        """The crash counts although another replica responds at the address.

        The silence is noticed only after that replica has started.
        """
        self.site.restarts_under_new_id = True
        while len(self.crashes()) < CRASHES:
            self.bring('/on/1', SILENT, deadline_ms=LONG_MS)
        gevent.sleep(CONTACT_S)
        for _ in range(REPEATS):
            self.bring('/on/1', SILENT, deadline_ms=LONG_MS)
        self.check_budget()

    def test_caller_that_leaves_a_silent_replica(self):
        """Requests whose callers left a silent replica count as crashes too."""
        while len(self.crashes()) < CRASHES:
            self.leave('/on/1', SILENT)
        gevent.sleep(CONTACT_S)
        for _ in range(REPEATS):
            self.leave('/on/1', SILENT)
        self.check_budget()

    def test_item_under_which_replicas_crash_is_owed(self):
        """It is run until its job ends; the other items complete.

        No item crashes replicas by itself. Its crashes are evidence against
        nothing, and they end when the job does.
        """
        self.site.submit('one', 'j1', ['crash', '5 0.05', '5 0.05'])
        wait_for('crashes', lambda: len(self.crashes()) >= 2 * CRASHES, 20)
        listed = self.wait_done('two', 'j1', 2)
        self.assertEqual({'j1-1', 'j1-2'}, set(listed))
        before = len(self.crashes())
        wait_for('another crash', lambda: len(self.crashes()) > before, 20)
        self.assertEqual([], self.log_lines('"crash_suspected"'))
        self.site.call('two', 'DELETE', '/api/lots/j1')
        gevent.sleep(CONTACT_S)
        before = len(self.crashes())
        gevent.sleep(CONTACT_S)
        self.assertEqual(before, len(self.crashes()))

    def test_entries_that_start_anew_know_it(self):
        """Strikes survive a restart of all entries."""
        self.bring_to_crash('/on/1', STREAM)
        gevent.sleep(1)
        self.restart_all_entries()
        gevent.sleep(CONTACT_S)
        for _ in range(REPEATS):
            self.bring('/on/1', STREAM)
        self.check_budget()

    def test_held_request_is_refused_at_once(self):
        """A quarantined request is refused at once.

        The status may promise that the request did not run.
        """
        self.bring_to_crash('/on/1', STREAM)
        gevent.sleep(0.5)
        self.assertEqual(503, self.bring('/on/1', STREAM))
        self.assertEqual(CRASHES, len(self.crashes()))
