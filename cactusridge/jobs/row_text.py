"""Splits long texts into pieces that fit into rows of the store."""

import itertools

from cactusridge import wire

# Maximum length of the text in one row, in characters.
PIECE_CHARS = 16_000
# Maximum size of its JSON, in bytes: a row of the store holds at most 65,536.
PIECE_BYTES = 60_000
# The most bytes that one character takes in JSON, as ``\\u0000``.
CHAR_BYTES = 6


def split_text(text: str) -> list[str]:
    """Split ``text`` into pieces that fit into a row.

    An empty text gives one empty piece.
    """
    starts = range(0, max(1, len(text)), PIECE_CHARS)
    pieces = (text[start : start + PIECE_CHARS] for start in starts)
    return list(itertools.chain.from_iterable(map(_halved, pieces)))


def _halved(piece: str) -> list[str]:
    """Return ``piece``, or its halves for as long as one does not fit."""
    if len(piece) * CHAR_BYTES <= PIECE_BYTES:
        return [piece]
    if len(wire.encode(piece)) <= PIECE_BYTES:
        return [piece]
    middle = len(piece) // 2
    return [*_halved(piece[:middle]), *_halved(piece[middle:])]
