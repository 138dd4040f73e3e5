"""Limits that are counted at one entry for each organisation."""

from cactusridge.clock import Clock
from cactusridge.organisations.errors import LimitUnsure
from cactusridge.organisations.homes import Homes
from cactusridge.organisations.limit_ask import Asker, LimitAsk, LimitTold
from cactusridge.organisations.limit_home import LimitHome
from cactusridge.organisations.limiter import Limiter
from cactusridge.organisations.organisation import RateLimit

# An entry that did not answer is not asked again for this long, seconds.
SILENT_S = 0.5


class HomeLimits(Limiter):
    """Asks the home of an organisation for each of its requests.

    A question costs a datagram each way and two copies of what is left,
    whatever the size of the fleet. Nothing is handed out before it is
    asked for: no share is left where nobody comes, or lost with its holder.
    """

    def __init__(
        self,
        me: str,
        homes: Homes,
        home: LimitHome,
        asker: Asker,
        clock: Clock,
    ) -> None:
        """Ask as ``me``; ``home`` answers where that is the home."""
        self._me = me
        self._homes = homes
        self._home = home
        self._asker = asker
        self._clock = clock
        self._silent_until: dict[str, float] = {}
        # Of the silent ones, those that have ended for certain.
        self._ended: set[str] = set()

    def take(self, name: str, limit: RateLimit, version: int) -> float:
        """Ask the home, then those who stand in for it."""
        asked = LimitAsk(name, limit, version)
        for entry in self._homes.ranked(name):
            told = self._ask(entry, asked)
            if told is not None and told.counted:
                return told.wait_s
            first = not asked.stand_in
            alone = (first or asked.alone) and self._has_ended(entry)
            asked = asked._replace(stand_in=True, alone=alone)
        raise LimitUnsure

    def give_back(self, name: str) -> None:
        """Tell the home; a word that is lost costs the one request."""
        home = self._homes.ranked(name)[0]
        if home == self._me:
            self._home.give_back(name)
        else:
            self._asker.give_back(home, name)

    def _has_ended(self, entry: str) -> bool:
        """Tell whether an entry that did not count has ended."""
        if entry not in self._ended:
            return False
        return self._silent_until.get(entry, 0) > self._clock.monotonic()

    def _ask(self, entry: str, asked: LimitAsk) -> LimitTold | None:
        if entry == self._me:
            return self._home.answer(asked)
        if self._silent_until.get(entry, 0) > self._clock.monotonic():
            return None
        told = self._asker.ask(entry, asked)
        if told is None:
            silent_until = self._clock.monotonic() + SILENT_S
            self._silent_until[entry] = silent_until
            self._note_end(entry)
        return told

    def _note_end(self, entry: str) -> None:
        """Find out whether an entry is silent since it has ended."""
        if self._asker.has_ended(entry):
            self._ended.add(entry)
        else:
            self._ended.discard(entry)
