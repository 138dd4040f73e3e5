"""Why a caller is not let in."""

from cactusridge.errors import Overloaded, Refused, Unauthorized

# An entry that the store turns away does not know for how long; others
# have it, and a caller that comes back reaches another.
KEYS_RETRY_S = 0.3


class UnknownKey(Unauthorized):
    """The key is missing or unknown."""


class KeysUnsure(Refused):
    """This entry cannot vouch for the keys that it knows any more."""

    code = 'keys_unsure'
    come_back_s = KEYS_RETRY_S


class OverLimit(Overloaded):
    """The organisation is over its limit."""

    code = 'over_limit'


class LimitUnsure(Refused):
    """Nobody could be asked about the organisation's limit."""

    code = 'limit_unsure'
    come_back_s = KEYS_RETRY_S
