"""Requests between entries about organisations' limits, by datagram."""

import itertools
from typing import Any

from gevent import socket
from gevent.event import AsyncResult

from cactusridge.http.client import parse_address
from cactusridge.organisations.homes import Homes
from cactusridge.organisations.limit_ask import (
    Asker,
    LimitAsk,
    LimitCopy,
    LimitTold,
)
from cactusridge.organisations.limit_home import LimitHome
from cactusridge.organisations.organisation import RateLimit
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.peer_socket import Target

ASKED = 'limit_asked'
TOLD = 'limit_told'
GIVEN_BACK = 'limit_back'
LEFT = 'limit_left'
# Timeout of a request in seconds. The round trip to any availability zone
# takes less than 10 ms, but a busy entry on a small host responds later.
ANSWER_S = 0.08


class LimitQuestions(Asker):
    """Sends limit requests to owner entries and responds as an owner."""

    def __init__(
        self,
        peers: PeerExchange,
        home: LimitHome,
        homes: Homes,
    ) -> None:
        """Send and receive through ``peers``; respond from ``home``."""
        self._peers = peers
        self._homes = homes
        self._home = home
        self._numbers = itertools.count()
        self._open: dict[int, AsyncResult] = {}
        peers.on_said(ASKED, self._hear_question)
        peers.on_said(TOLD, self._hear_answer)
        peers.on_said(GIVEN_BACK, self._hear_back)
        peers.on_said(LEFT, self._hear_left)
        home.on_counted(self._tell_left)

    def ask(self, entry: str, asked: LimitAsk) -> LimitTold | None:
        """Send one request to an entry and wait for its response.

        Returns None if the response does not arrive within ANSWER_S.
        """
        number = next(self._numbers)
        answer: AsyncResult = AsyncResult()
        self._open[number] = answer
        name, limit, *more = asked
        about = [number, name, list(limit), *more]
        self._peers.say_to(parse_address(entry), ASKED, about)
        try:
            return answer.wait(timeout=ANSWER_S)
        finally:
            self._open.pop(number)

    def has_ended(self, entry: str) -> bool:
        """Return whether an entry's host refuses connections at its address."""
        try:
            sock = socket.create_connection(parse_address(entry), ANSWER_S)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        sock.close()
        return False

    def give_back(self, entry: str, name: str) -> None:
        """Notify an entry that a request it counted has not run."""
        self._peers.say_to(parse_address(entry), GIVEN_BACK, name)

    def _hear_question(self, peer: Target, raw: Any) -> None:
        """Respond to a peer's request; raises ValueError or TypeError."""
        number, *asked = raw
        told = self._home.answer(_ask_in(*asked))
        self._peers.say_to(peer, TOLD, [number, *told])

    def _hear_answer(self, peer: Target, raw: Any) -> None:
        number, counted, wait_s = raw
        answer = self._open.get(number)
        if answer is not None:
            answer.set(LimitTold(bool(counted), float(wait_s)))

    def _tell_left(self, copy: LimitCopy) -> None:
        """Send the remaining tokens of an organisation to its backup owners."""
        name, limit, *more = copy
        for entry in self._homes.ranked(name)[1:]:
            about = [name, list(limit), *more]
            self._peers.say_to(parse_address(entry), LEFT, about)

    def _hear_left(self, peer: Target, raw: Any) -> None:
        """Apply an owner's remaining tokens; raises ValueError or TypeError."""
        *asked, tokens = raw
        found = _ask_in(*asked, stand_in=False, alone=False)
        copy = LimitCopy(found.name, found.limit, found.version, float(tokens))
        self._home.copied(copy)

    def _hear_back(self, peer: Target, raw: Any) -> None:
        self._home.give_back(str(raw))


def _ask_in(
    name: Any,
    limit: Any,
    version: Any,
    stand_in: Any,
    alone: Any,
) -> LimitAsk:
    """Return a peer's limit request; raises ValueError or TypeError."""
    rate_per_s, burst = map(float, limit)
    return LimitAsk(
        str(name),
        RateLimit(rate_per_s, burst),
        int(version),
        bool(stand_in),
        bool(alone),
    )
