"""Which ends of a run speak against its request."""

import unittest

import gevent
from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.dispatch.crash_watch import LEFT_AFTER_S
from cactusridge.dispatch.run import Runner
from cactusridge.dispatch.upstream import (
    Exchange,
    Upstream,
    UpstreamHead,
    UpstreamRequest,
    UpstreamSilent,
)
from cactusridge.errors import (
    CactusridgeError,
    CrossedReply,
    OutcomeUnknown,
    TruncatedReply,
)
from cactusridge.fleet.replica import Replica, ReplicaState
from cactusridge.http.client import Address
from cactusridge.peers.load import WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.quarantine.rules import ByCrashes
from cactusridge.quarantine.strike import Stage
from cactusridge.quarantine.strike_listener import StrikeListener
from cactusridge.quarantine.suspects import Suspects
from cactusridge.routing.outliers import TrustAll

REQUEST = UpstreamRequest('r', 'POST', '/', [], b'', 'f')
REPLICA = Replica('a', 's', Address('127.0.0.1', 1), 'z', 8, ReplicaState.ready)
ONLINE, BATCH = WorkKind.online, WorkKind.batch


class Breaking(Upstream, Exchange):
    """Fails before or after the head; lives on or not."""

    def __init__(self, failure, headed, lives):
        """Raise ``failure``, after a head if ``headed``."""
        self._failure = failure
        self._headed = headed
        self._lives = lives

    def send(self, replica, req, left_s, fresh=False):
        """Take the request."""
        return self

    def lives(self, replica):
        """Tell whether it lives."""
        return self._lives

    def head(self, wait_s):
        """Return the head or fail."""
        if not self._headed:
            raise self._failure
        return UpstreamHead(200, [], False, False, True)

    def read(self, wait_s):
        """Fail."""
        raise self._failure

    def close(self):
        """Nothing to do."""

    def abort(self):
        """Nothing to do."""


class Stages(StrikeListener):
    """Keeps the stages of strikes."""

    def __init__(self):
        """Be told nothing yet."""
        self.noted = []

    def publish_strikes(self, strikes):
        """Keep the stage of the last strike."""
        self.noted.append(strikes[-1].stage)

    def publish_withdrawals(self, pairs):
        """Nothing is taken back here."""
        raise AssertionError(pairs)


class TestRunStrikes(unittest.TestCase):
    """One run at one replica."""

    def play(self, upstream, kind, output=False, aborted=False):
        """Run a request to its failure; return what was noted."""
        clock = ManualClock()
        suspects = Suspects(ByCrashes(), clock)
        found = Stages()
        suspects.pass_on(found)
        loads = LoadTable(clock)
        runner = Runner(upstream, loads, TrustAll(), suspects, clock)
        run = runner.open(REPLICA, REQUEST, kind, 1)
        if aborted:
            run.abort()
        with self.assertRaises(CactusridgeError):
            run.head(1)
            if output:
                run.note_output()
            run.read(1)
        clock.advance(1)
        gevent.sleep(2 * LEFT_AFTER_S)
        return found

    @params(
        (OutcomeUnknown(), False, ONLINE, False, [Stage.begun]),
        (OutcomeUnknown(), False, BATCH, False, [Stage.queued]),
        (TruncatedReply(), True, ONLINE, False, [Stage.begun]),
        (TruncatedReply(), True, BATCH, False, [Stage.begun]),
        (TruncatedReply(), True, ONLINE, True, [Stage.answering]),
        (TruncatedReply(), True, BATCH, True, [Stage.answering]),
        (UpstreamSilent(), False, ONLINE, False, [Stage.begun]),
        (UpstreamSilent(), True, ONLINE, False, [Stage.begun]),
        (UpstreamSilent(), True, ONLINE, True, [Stage.answering]),
        (UpstreamSilent(), False, BATCH, False, [Stage.queued]),
        (CrossedReply(), False, ONLINE, False, []),
    )
    def test_stage(self, failure, headed, kind, output, wanted):
        """How far the run had come when the connection broke."""
        upstream = Breaking(failure, headed, lives=False)
        found = self.play(upstream, kind, output)
        self.assertEqual(wanted, found.noted)

    def test_caller_that_has_left(self):
        """It has left since nothing came: its replica may have ended.

        What breaks since it has left counts no second time.
        """
        upstream = Breaking(OutcomeUnknown(), headed=False, lives=False)
        found = self.play(upstream, ONLINE, aborted=True)
        self.assertEqual([Stage.begun], found.noted)

    @params(
        (OutcomeUnknown(), False, False),
        (OutcomeUnknown(), False, True),
        (TruncatedReply(), True, False),
        (UpstreamSilent(), False, False),
    )
    def test_replica_that_lives(self, failure, headed, aborted):
        """It takes another connection: it has not crashed."""
        upstream = Breaking(failure, headed, lives=True)
        found = self.play(upstream, ONLINE, aborted=aborted)
        self.assertEqual([], found.noted)
