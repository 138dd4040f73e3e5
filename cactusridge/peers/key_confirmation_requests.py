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

REQUEST_TOPIC = 'keys_asked'
RESPONSE_TOPIC = 'keys_told'
# Timeout of a request in seconds; the round trip to any availability zone
# takes less than 10 ms.
RESPONSE_TIMEOUT_S = 0.2
# Peers that receive a request at the same time; one response suffices.
REQUESTED_PEERS = 3


class KeyConfirmationRequests:
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
        self._pending: dict[int, AsyncResult] = {}
        peers.on_message(REQUEST_TOPIC, self._handle_request)
        peers.on_message(RESPONSE_TOPIC, self._handle_response)

    def request(self) -> KeysConfirmed | None:
        """Return the first response, or None if none arrives in time.

        The age in the response is counted back from the time the request was
        sent, so that a response that is delayed or read late does not make the
        confirmation look more recent than it is.
        """
        names = sorted(self._loads.current_peers())
        number = next(self._numbers)
        response: AsyncResult = AsyncResult()
        self._pending[number] = response
        sent_at = self._clock.monotonic()
        for name in self._rng.sample(names, min(REQUESTED_PEERS, len(names))):
            self._peers.send_to(parse_address(name), REQUEST_TOPIC, number)
        try:
            received = response.wait(timeout=RESPONSE_TIMEOUT_S)
        finally:
            self._pending.pop(number)
        if received is None:
            return None
        version, age_s = received
        return KeysConfirmed(version, sent_at - age_s)

    def _handle_request(self, peer: Target, raw: Any) -> None:
        confirmed = self._source.confirmation()
        if confirmed is not None:
            age_s = self._clock.monotonic() - confirmed.confirmed_at
            self._peers.send_to(
                peer, RESPONSE_TOPIC, [raw, confirmed.version, age_s]
            )

    def _handle_response(self, peer: Target, raw: Any) -> None:
        """Apply a peer's response; raises ValueError or TypeError."""
        number, version, age_s = raw
        response = self._pending.get(number)
        if response is not None:
            response.set((int(version), max(0, float(age_s))))
