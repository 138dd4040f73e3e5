"""Requests between entries about organisations' limits, by datagram."""

import itertools
from typing import Any

import gevent
from gevent.event import AsyncResult

from cactusridge.http.client import parse_address
from cactusridge.organisations.limit_counter import LimitCounter
from cactusridge.organisations.limit_messages import (
    LimitClient,
    LimitCopy,
    LimitRequest,
    LimitResponse,
)
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.exit_check import has_exited
from cactusridge.peers.peer_socket import Target
from cactusridge.peers.rate_limits import decode_limit

REQUEST_TOPIC = 'limit_asked'
RESPONSE_TOPIC = 'limit_told'
MOVED_TOPIC = 'limit_moved'
RETURNED_TOPIC = 'limit_back'
REMAINING_TOPIC = 'limit_left'
ADMITTED_TOPIC = 'limit_admitted'
# Timeout of a request in seconds. The round trip to any availability zone
# takes less than 10 ms, but a busy entry on a small host responds later.
RESPONSE_TIMEOUT_S = 0.08


class LimitRequests(LimitClient):
    """Sends limit requests to owner entries and responds as an owner."""

    def __init__(
        self,
        peers: PeerExchange,
        counter: LimitCounter,
        owners: LimitOwners,
    ) -> None:
        """Send and receive through ``peers``; respond from ``counter``."""
        self._peers = peers
        self._owners = owners
        self._counter = counter
        self._numbers = itertools.count()
        self._pending: dict[int, AsyncResult] = {}
        peers.on_message(REQUEST_TOPIC, self._handle_request)
        peers.on_message(RESPONSE_TOPIC, self._handle_response)
        peers.on_message(MOVED_TOPIC, self._handle_moved)
        peers.on_message(RETURNED_TOPIC, self._handle_return)
        peers.on_message(REMAINING_TOPIC, self._handle_remaining)
        peers.on_message(ADMITTED_TOPIC, self._handle_admitted)
        counter.on_counted(self._send_remaining)

    def request(self, entry: str, asked: LimitRequest) -> LimitResponse | None:
        """Send one request to an entry and wait for its response.

        Returns None if the response does not arrive within RESPONSE_TIMEOUT_S.
        """
        number = next(self._numbers)
        response: AsyncResult = AsyncResult()
        self._pending[number] = response
        name, limit, *more = asked
        payload = [number, name, list(limit), *more]
        self._peers.send_to(parse_address(entry), REQUEST_TOPIC, payload)
        try:
            return response.wait(timeout=RESPONSE_TIMEOUT_S)
        finally:
            self._pending.pop(number)

    def has_exited(self, entry: str) -> bool:
        """Return whether an entry's host refuses connections."""
        return has_exited(entry)

    def pause(self, length_s: float) -> None:
        """Wait while other greenlets receive messages."""
        gevent.sleep(length_s)

    def return_token(self, entry: str, name: str) -> None:
        """Notify an entry that a request it counted has not run."""
        self._peers.send_to(parse_address(entry), RETURNED_TOPIC, name)

    def _handle_request(self, peer: Target, raw: Any) -> None:
        """Respond to a peer's request; raises ValueError or TypeError."""
        number, *asked = raw
        outcome = self._counter.count(_decode_request(*asked))
        if outcome.moved_to:
            # A message of its own: an entry of the previous version reads the
            # response after it and ignores this one.
            moved = [number, outcome.moved_to]
            self._peers.send_to(peer, MOVED_TOPIC, moved)
        response = [number, outcome.counted, outcome.wait_s]
        self._peers.send_to(peer, RESPONSE_TOPIC, response)

    def _handle_response(self, peer: Target, raw: Any) -> None:
        number, counted, wait_s = raw
        response = self._pending.get(number)
        if response is not None:
            response.set(LimitResponse(bool(counted), float(wait_s)))

    def _handle_moved(self, peer: Target, raw: Any) -> None:
        number, moved_to = raw
        parse_address(moved_to)
        response = self._pending.get(number)
        if response is not None:
            found = LimitResponse(counted=False, moved_to=moved_to)
            response.set(found)

    def _send_remaining(self, copy: LimitCopy) -> None:
        """Send the remaining tokens to the other ranked entries."""
        name, limit, *more = copy
        for entry in self._owners.ranked_entries(name):
            if entry != self._owners.own_name:
                payload = [name, list(limit), *more]
                target = parse_address(entry)
                self._peers.send_to(target, REMAINING_TOPIC, payload)

    def _handle_remaining(self, peer: Target, raw: Any) -> None:
        """Apply an owner's remaining tokens; raises ValueError or TypeError."""
        *asked, tokens = raw
        found = _decode_request(*asked, as_backup=False, owners_exited=False)
        copy = LimitCopy(found.name, found.limit, found.version, float(tokens))
        self._counter.store_copy(copy)
        admitted = self._counter.pop_uncharged(found.name)
        if admitted:
            self._peers.send_to(peer, ADMITTED_TOPIC, [found.name, admitted])

    def _handle_admitted(self, peer: Target, raw: Any) -> None:
        """Count what a backup owner admitted; raises ValueError, TypeError."""
        name, admitted = raw
        self._counter.charge(str(name), max(0, int(admitted)))

    def _handle_return(self, peer: Target, raw: Any) -> None:
        self._counter.return_token(str(raw))


def _decode_request(
    name: Any,
    limit: Any,
    version: Any,
    as_backup: Any,
    owners_exited: Any,
) -> LimitRequest:
    """Return a peer's limit request; raises ValueError or TypeError."""
    return LimitRequest(
        str(name),
        decode_limit(limit),
        int(version),
        bool(as_backup),
        bool(owners_exited),
    )
