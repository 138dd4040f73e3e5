"""Parses and validates single lines of a batch input file."""

from types import MappingProxyType
from typing import Any, NamedTuple

import orjson

from cactusridge.errors import BadRequest

ENDPOINTS = ('/v1/chat/completions', '/v1/completions')
MAX_CUSTOM_ID = 512
PROMPT_FIELDS = MappingProxyType(
    {
        '/v1/chat/completions': ('messages', list),
        '/v1/completions': ('prompt', (str, list)),
    },
)


class BadLine(BadRequest):
    """A line of the input file is not a valid request."""

    code = 'invalid_line'


class Item(NamedTuple):
    """One request of a batch; ``body`` is its JSON."""

    custom_id: str
    url: str
    model: str
    body: bytes


def parse_line(raw: bytes, number: int) -> Item:
    """Return the item on line ``number`` (from 1); raise BadLine."""
    try:
        message = orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise _bad(number, '', f'the line is not JSON: {exc}') from exc
    if not isinstance(message, dict):
        raise _bad(number, '', 'the line is not a JSON object')
    custom_id = _check_id(message.get('custom_id'), number)
    if message.get('method', 'POST') != 'POST':
        raise _bad(number, 'method', 'POST is expected')
    url = message.get('url')
    if url not in ENDPOINTS:
        raise _bad(number, 'url', f'expected one of {", ".join(ENDPOINTS)}')
    model = _check_body(message.get('body'), url, number)
    return Item(custom_id, url, model, orjson.dumps(message['body']))


def _check_id(custom_id: Any, number: int) -> str:
    if not isinstance(custom_id, str) or not custom_id:
        raise _bad(number, 'custom_id', 'a string is expected')
    if len(custom_id) > MAX_CUSTOM_ID:
        raise _bad(
            number,
            'custom_id',
            f'longer than {MAX_CUSTOM_ID} characters',
        )
    return custom_id


def _check_body(body: Any, url: str, number: int) -> str:
    if not isinstance(body, dict):
        raise _bad(number, 'body', 'an object is expected')
    if not isinstance(body.get('model'), str):
        raise _bad(number, 'body.model', 'a string is expected')
    if body.get('stream'):
        raise _bad(number, 'body.stream', 'batch items cannot be streamed')
    field, kinds = PROMPT_FIELDS[url]
    if not isinstance(body.get(field), kinds):
        raise _bad(number, f'body.{field}', 'missing or of the wrong type')
    return body['model']


def _bad(number: int, field: str, expected: str) -> BadLine:
    place = f'line {number}'
    if field:
        place = f'{place}, {field}'
    return BadLine(f'{place}: {expected}', param=place)
