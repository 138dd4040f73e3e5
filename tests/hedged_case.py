"""A test case with two scripted runs of a request."""

import unittest
from unittest import mock

from cactusridge.clock import ManualClock
from cactusridge.dispatch.awaited import AwaitedHead
from cactusridge.dispatch.hedging import Hedging
from cactusridge.dispatch.online_call import Progress
from cactusridge.dispatch.upstream import (
    UpstreamHead,
    UpstreamSilent,
)
from cactusridge.errors import NoReplica, OutcomeUnknown
from cactusridge.fleet.replica import Replica, ReplicaState
from cactusridge.http.client import Address
from tests.waiting_calls import ROUTE, call_of

DEADLINE_S = 5
SUCCESS = UpstreamHead(200, [], not_run=False, misdirected=False, signed=True)
FAILURE = SUCCESS._replace(status=500)


def replica(name):
    """Return a replica."""
    address = Address('127.0.0.1', 1)
    return Replica(name, 's', address, 'z', 8, ReplicaState.ready)


class ScriptedRun:
    """A run that brings parts of an answer at given times."""

    def __init__(self, clock, name, steps):
        """Bring each of ``steps``, pairs of a time and a part or an error."""
        self.replica = replica(name)
        self._clock = clock
        self._steps = list(steps)
        self.is_closed = False
        self.checks = 0
        self.failures = 0

    def head(self, wait_s, final=True):
        """Return the next part or raise an error."""
        until_s = self._clock.monotonic() + wait_s
        if not self._steps or self._steps[0][0] > until_s:
            self._clock.advance(wait_s)
            raise UpstreamSilent
        at_s, found = self._steps.pop(0)
        self._clock.advance(max(0, at_s - self._clock.monotonic()))
        if isinstance(found, Exception):
            raise found
        return found

    def read(self, wait_s, final=True):
        """Return the next part or raise an error."""
        return self.head(wait_s)

    def close(self):
        """Record that the run was closed."""
        self.is_closed = True

    def abort(self):
        """Record that the run was aborted."""
        self._steps = [(0, OutcomeUnknown('aborted'))]

    def check_abandoned(self):
        """Count the checks whether the replica has crashed."""
        self.checks += 1

    def record_failure(self):
        """Count the failures."""
        self.failures += 1


class HedgedCase(unittest.TestCase):
    """One request at one replica, and attempts that may find another."""

    def setUp(self):
        """Create a request that may be repeated."""
        self.clock = ManualClock()
        route = ROUTE._replace(resumable=True, attempts=2)
        self.call = call_of('press', DEADLINE_S)._replace(route=route)
        self.progress = Progress()
        self.progress.tried = ['one']
        self.progress.may_have_run = 1
        self.attempts = mock.Mock()
        self.attempts.wait_s.side_effect = self._wait_s
        self.attempts.tolerated_silence_s.return_value = 0.3
        self.attempts.choose_other.side_effect = self._choose
        self.attempts.open.side_effect = self._open
        self.log = mock.Mock()
        self.hedging = Hedging(self.attempts, self.clock, self.log)
        self.sent = []
        self.open_failure = None

    def runs(self, first, second=()):
        """Script both runs with steps; see ScriptedRun."""
        self.first = ScriptedRun(self.clock, 'one', first)
        self.second = ScriptedRun(self.clock, 'two', second)

    def reasons(self):
        """Return the logged reasons."""
        return [each.args[2].reason for each in self.log.silence.mock_calls]

    def head(self):
        """Wait for a head."""
        awaited = AwaitedHead(
            self.call, self.first, self.progress, self.call.req
        )
        return self.hedging.head(awaited)

    def _wait_s(self, call, limit_s):
        left_s = call.deadline_at - self.clock.monotonic()
        return left_s if limit_s is None else min(left_s, limit_s)

    def _choose(self, call, progress, current, may_stay):
        if 'two' in progress.tried:
            raise NoReplica
        return replica('two')

    def _open(self, call, found, progress, req):
        progress.tried.append(found.incarnation)
        if self.open_failure is not None:
            raise self.open_failure
        progress.may_have_run += 1
        self.sent.append(req)
        return self.second
