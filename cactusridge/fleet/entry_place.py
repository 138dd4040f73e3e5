"""An entry and where it is."""

from typing import NamedTuple


class EntryPlace(NamedTuple):
    """An entry's name, which is its peer address, and availability zone."""

    name: str
    zone: str
