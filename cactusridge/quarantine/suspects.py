"""What an entry knows of requests that crash replicas."""

from collections.abc import Iterable, Sequence

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.errors import Quarantined
from cactusridge.quarantine.rules import QuarantineRule
from cactusridge.quarantine.strike import Pair, Stage, Strike
from cactusridge.quarantine.strike_book import StrikeBook
from cactusridge.quarantine.strike_listener import StrikeListener


class Suspects:
    """Notes under which requests replicas end; holds some of them back.

    Guards against requests that take one replica after the other with
    them, and all that runs there, for as long as they are brought.
    """

    def __init__(self, rule: QuarantineRule, clock: Clock) -> None:
        """Hold back by ``rule``."""
        self._book = StrikeBook(rule, clock)
        self._clock = clock
        self._listeners: list[StrikeListener] = []
        self._held: frozenset[str] = frozenset()

    def pass_on(self, listener: StrikeListener) -> None:
        """Tell ``listener`` of what this entry sees."""
        self._listeners.append(listener)

    def check(self, fingerprint: str) -> None:
        """Return if a request may run, else raise Quarantined."""
        if not self.is_held(fingerprint):
            return
        raise Quarantined(
            'replicas have crashed while they ran it',
            retry_after_s=self._book.held_for_s(fingerprint),
        )

    def is_held(self, fingerprint: str) -> bool:
        """Tell whether a request is held back."""
        return fingerprint in self._book.held()

    def crashed(self, fingerprint: str, life: str, stage: Stage) -> None:
        """Note that a replica has ended while it had this request."""
        strike = Strike(fingerprint, life, stage, self._clock.wall())
        if not self._add(strike):
            return
        known = self._book.strikes(fingerprint)
        for listener in self._listeners:
            listener.struck(known)

    def answered(self, life: str, sent_at: float) -> None:
        """Note that a replica answers a request sent at ``sent_at``.

        It lives, so it has not crashed under what broke off there before.
        """
        self._take_back(self._book.disproved(life, sent_at))

    def survived(self, fingerprint: str) -> None:
        """Note that a replica has run this request to its end."""
        found = self._book.strikes(fingerprint)
        self._take_back([each.pair for each in found])

    def hear(self, strikes: Iterable[Strike]) -> None:
        """Take strikes that another entry has noted."""
        for strike in strikes:
            self._add(strike)

    def is_withdrawn(self, pair: Pair) -> bool:
        """Tell whether a strike is known to have been taken back."""
        return self._book.is_withdrawn(pair)

    def hear_withdrawn(self, pairs: Iterable[Pair]) -> None:
        """Take it that another entry has taken strikes back."""
        if self._book.withdraw(pairs):
            self._report_held()

    def _take_back(self, pairs: Sequence[Pair]) -> None:
        if not pairs:
            return
        self._book.withdraw(pairs)
        self._report_held()
        for listener in self._listeners:
            listener.withdrawn(pairs)

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
        self._report_held()
        return True

    def _report_held(self) -> None:
        """Log who is held back from now on and who no longer is."""
        held = self._book.held()
        for caught in held - self._held:
            lives = [each.life for each in self._book.strikes(caught)]
            logs.emit(events.QUARANTINED, fingerprint=caught, lives=lives)
        for freed in self._held - held:
            logs.emit(events.QUARANTINE_ENDED, fingerprint=freed)
        self._held = held
        metrics.HELD_BACK.set({}, len(held))
