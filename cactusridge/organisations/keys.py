"""Keys of callers: how they are sent, and the form in which they are kept."""

import hashlib

SCHEME = 'bearer'


def key_digest(key: str) -> str:
    """Return the form in which a key is kept, told and compared.

    An index by the digest cannot be steered byte by byte, so the time of
    a look-up says nothing about the keys in it.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(authorization: str) -> str | None:
    """Return the key of an ``Authorization`` header, by RFC 6750."""
    scheme, _, key = authorization.strip().partition(' ')
    key = key.strip()
    if scheme.lower() != SCHEME or not key:
        return None
    return key
