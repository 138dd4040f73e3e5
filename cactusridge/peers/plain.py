"""Conversion of messages to what the encoder of datagrams accepts."""

from typing import Any


def plain_message(message: Any) -> Any:
    """Return ``message`` with a list in place of each tuple, at any depth."""
    if isinstance(message, tuple | list):
        return [plain_message(each) for each in message]
    return message
