"""Conversion between strikes and rows of the store."""

from cactusridge.hashing import hash64
from cactusridge.quarantine.strike import Stage, Strike, StrikePair
from cactusridge.store.fields import Fields
from cactusridge.store.table import Row, Write


def strike_key(prefix: str, pair: StrikePair) -> str:
    """Return the key of a strike's row below ``prefix``.

    The key contains a hash of the incarnation key, which may itself be longer
    than a row key can be.
    """
    fingerprint, incarnation = pair
    return f'{prefix}{fingerprint}.{hash64(incarnation):016x}'


def strike_write(prefix: str, strike: Strike) -> Write:
    """Return the write that stores a strike."""
    return Write(strike_key(prefix, strike.pair), strike._asdict())


def decode_strike(row: Row) -> Strike:
    """Return the strike in a row; raises UnreadableField."""
    fields = Fields(row.value)
    return Strike(
        fields.text('fingerprint'),
        fields.text('life'),
        fields.enum_value('stage', Stage),
        fields.number('at'),
        fields.text('request', ''),
        fields.integer('position', 0),
    )
