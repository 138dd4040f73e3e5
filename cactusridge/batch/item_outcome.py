"""Final outcomes of items, as lines of the output and error files."""

from http import HTTPStatus
from typing import Any, NamedTuple

import orjson

from cactusridge.errors import CactusridgeError


class ItemOutcome(NamedTuple):
    """A line of the output file if ``ok``, else of the error file."""

    ok: bool
    line: bytes


def answered(
    item_id: str,
    custom_id: str,
    status: int,
    body: bytes,
) -> ItemOutcome:
    """Return the outcome of an item to which the upstream responded.

    The outcome is ok only for status 200.
    """
    response = {
        'status_code': status,
        'request_id': item_id,
        'body': _json_or_text(body),
    }
    message = {
        'id': item_id,
        'custom_id': custom_id,
        'response': response,
        'error': None,
    }
    return ItemOutcome(status == HTTPStatus.OK, _line(message))


def failed(
    item_id: str,
    custom_id: str,
    exc: CactusridgeError,
    attempts: int,
) -> ItemOutcome:
    """Return the outcome of an item that failed and will not be retried."""
    message = {
        'id': item_id,
        'custom_id': custom_id,
        'response': None,
        'error': {
            'code': exc.code,
            'message': str(exc),
            'attempts': attempts,
        },
    }
    return ItemOutcome(False, _line(message))


def _line(message: dict[str, Any]) -> bytes:
    return orjson.dumps(message, option=orjson.OPT_APPEND_NEWLINE)


def _json_or_text(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return body.decode(errors='replace')
