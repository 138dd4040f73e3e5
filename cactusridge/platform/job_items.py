"""Parses and checks the items of a submitted batch job.

What is accepted here is run later, without its caller. An item that cannot be
sent to a replica is refused with its job.
"""

import base64
import re
from collections.abc import Iterator
from typing import Any

from cactusridge import wire
from cactusridge.errors import BadRequest
from cactusridge.jobs.model import JobItem

MAX_ITEMS = 200
# A token of RFC 9110, as the name of a header has to be.
HEADER_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
# What the value of a header may hold: no control characters but a tab, and no
# characters that have no byte in Latin-1.
HEADER_VALUE = re.compile(r'[\t\x20-\x7e\x80-\xff]*')
ITEM_ID = re.compile(r'[\x21-\x7e]+')
# The target of a request, of visible characters; those from \x80 on are sent
# as bytes of Latin-1.
ITEM_PATH = re.compile(r'/[\x21-\x7e\x80-\xff]*')


def parse_items(raw: bytes) -> list[JobItem]:
    """Parse the items of a submission; raise BadRequest."""
    message = wire.decode(raw)
    listed = message.get('items') if isinstance(message, dict) else None
    if not isinstance(listed, list) or not 0 < len(listed) <= MAX_ITEMS:
        raise BadRequest(f'items must be a list of 1 to {MAX_ITEMS}')
    items = [_item(number, entry) for number, entry in enumerate(listed)]
    if len({item.id for item in items}) != len(items):
        raise BadRequest('two items have the same id')
    return items


def _item(number: int, entry: Any) -> JobItem:
    try:
        item = JobItem(
            str(entry['id']),
            str(entry['path']),
            {str(name): str(text) for name, text in entry['headers'].items()},
            entry['body'],
            int(entry.get('tokens', 0)),
        )
        base64.b64decode(item.body, validate=True)
    except (LookupError, TypeError, AttributeError) as exc:
        raise BadRequest(f'invalid item {number}: {exc!r}') from exc
    except ValueError as unreadable:
        raise BadRequest(f'invalid item {number}: {unreadable}') from unreadable
    field = next(_unsendable(item), None)
    if field is not None:
        raise BadRequest(
            f'item {number} cannot be sent: {field} has characters that a'
            ' request cannot carry',
            param=f'items.{number}.{field}',
        )
    return item


def _unsendable(item: JobItem) -> Iterator[str]:
    """Yield the fields of an item that cannot be sent over HTTP."""
    if not ITEM_ID.fullmatch(item.id):
        yield 'id'
    if not ITEM_PATH.fullmatch(item.path):
        yield 'path'
    for name, text in item.headers.items():
        is_name = HEADER_NAME.fullmatch(name)
        if not (is_name and HEADER_VALUE.fullmatch(text)):
            yield f'headers.{name}'
