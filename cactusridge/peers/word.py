"""What an entry tells its peers of itself."""

from typing import NamedTuple


class Word(NamedTuple):
    """What an entry tells of itself.

    ``version`` is that of the configuration in force there,
    ``has_store`` whether the store answers it, ``store_s`` for how many
    seconds it has done so without an outage; 0 vouches for nothing, as
    the word of an entry that does not tell it yet.
    """

    version: int
    has_store: bool
    store_s: float = 0
