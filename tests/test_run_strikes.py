"""Tests which failures of a run count as a strike against its request."""

import unittest

import gevent
from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.dispatch.crash_watch import ABANDONED_PROBE_DELAY_S
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
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.rules import ByCrashes
from cactusridge.quarantine.strike import Stage
from cactusridge.quarantine.strike_listener import StrikeListener
from cactusridge.routing.outliers import NoEjection

REQUEST = UpstreamRequest('r', 'POST', '/', [], b'', 'f')
REPLICA = Replica('a', 's', Address('127.0.0.1', 1), 'z', 8, ReplicaState.ready)
ONLINE, BATCH = WorkKind.online, WorkKind.batch


class Breaking(Upstream, Exchange):
    """Fails before or after the head, with or without a running replica."""

    def __init__(self, failure, headed, lives):
        """Raise ``failure``, after a head if ``headed``.

        ``lives`` is whether the replica still accepts connections.
        """
        self._failure = failure
        self._headed = headed
        self._lives = lives

    def send(self, replica, req, left_s, new_connection=False):
        """Accept the request."""
        return self

    def is_running(self, replica, connect_s):
        """Return whether the replica is running."""
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
        """Do nothing."""

    def abort(self):
        """Do nothing."""


class Stages(StrikeListener):
    """Records the stages of strikes."""

    def __init__(self):
        """Create a listener without records."""
        self.stages = []

    def publish_strikes(self, strikes):
        """Record the stage of the last strike."""
        self.stages.append(strikes[-1].stage)

    def publish_withdrawals(self, pairs):
        """Fail, because nothing is withdrawn in these tests."""
        raise AssertionError(pairs)


class TestRunStrikes(unittest.TestCase):
    """Strikes of one run at one replica."""

    def play(self, upstream, kind, output=False, aborted=False):
        """Run a request until it fails; return the recorded stages."""
        clock = ManualClock()
        suspects = CrashEvidence(ByCrashes(), clock)
        listener = Stages()
        suspects.add_listener(listener)
        loads = LoadTable(clock)
        runner = Runner(upstream, loads, NoEjection(), suspects, clock)
        run = runner.open(REPLICA, REQUEST, kind, 1)
        if aborted:
            run.abort()
        with self.assertRaises(CactusridgeError):
            run.head(1)
            if output:
                run.record_output()
            run.read(1)
        clock.advance(1)
        gevent.sleep(2 * ABANDONED_PROBE_DELAY_S)
        return listener

    @params(
        (OutcomeUnknown(), False, ONLINE, False, [Stage.started]),
        (OutcomeUnknown(), False, BATCH, False, []),
        (TruncatedReply(), True, ONLINE, False, [Stage.started]),
        (TruncatedReply(), True, BATCH, False, []),
        (TruncatedReply(), True, ONLINE, True, [Stage.answering]),
        (TruncatedReply(), True, BATCH, True, []),
        (UpstreamSilent(), False, ONLINE, False, [Stage.started]),
        (UpstreamSilent(), True, ONLINE, False, [Stage.started]),
        (UpstreamSilent(), True, ONLINE, True, [Stage.answering]),
        (UpstreamSilent(), False, BATCH, False, []),
        (CrossedReply(), False, ONLINE, False, []),
    )
    def test_stage(self, failure, headed, kind, output, wanted):
        """The stage is the progress of the run when its connection broke.

        No crash counts against a batch item, which is owed.
        """
        upstream = Breaking(failure, headed, lives=False)
        listener = self.play(upstream, kind, output)
        self.assertEqual(wanted, listener.stages)

    def test_caller_that_has_left(self):
        """A run without a response whose caller left counts once.

        The caller may have left because the replica crashed. A failure of the
        run after that does not count again.
        """
        upstream = Breaking(OutcomeUnknown(), headed=False, lives=False)
        listener = self.play(upstream, ONLINE, aborted=True)
        self.assertEqual([Stage.started], listener.stages)

    @params(
        (OutcomeUnknown(), False, False),
        (OutcomeUnknown(), False, True),
        (TruncatedReply(), True, False),
        (UpstreamSilent(), False, False),
    )
    def test_replica_that_lives(self, failure, headed, aborted):
        """A replica that accepts a new connection has not crashed."""
        upstream = Breaking(failure, headed, lives=True)
        listener = self.play(upstream, ONLINE, aborted=aborted)
        self.assertEqual([], listener.stages)
