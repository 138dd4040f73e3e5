"""API keys: parsing of the ``Authorization`` header, and key digests."""

import hashlib

SCHEME = 'bearer'


def key_digest(key: str) -> str:
    """Return the SHA-256 digest of ``key`` in hex.

    Keys are stored, sent and compared only as digests. A caller cannot
    choose a digest byte by byte, so the duration of a lookup by digest
    reveals nothing about the stored keys.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(authorization: str) -> str | None:
    """Return the bearer key of an ``Authorization`` header (RFC 6750).

    The scheme is matched in any case. Returns None if the header has
    another scheme or no key.
    """
    scheme, _, key = authorization.strip().partition(' ')
    key = key.strip()
    if scheme.lower() != SCHEME or not key:
        return None
    return key
