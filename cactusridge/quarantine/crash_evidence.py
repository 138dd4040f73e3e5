"""Quarantines requests and parts of prompts that crash replicas."""

from collections.abc import Callable, Iterable, Sequence
from typing import NoReturn

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.errors import Quarantined
from cactusridge.quarantine.recent_outputs import RecentOutputs
from cactusridge.quarantine.rules import QuarantineRule
from cactusridge.quarantine.strike import Stage, Strike, StrikePair
from cactusridge.quarantine.strike_book import StrikeBook
from cactusridge.quarantine.strike_listener import StrikeListener
from cactusridge.quarantine.trials import Trials


class CrashEvidence:
    """Records the requests under which replicas crash; quarantines some.

    A request that crashes its replica would otherwise crash one replica after
    another, with all requests running there, for as long as callers send it.
    """

    def __init__(self, rule: QuarantineRule, clock: Clock) -> None:
        """Create an object that quarantines by ``rule``."""
        self._book = StrikeBook(rule, clock)
        self._outputs = RecentOutputs(clock)
        self._trials = Trials(clock)
        self._clock = clock
        self._listeners: list[StrikeListener] = []
        self._quarantined: frozenset[str] = frozenset()

    def add_listener(self, listener: StrikeListener) -> None:
        """Notify ``listener`` of strikes and withdrawals of this entry."""
        self._listeners.append(listener)

    def check(
        self,
        fingerprint: str,
        parts: Sequence[str] = (),
        request_id: str = '',
    ) -> None:
        """Return if a request may run; raises Quarantined otherwise.

        ``parts`` are the keys of the parts of its prompt. A quarantined part
        may be due for a trial, which the request with this id then is until it
        is sent. Without an id it has to be sent at once.
        """
        quarantined = self._book.quarantined()
        if fingerprint in quarantined:
            self._raise_quarantined(fingerprint)
        for part in quarantined.intersection(parts):
            strikes = self._book.strikes(part)
            if not self._trials.take(part, strikes, request_id):
                self._raise_quarantined(part)

    def record_sent(self, request_id: str, parts: Sequence[str]) -> None:
        """Record that a request is sent to a replica; see ``check``."""
        self._trials.record_sent(request_id, parts)

    def is_quarantined(
        self, fingerprint: str, parts: Sequence[str] = ()
    ) -> bool:
        """Return whether a request, or a part of its prompt, is quarantined."""
        quarantined = self._book.quarantined()
        return not quarantined.isdisjoint((fingerprint, *parts))

    def try_again(self, is_assigned: Callable[[str], bool]) -> None:
        """Try quarantined parts for which ``is_assigned`` returns True."""
        self._trials.assign(is_assigned)

    def crashed(self, fingerprint: str, incarnation: str, stage: Stage) -> None:
        """Record that a replica crashed while it had this request."""
        strike = Strike(fingerprint, incarnation, stage, self._clock.wall())
        self._record(strike)

    def crashed_without_output(
        self,
        fingerprint: str,
        incarnation: str,
        stage: Stage,
        parts: Sequence[str],
    ) -> None:
        """Record that a replica crashed before a request brought output.

        That counts against the ``parts`` of its prompt, but for those that
        have brought output lately in other requests.
        """
        now = self._clock.wall()
        for position, part in enumerate(parts):
            if not self._outputs.is_recent(part):
                self._record(
                    Strike(part, incarnation, stage, now, fingerprint, position)
                )

    def record_output(self, parts: Sequence[str]) -> None:
        """Record that a request has brought output.

        No part of its prompt crashes the replicas that run it, so the strikes
        of all of them are withdrawn.
        """
        for part in parts:
            self._outputs.record(part)
            found = self._book.strikes(part)
            self._withdraw([each.pair for each in found])

    def answered(self, incarnation: str, sent_at: float) -> None:
        """Record that a replica responded to a request sent at ``sent_at``.

        ``sent_at`` is a monotonic time. The replica is running, so it did not
        crash under the requests that broke off there earlier.
        """
        self._withdraw(self._book.disproved(incarnation, sent_at))

    def record_completion(self, fingerprint: str) -> None:
        """Record that a replica has run this request to completion."""
        found = self._book.strikes(fingerprint)
        self._withdraw([each.pair for each in found])

    def add_strikes(self, strikes: Iterable[Strike]) -> None:
        """Add strikes received from another entry."""
        for strike in strikes:
            self._add(strike)

    def is_withdrawn(self, pair: StrikePair) -> bool:
        """Return whether a strike is known to be withdrawn."""
        return self._book.is_withdrawn(pair)

    def apply_withdrawals(self, pairs: Iterable[StrikePair]) -> None:
        """Apply withdrawals received from another entry."""
        if self._book.withdraw(pairs):
            self._report_quarantined()

    def _raise_quarantined(self, key: str) -> NoReturn:
        raise Quarantined(
            'replicas have crashed while running this request',
            retry_after_s=self._book.min_remaining_s(key),
        )

    def _record(self, strike: Strike) -> None:
        """Add a strike of this entry and publish it if it is new."""
        if not self._add(strike):
            return
        known = self._book.strikes(strike.fingerprint)
        for listener in self._listeners:
            listener.publish_strikes(known)

    def _withdraw(self, pairs: Sequence[StrikePair]) -> None:
        if not pairs:
            return
        self._book.withdraw(pairs)
        self._report_quarantined()
        for listener in self._listeners:
            listener.publish_withdrawals(pairs)

    def _add(self, strike: Strike) -> bool:
        if not self._book.add(strike):
            return False
        metrics.CRASH_STRIKES.inc({'stage': strike.stage})
        logs.emit(
            events.CRASH_SUSPECTED,
            fingerprint=strike.fingerprint,
            life=strike.life,
            stage=strike.stage,
            strikes=len(self._book.strikes(strike.fingerprint)),
        )
        self._report_quarantined()
        return True

    def _report_quarantined(self) -> None:
        """Log which requests enter and leave quarantine; update the metric."""
        quarantined = self._book.quarantined()
        for added in quarantined - self._quarantined:
            incarnations = [each.life for each in self._book.strikes(added)]
            logs.emit(events.QUARANTINED, fingerprint=added, lives=incarnations)
        for removed in self._quarantined - quarantined:
            logs.emit(events.QUARANTINE_ENDED, fingerprint=removed)
            self._trials.forget(removed)
        self._quarantined = quarantined
        metrics.QUARANTINED_REQUESTS.set({}, len(quarantined))
