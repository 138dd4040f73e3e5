"""Entries ask each other since when what they know of keys is confirmed."""

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
# A way to any availability zone and back takes under 10 ms.
ANSWER_S = 0.2
# Peers asked at once, of which one is enough.
ASKED_PEERS = 3


class KeyQuestions:
    """Asks peers, and answers them with what this entry has."""

    def __init__(
        self,
        peers: PeerExchange,
        loads: LoadTable,
        source: KeySource,
        clock: Clock,
    ) -> None:
        """Ask those that ``loads`` has heard; answer from ``source``."""
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
        """Return the first answer; None if there is none in time.

        Its age is counted from the sending of the question, so that no
        answer that is late, or read late, makes it younger.
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
        """Take a peer's answer; raise ValueError or TypeError."""
        number, version, age_s = raw
        answer = self._open.get(number)
        if answer is not None:
            answer.set((int(version), max(0, float(age_s))))
