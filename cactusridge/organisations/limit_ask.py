"""What entries ask each other about the limits of organisations."""

import abc
from typing import NamedTuple

from cactusridge.organisations.organisation import RateLimit


class LimitAsk(NamedTuple):
    """May one more request of an organisation be run?

    ``version`` is that of the configuration with ``limit``; a
    ``stand_in`` is asked where the home does not answer. ``alone`` says
    that the processes of all asked before it have ended for certain.
    """

    name: str
    limit: RateLimit
    version: int
    stand_in: bool = False
    alone: bool = False


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
    def has_ended(self, entry: str) -> bool:
        """Tell whether the process of a silent entry has ended for certain.

        One that is cut off, or whose host has no power, may live.
        """

    @abc.abstractmethod
    def give_back(self, entry: str, name: str) -> None:
        """Tell ``entry`` that a request it counted has not run."""
