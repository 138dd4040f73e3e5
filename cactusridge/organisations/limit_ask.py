"""What entries ask each other about the limits of organisations."""

import abc
from typing import NamedTuple

from cactusridge.organisations.organisation import RateLimit


class LimitAsk(NamedTuple):
    """May one more request of an organisation be run?

    ``version`` is that of the configuration with ``limit``; a
    ``stand_in`` is asked where the home does not answer.
    """

    name: str
    limit: RateLimit
    version: int
    stand_in: bool = False


class LimitTold(NamedTuple):
    """An answer: the seconds until the request may be run, 0 for now.

    One that is not ``counted`` says that the entry does not count for
    this organisation.
    """

    counted: bool
    wait_s: float = 0


class LimitCopy(NamedTuple):
    """How many ``tokens`` the home of an organisation has left.

    ``version`` is that of the configuration with ``limit``.
    """

    name: str
    limit: RateLimit
    version: int
    tokens: float


NOT_COUNTED = LimitTold(counted=False)


class Asker(abc.ABC):
    """Asks other entries."""

    @abc.abstractmethod
    def ask(self, entry: str, asked: LimitAsk) -> LimitTold | None:
        """Return the answer of ``entry``; None if there is none in time."""

    @abc.abstractmethod
    def give_back(self, entry: str, name: str) -> None:
        """Tell ``entry`` that a request it counted has not run."""
