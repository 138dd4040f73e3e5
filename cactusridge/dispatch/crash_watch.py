"""Finds out whether replicas that broke runs off have crashed."""

from typing import NamedTuple

import gevent

from cactusridge.dispatch.replica import Replica
from cactusridge.dispatch.upstream import Upstream
from cactusridge.quarantine.strike import Stage
from cactusridge.quarantine.suspects import Suspects

# From a broken connection to the question whether its replica lives, in
# seconds: a process that ends closes its connections one by one.
PROBE_AFTER_S = 0.01


class BrokenRun(NamedTuple):
    """A run that broke off: of which request, and how far it had come."""

    fingerprint: str
    stage: Stage


class CrashWatch:
    """Notes runs that broke off since their replica ended.

    A broken connection alone does not say so: one that takes another
    connection and keeps it lives.
    """

    def __init__(self, upstream: Upstream, suspects: Suspects) -> None:
        """Ask through ``upstream``, tell ``suspects``."""
        self._upstream = upstream
        self._suspects = suspects
        self._broken: dict[str, list[BrokenRun]] = {}

    def broke_off(self, replica: Replica, run: BrokenRun) -> None:
        """Take a broken run; those at one replica are asked for together."""
        broken = self._broken.setdefault(replica.life, [])
        broken.append(run)
        if len(broken) == 1:
            gevent.spawn_later(PROBE_AFTER_S, self._probe, replica)

    def _probe(self, replica: Replica) -> None:
        broken = self._broken.pop(replica.life)
        if self._upstream.accepts(replica):
            return
        for run in broken:
            self._suspects.crashed(run.fingerprint, replica.life, run.stage)
