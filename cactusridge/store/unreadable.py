"""Stored data that is there and cannot be read."""

from cactusridge.errors import CactusridgeError, Refused


class UnreadableRecord(Refused):
    """A row or object cannot be read; it is not absent.

    Nothing was done and nothing may replace it. Whoever repairs it
    makes the call succeed again.
    """

    code = 'unreadable_record'


class UnreadableField(CactusridgeError):
    """A field of a decoded value is missing or of another type."""

    code = 'unreadable_field'
