"""Tests which answers clear the parts of a prompt, and when one is tried."""

import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.dispatch.run import Runner
from cactusridge.dispatch.upstream import (
    Exchange,
    Upstream,
    UpstreamHead,
    UpstreamRequest,
)
from cactusridge.errors import Quarantined
from cactusridge.fleet.replica import Replica, ReplicaState
from cactusridge.http.client import Address
from cactusridge.peers.load import WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.fingerprint import prompt_part_key
from cactusridge.quarantine.rules import ByCrashes
from cactusridge.quarantine.strike import Stage
from cactusridge.quarantine.trials import FIRST_TRIAL_S
from cactusridge.routing.outliers import NoEjection

PART = prompt_part_key('m', 'bad0')
REQUEST = UpstreamRequest('r', 'POST', '/', [], b'', 'f', parts=(PART,))
REPLICA = Replica('a', 's', Address('127.0.0.1', 1), 'z', 8, ReplicaState.ready)


class Answering(Upstream, Exchange):
    """Answers each request with a signed status and no body."""

    def __init__(self, status):
        """Answer with ``status``."""
        self._status = status

    def send(self, replica, req, left_s, new_connection=False):
        """Accept the request."""
        return self

    def is_running(self, replica, connect_s):
        """Return that the replica is running."""
        return True

    def head(self, wait_s):
        """Return the head."""
        return UpstreamHead(self._status, [], False, False, True)

    def read(self, wait_s):
        """Return the end of the body."""
        return b''

    def close(self):
        """Do nothing."""

    def abort(self):
        """Do nothing."""


class PartCase(unittest.TestCase):
    """One part is quarantined at an entry that may try it."""

    def setUp(self):
        """Record crashes under different requests with the part."""
        self.clock = ManualClock()
        self.suspects = CrashEvidence(ByCrashes(), self.clock)
        self.suspects.try_again(lambda part: True)
        for number in range(4):
            self.clock.advance(1)
            self.suspects.crashed_without_output(
                f'request {number}', f'i{number}', Stage.started, (PART,)
            )
        self.assertTrue(self.is_held())

    def is_held(self) -> bool:
        """Return whether requests with the part are held back."""
        return self.suspects.is_quarantined('new', (PART,))

    def open(self, status: int):
        """Return the run of a request that is answered with ``status``."""
        runner = Runner(
            Answering(status),
            LoadTable(self.clock),
            NoEjection(),
            self.suspects,
            self.clock,
        )
        return runner.open(REPLICA, REQUEST, WorkKind.online, 1)


class TestAnswers(PartCase):
    """A replica answers a request with a quarantined part."""

    @params((200, False), (422, True), (500, True), (504, True))
    def test_failure_answer_clears_no_part(self, status, held):
        """Only a success shows that the part has brought output."""
        run = self.open(status)
        run.head(1)
        run.record_completion()
        self.assertEqual(held, self.is_held())


class TestTrial(PartCase):
    """One request with a quarantined part is due to be tried."""

    def setUp(self):
        """Let the time until the trial pass."""
        super().setUp()
        self.clock.advance(FIRST_TRIAL_S * 2)

    def check(self, request_id: str = REQUEST.id) -> None:
        """Check whether a request with the part may run."""
        self.suspects.check('f', (PART,), request_id)

    def test_trial_that_waits_for_a_slot_is_not_lost(self):
        """The request is checked again after its wait."""
        self.check()
        self.clock.advance(1)
        self.check()

    def test_trial_is_sent_once(self):
        """A retry of the request, and a repeat of it, is held back."""
        self.check()
        with self.assertRaises(Quarantined):
            self.check('repeat')
        self.open(200)
        with self.assertRaises(Quarantined):
            self.check()

    def test_trial_that_is_never_sent_is_followed_by_another(self):
        """Its caller may leave while it waits."""
        self.check()
        self.clock.advance(FIRST_TRIAL_S * 2)
        self.check('another')
        with self.assertRaises(Quarantined):
            self.check()
