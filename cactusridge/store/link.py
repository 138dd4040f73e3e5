"""Calls to the platform: rate limit, circuit breaker and typed errors."""

import random
from typing import Any, NamedTuple

import gevent
from geventhttpclient.response import HTTPConnectionClosed, HTTPParseError

from cactusridge import metrics
from cactusridge.clock import Clock
from cactusridge.errors import StoreUnavailable
from cactusridge.http.client import Address, Clients
from cactusridge.store.breaker import MAX_PAUSE_S, Breaker
from cactusridge.store.budget import StoreBudget
from cactusridge.store.contact import StoreContact
from cactusridge.store.reply_timeout import ReplyTimeout
from cactusridge.store.table import Priority, WriteUnknown

SERVER_FAULT = 500
NOT_FOUND = 404
TOO_MANY = 429
CONNECT_TIMEOUT_S = 1
READ_TRIES = 2


class PlatformAnswer(NamedTuple):
    """A reply of the platform: HTTP status, body and ETag."""

    status: int
    body: bytes
    tag: str = ''


class PlatformLink:
    """Sends HTTP calls to one service of the platform."""

    def __init__(
        self,
        address: Address,
        timeout: ReplyTimeout,
        calls_per_s: float,
        clock: Clock,
        rng: random.Random,
        max_pause_s: float = MAX_PAUSE_S,
        contact: StoreContact | None = None,
    ) -> None:
        """Limit each call by ``timeout``, and all to ``calls_per_s``.

        ``max_pause_s`` limits the backoff of the circuit breaker, in
        seconds. ``contact`` records each reply; links to the same store
        share one.
        """
        self.address = address
        self._timeout = timeout
        self._clock = clock
        self.breaker = Breaker(clock, rng, max_pause_s)
        self.budget = StoreBudget(clock, calls_per_s)
        self._clients = Clients(CONNECT_TIMEOUT_S, timeout.max_s)
        self._contact = contact or StoreContact(clock)

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        priority: Priority,
        headers: dict[str, str] | None = None,
    ) -> PlatformAnswer:
        """Send one call and return its reply.

        Raises StoreUnavailable if the call was not applied, WriteUnknown
        if it may have been.
        """
        self._admit(priority)
        try:
            answer = self._exchange(method, path, body, headers)
        except WriteUnknown:
            self._failed()
            raise
        if answer.status == TOO_MANY:
            raise StoreUnavailable(retry_after_s=1)
        if answer.status >= SERVER_FAULT:
            self._failed()
            raise StoreUnavailable(retry_after_s=self.breaker.wait_s() + 1)
        self.breaker.record_success()
        self._contact.record_reply()
        metrics.STORE_CALLS.inc({'outcome': 'answered'})
        return answer

    def call_with_retry(
        self,
        method: str,
        path: str,
        body: bytes,
        priority: Priority,
        headers: dict[str, str] | None = None,
    ) -> PlatformAnswer:
        """Send an idempotent call; retry it once if no reply is received.

        The retry uses a new connection, because an open one may have been
        the reason that no reply was received. Raises StoreUnavailable.
        """
        for _ in range(READ_TRIES):
            try:
                return self.call(method, path, body, priority, headers)
            except WriteUnknown as exc:
                lost = exc
        raise StoreUnavailable(str(lost), retry_after_s=1) from lost

    def _admit(self, priority: Priority) -> None:
        """Wait for the rate limit; raise StoreUnavailable if it is too long."""
        wait_s = self.breaker.wait_s()
        if wait_s:
            raise StoreUnavailable(retry_after_s=wait_s + 1)
        for _ in range(100):
            if self.budget.take(priority):
                return
            gevent.sleep(min(0.1, self.budget.wait_s(priority)))
        raise StoreUnavailable(retry_after_s=1)

    def _exchange(self, *parts: Any) -> PlatformAnswer:
        method, path, body, headers = parts
        limit = gevent.Timeout(self._timeout.seconds)
        sent_at = self._clock.monotonic()
        try:
            with (
                limit,
                self._clients.send(
                    self.address,
                    path,
                    body,
                    headers,
                    method,
                ) as resp,
            ):
                tag = resp.get('etag') or ''
                raw = resp.read()
                self._timeout.record_reply(self._clock.monotonic() - sent_at)
                return PlatformAnswer(resp.status_code, raw, tag)
        except ConnectionRefusedError as exc:
            self._failed()
            raise StoreUnavailable(retry_after_s=1) from exc
        except (OSError, HTTPParseError, HTTPConnectionClosed) as exc:
            raise WriteUnknown(repr(exc)) from exc
        except gevent.Timeout as exc:
            if exc is not limit:
                raise
            self._timeout.record_timeout()
            raise WriteUnknown(
                'the store sent no reply before the timeout'
            ) from exc

    def _failed(self) -> None:
        metrics.STORE_CALLS.inc({'outcome': 'failed'})
        # The idle connections to the address may be broken as well.
        self._clients.drop(self.address)
        self.breaker.record_failure()
