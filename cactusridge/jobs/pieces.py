"""Texts cut to the size of a row."""

# Characters of JSON text in one row; the store's rows hold 65,536 bytes,
# and a character may take four.
PIECE_CHARS = 16_000


def cut(text: str) -> list[str]:
    """Return ``text`` in pieces that fit a row, one at least."""
    starts = range(0, max(1, len(text)), PIECE_CHARS)
    return [text[start : start + PIECE_CHARS] for start in starts]
