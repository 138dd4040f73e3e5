"""Finds out whether replicas that broke runs off have crashed."""

from typing import NamedTuple

import gevent

from cactusridge.dispatch.upstream import Upstream
from cactusridge.fleet.replica import Replica
from cactusridge.quarantine.strike import Stage
from cactusridge.quarantine.suspects import Suspects

# From a broken connection to the question whether its replica lives, in
# seconds: a process that ends closes its connections one by one.
PROBE_AFTER_S = 0.01
# And after a run that was given up: its replica may end just then.
LEFT_AFTER_S = 0.2


class BrokenRun(NamedTuple):
    """A run that broke off: of which request, and how far it had come."""

    fingerprint: str
    stage: Stage


class CrashWatch:
    """Notes runs that broke off, or fell silent, since their replica ended.

    Neither says so by itself: one that is still at its address lives.
    """

    def __init__(self, upstream: Upstream, suspects: Suspects) -> None:
        """Ask through ``upstream``, tell ``suspects``."""
        self._upstream = upstream
        self._suspects = suspects
        self._broken: dict[str, list[BrokenRun]] = {}

    def broke_off(self, replica: Replica, run: BrokenRun) -> None:
        """Take a run whose connection broke."""
        self._probe_later(PROBE_AFTER_S, replica, run)

    def given_up(self, replica: Replica, run: BrokenRun) -> None:
        """Take a run that was given up when nothing came.

        A replica whose host is gone ends without a word.
        """
        self._probe_later(LEFT_AFTER_S, replica, run)

    def _probe_later(
        self,
        pause_s: float,
        replica: Replica,
        run: BrokenRun,
    ) -> None:
        """Ask whether a replica lives, once for runs that end together."""
        broken = self._broken.setdefault(replica.life, [])
        broken.append(run)
        if len(broken) == 1:
            gevent.spawn_later(pause_s, self._probe, replica)

    def _probe(self, replica: Replica) -> None:
        broken = self._broken.pop(replica.life)
        if self._upstream.lives(replica):
            return
        for run in broken:
            self._suspects.crashed(run.fingerprint, replica.life, run.stage)
