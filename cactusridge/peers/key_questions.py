"""Requests between entries about how recently API keys were confirmed."""

import itertools
import random
from typing import Any

from gevent.event import AsyncResult

from cactusridge.clock import Clock
from cactusridge.http.client import parse_address
from cactusridge.organisations.key_source import KeysConfirmed, KeySource
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.peer_socket import Target

ASKED = 'keys_asked'
TOLD = 'keys_told'
# Timeout of a request in seconds; the round trip to any availability zone
# takes less than 10 ms.
ANSWER_S = 0.2
# Peers that receive a request at the same time; one response suffices.
ASKED_PEERS = 3


class KeyQuestions:
    """Sends requests to peers, and responds to theirs from local state."""

    def __init__(
        self,
        peers: PeerExchange,
        loads: LoadTable,
        source: KeySource,
        clock: Clock,
    ) -> None:
        """Send to peers with current counts in ``loads``.

        ``source`` provides the responses to the requests of peers.
        """
        self._peers = peers
        self._loads = loads
        self._source = source
        self._clock = clock
        self._rng = random.Random()  # noqa: S311
        self._numbers = itertools.count()
        self._open: dict[int, AsyncResult] = {}
        peers.on_said(ASKED, self._hear_question)
        peers.on_said(TOLD, self._hear_answer)

    def ask(self) -> KeysConfirmed | None:
        """Return the first response, or None if none arrives in time.

        The age in the response is counted back from the time the request was
        sent, so that a response that is delayed or read late does not make the
        confirmation look more recent than it is.
        """
        heard = sorted(self._loads.heard_lately())
        number = next(self._numbers)
        answer: AsyncResult = AsyncResult()
        self._open[number] = answer
        sent_at = self._clock.monotonic()
        for name in self._rng.sample(heard, min(ASKED_PEERS, len(heard))):
            self._peers.say_to(parse_address(name), ASKED, number)
        try:
            told = answer.wait(timeout=ANSWER_S)
        finally:
            self._open.pop(number)
        if told is None:
            return None
        version, age_s = told
        return KeysConfirmed(version, sent_at - age_s)

    def _hear_question(self, peer: Target, raw: Any) -> None:
        confirmed = self._source.confirmed()
        if confirmed is not None:
            age_s = self._clock.monotonic() - confirmed.at
            self._peers.say_to(peer, TOLD, [raw, confirmed.version, age_s])

    def _hear_answer(self, peer: Target, raw: Any) -> None:
        """Apply a peer's response; raises ValueError or TypeError."""
        number, version, age_s = raw
        answer = self._open.get(number)
        if answer is not None:
            answer.set((int(version), max(0, float(age_s))))
