"""Limits retries to a share of requests, to prevent retry storms."""

import abc
from typing import ClassVar

INITIAL_TOKENS = 3
MAX_TOKENS = 50


class RetryPolicy(abc.ABC):
    """Decides whether a failed dispatch may be retried."""

    max_attempts: ClassVar[int] = 3

    @abc.abstractmethod
    def record_request(self) -> None:
        """Record a new request."""

    @abc.abstractmethod
    def allow(self, attempts: int) -> bool:
        """Return whether a request may be retried after some ``attempts``."""


class RetryThrice(RetryPolicy):
    """Naive policy: three retries for each request, without delay."""

    max_attempts = 4

    def record_request(self) -> None:
        """Ignore the request."""

    def allow(self, attempts: int) -> bool:
        """Return whether fewer than ``max_attempts`` attempts were made."""
        return attempts < self.max_attempts


class RetryBudget(RetryPolicy):
    """A token bucket: a request adds ``share`` tokens, a retry takes one.

    Every entry has its own bucket. The share holds over all entries together
    without any communication between them.
    """

    def __init__(self, share: float) -> None:
        """Allow ``share`` retries for each request in the long run."""
        self._share = share
        self._tokens = float(INITIAL_TOKENS)

    def record_request(self) -> None:
        """Add the tokens of a new request."""
        self._tokens = min(MAX_TOKENS, self._tokens + self._share)

    def allow(self, attempts: int) -> bool:
        """Take one token if there is one and attempts are left.

        Returns whether a token was taken.
        """
        if attempts >= self.max_attempts or self._tokens < 1:
            return False
        self._tokens -= 1
        return True
