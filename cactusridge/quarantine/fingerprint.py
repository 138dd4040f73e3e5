"""Fingerprints that identify repeats of a request, and parts of prompts.

A repeat has the same fingerprint at every entry and at any time.
"""

import functools
import hashlib

# Length of a fingerprint in bytes; long enough to rule out accidental
# collisions.
DIGEST_BYTES = 16
LENGTH_BYTES = 8
# Distinguishes the keys of prompt parts from the fingerprints of requests.
PART_PREFIX = 'part-'
# Size of the cache of keys of prompt parts.
KEPT_PART_KEYS = 4096


def fingerprint_of(
    caller: str,
    method: str,
    host: str,
    target: str,
    body: bytes,
) -> str:
    """Return the fingerprint of a request as hex digits.

    Request ids, deadlines and other headers differ between repeats and are not
    part of it. The hash is cryptographic, so that no caller can craft a
    request that is taken for the request of another caller.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (caller, method, host, target):
        _hash_part(digest, part.encode())
    _hash_part(digest, body)
    return digest.hexdigest()


@functools.lru_cache(KEPT_PART_KEYS)
def prompt_part_key(model: str, part_id: str) -> str:
    """Return the key of a part of a prompt for a model.

    It is the same for all callers, and no fingerprint of a request equals it.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (model, part_id):
        _hash_part(digest, part.encode())
    return f'{PART_PREFIX}{digest.hexdigest()}'


def is_part(key: str) -> bool:
    """Return whether a key is that of a part, not the one of a request."""
    return key.startswith(PART_PREFIX)


def _hash_part(digest: hashlib.blake2b, part: bytes) -> None:
    """Hash a part with its length, so that adjacent parts stay distinct."""
    digest.update(len(part).to_bytes(LENGTH_BYTES, 'big'))
    digest.update(part)
