"""Ejects failing or slow replicas and readmits them after trial requests."""

import abc
import statistics
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock

FAILURES_TO_EJECT = 3
SLOW_FACTOR = 3
MIN_SAMPLES = 8
FIRST_EJECTION_S = 2
MAX_EJECTION_S = 30
MAX_EJECTED_SHARE = 0.5
TRIAL_REQUESTS = 2
MAX_TRACKED = 4096


class Health(NamedTuple):
    """The health of one replica as its responses show it.

    ``pace_s`` is the last pace in seconds per token, ``pause_s`` the length of
    the next ejection in seconds, ``ejected_until`` a monotonic time, and
    ``trials`` the number of trial requests that must still succeed.
    """

    failures: int = 0
    pace_s: float = 0
    samples: int = 0
    pause_s: float = FIRST_EJECTION_S
    ejected_until: float = 0
    trials: int = 0


class OutlierDetector(abc.ABC):
    """Decides which replicas may be chosen."""

    @abc.abstractmethod
    def succeeded(self, key: str, pace_s: float) -> None:
        """Record a response of a replica with a pace of ``pace_s``.

        The pace is the engine's time per token in seconds, without the time in
        a queue: a long queue means much work and not a bad replica. Plain
        services have no pace; it is 0 for them.
        """

    @abc.abstractmethod
    def failed(self, key: str, certain: bool = False) -> None:
        """Record a failure; ``certain`` if no request can have caused it."""

    @abc.abstractmethod
    def forget(self, key: str) -> None:
        """Discard the health of a replica incarnation that has ended."""

    @abc.abstractmethod
    def selectable(self, keys: Iterable[str]) -> set[str]:
        """Return those of ``keys`` that may be chosen now."""


class NoEjection(OutlierDetector):
    """Naive detector: never ejects a replica."""

    def succeeded(self, key: str, pace_s: float) -> None:
        """Ignore the response."""

    def failed(self, key: str, certain: bool = False) -> None:
        """Ignore the failure."""

    def forget(self, key: str) -> None:
        """Do nothing, since no health is kept."""

    def selectable(self, keys: Iterable[str]) -> set[str]:
        """Return all ``keys``."""
        return set(keys)


class OutlierEjector(OutlierDetector):
    """Ejects on consecutive failures or a pace far above the median.

    At most half of the replicas are excluded at once. After its ejection a
    replica gets a few trial requests; only their success readmits it.
    """

    def __init__(
        self,
        clock: Clock,
        failures: int = FAILURES_TO_EJECT,
        first_pause_s: float = FIRST_EJECTION_S,
        max_pause_s: float = MAX_EJECTION_S,
    ) -> None:
        """Create a detector that has ejected no replica.

        ``failures`` is the number of consecutive failures that eject a
        replica. The first ejection lasts ``first_pause_s`` seconds. Each
        further one before the replica is readmitted lasts twice as long, up to
        ``max_pause_s``.
        """
        self._clock = clock
        self._failures = failures
        self._first_pause_s = first_pause_s
        self._max_pause_s = max_pause_s
        self._health: OrderedDict[str, Health] = OrderedDict()

    def succeeded(self, key: str, pace_s: float) -> None:
        """Record a response of a replica with a pace of ``pace_s``.

        The pace is the engine's time per token in seconds, without the time in
        a queue: a long queue means much work and not a bad replica. Plain
        services have no pace; it is 0 for them.
        """
        old = self._health.get(key, self._new_health())
        health = old._replace(
            failures=0,
            pace_s=pace_s,
            samples=old.samples + 1,
            trials=max(0, old.trials - 1),
        )
        if not health.trials:
            health = health._replace(
                pause_s=self._first_pause_s,
                ejected_until=0,
            )
        self._store_health(key, health)
        if health.samples >= MIN_SAMPLES and self._is_slow(key):
            self._eject(key)

    def failed(self, key: str, certain: bool = False) -> None:
        """Record a failure.

        A certain failure or a failed trial request ejects the replica at once.
        """
        old = self._health.get(key, self._new_health())
        self._store_health(key, old._replace(failures=old.failures + 1))
        if certain or old.trials or old.failures + 1 >= self._failures:
            self._eject(key)

    def forget(self, key: str) -> None:
        """Discard the health of a replica incarnation that has ended."""
        self._health.pop(key, None)

    def selectable(self, keys: Iterable[str]) -> set[str]:
        """Return those of ``keys`` that may be chosen now."""
        given = set(keys)
        ejected = {key for key in given if self._is_ejected(key)}
        max_ejected = int(len(given) * MAX_EJECTED_SHARE)
        # If more than MAX_EJECTED_SHARE of the replicas are ejected, those
        # whose ejection ends first are allowed nevertheless.
        by_return = sorted(
            ejected,
            key=lambda key: self._health[key].ejected_until,
        )
        readmitted = by_return[: max(0, len(ejected) - max_ejected)]
        return given - ejected | set(readmitted)

    def _new_health(self) -> Health:
        return Health(pause_s=self._first_pause_s)

    def _store_health(self, key: str, health: Health) -> None:
        self._health[key] = health
        self._health.move_to_end(key)
        if len(self._health) > MAX_TRACKED:
            # The least recently updated replica has probably ended long ago.
            self._health.popitem(last=False)

    def _is_ejected(self, key: str) -> bool:
        health = self._health.get(key)
        if health is None:
            return False
        return health.ejected_until > self._clock.monotonic()

    def _is_slow(self, key: str) -> bool:
        others = [
            health.pace_s
            for other, health in self._health.items()
            if other != key and health.samples >= MIN_SAMPLES
        ]
        if not others:
            return False
        median = statistics.median(others)
        return self._health[key].pace_s > SLOW_FACTOR * median

    def _eject(self, key: str) -> None:
        old = self._health[key]
        metrics.EJECTIONS.inc({})
        logs.emit(
            events.REPLICA_EJECTED,
            replica=key,
            pace_s=old.pace_s,
            failures=old.failures,
            pause_s=old.pause_s,
        )
        self._health[key] = old._replace(
            failures=0,
            pace_s=0,
            samples=0,
            trials=TRIAL_REQUESTS,
            ejected_until=self._clock.monotonic() + old.pause_s,
            pause_s=min(self._max_pause_s, old.pause_s * 2),
        )
