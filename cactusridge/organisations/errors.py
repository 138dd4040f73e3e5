"""Errors raised when a caller's key or rate limit rejects its request."""

from cactusridge.errors import Overloaded, Refused, Unauthorized

# Retry-After value in seconds. An entry that cannot read the store does not
# know when it will recover, but other entries may still have access, and a
# caller that retries is likely to reach one of them.
KEYS_RETRY_S = 0.3


class UnknownKey(Unauthorized):
    """The key is missing or unknown."""


class KeysUnconfirmed(Refused):
    """This entry cannot confirm that its copy of the API keys is current."""

    code = 'keys_unsure'
    default_retry_after_s = KEYS_RETRY_S


class KeyMoved(Refused):
    """The key belongs to another organisation than when the request came."""

    code = 'key_moved'
    default_retry_after_s = KEYS_RETRY_S


class OverLimit(Overloaded):
    """The organisation has exceeded its rate limit."""

    code = 'over_limit'


class LimitUnavailable(Refused):
    """No entry that counts the organisation's rate limit could be reached."""

    code = 'limit_unsure'
    default_retry_after_s = KEYS_RETRY_S
