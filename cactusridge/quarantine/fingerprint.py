"""Which requests are the same one, whoever takes them and when."""

import hashlib

# Bytes of a fingerprint: two requests never share one by chance.
DIGEST_BYTES = 16
LENGTH_BYTES = 8


def fingerprint_of(
    caller: str,
    method: str,
    host: str,
    target: str,
    body: bytes,
) -> str:
    """Return what all repeats of a request have in common, as hex digits.

    Ids, deadlines and other headers differ from repeat to repeat. The
    hash is a cryptographic one, so that no caller can have another's
    request taken for its own.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (caller, method, host, target):
        _add(digest, part.encode())
    _add(digest, body)
    return digest.hexdigest()


def _add(digest: hashlib.blake2b, part: bytes) -> None:
    """Hash a part with its length, so that no text counts for two."""
    digest.update(len(part).to_bytes(LENGTH_BYTES, 'big'))
    digest.update(part)
