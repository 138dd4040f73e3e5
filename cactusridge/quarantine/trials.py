"""Lets a quarantined part of a prompt be tried again, seldom."""

from collections.abc import Callable, Iterable, Sequence

from cactusridge.clock import Clock
from cactusridge.quarantine.strike import QUARANTINE_POINTS, Strike

# Seconds from the last crash until a quarantined part is tried once. Each crash
# beyond those that suffice for the quarantine doubles them.
FIRST_TRIAL_S = 60.0
MIN_CRASHES = QUARANTINE_POINTS // 2


def nobody_tries(part: str) -> bool:
    """Return False: without other entries to agree with, nothing is tried."""
    return False


class Trials:
    """Decides when one request with a quarantined part may run.

    A sound part can be quarantined by bad luck. No request with it can then
    clear it, unless one is tried.
    """

    def __init__(self, clock: Clock) -> None:
        """Create trials that no entry makes until ``assign``."""
        self._clock = clock
        self._is_assigned: Callable[[str], bool] = nobody_tries
        self._next_at: dict[str, float] = {}
        # The id of the request that is tried and has not been sent yet, by
        # part.
        self._unsent: dict[str, str] = {}

    def assign(self, is_assigned: Callable[[str], bool]) -> None:
        """Try the parts for which ``is_assigned`` returns True here.

        It has to be True at one entry only.
        """
        self._is_assigned = is_assigned

    def take(
        self, part: str, strikes: Sequence[Strike], request_id: str
    ) -> bool:
        """Return whether a request with ``part`` is the one to be tried.

        It stays that until it is sent: it may be checked again after a wait
        for a slot.
        """
        if request_id and self._unsent.get(part) == request_id:
            return True
        if not self._is_assigned(part):
            return False
        delay_s = FIRST_TRIAL_S * 2 ** max(0, len(strikes) - MIN_CRASHES)
        now = self._clock.wall()
        due_at = max((each.at for each in strikes), default=now) + delay_s
        if now < max(due_at, self._next_at.get(part, 0)):
            return False
        self._next_at[part] = now + delay_s
        self._unsent[part] = request_id
        return True

    def record_sent(self, request_id: str, parts: Iterable[str]) -> None:
        """Record that a request is sent; a retry is not part of its trial."""
        for part in parts:
            if self._unsent.get(part) == request_id:
                self._unsent.pop(part)

    def forget(self, part: str) -> None:
        """Forget the trials of a part that is not quarantined any more."""
        self._next_at.pop(part, None)
        self._unsent.pop(part, None)
