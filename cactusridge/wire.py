"""Encoding of the JSON that processes exchange."""

from typing import Any

import orjson

from cactusridge.errors import BadRequest


def encode(message: Any) -> bytes:
    """Return ``message`` as UTF-8 JSON."""
    return orjson.dumps(message)


def canonical(message: Any) -> bytes:
    """Return ``message`` as JSON with sorted keys."""
    return orjson.dumps(message, option=orjson.OPT_SORT_KEYS)


def decode(raw: bytes) -> Any:
    """Return the decoded JSON of ``raw``; raise BadRequest if invalid."""
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise BadRequest(f'invalid JSON: {exc}') from exc
