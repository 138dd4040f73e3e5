"""Errors of stored data that exists but cannot be parsed."""

from cactusridge.errors import CactusridgeError, Refused


class UnreadableRecord(Refused):
    """A stored row or object exists but cannot be read.

    Nothing was done, and the stored data is not replaced. The request can
    succeed once the data is repaired.
    """

    code = 'unreadable_record'


class UnreadableField(CactusridgeError):
    """A field of a decoded value is missing or of another type."""

    code = 'unreadable_field'
