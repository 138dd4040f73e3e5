"""Splits long texts into pieces that fit into rows of the store."""

# Maximum length of the JSON text in one row. A row of the store holds at
# most 65,536 bytes, and one character may take four bytes.
PIECE_CHARS = 16_000


def split_text(text: str) -> list[str]:
    """Split ``text`` into pieces that fit into a row.

    An empty text gives one empty piece.
    """
    starts = range(0, max(1, len(text)), PIECE_CHARS)
    return [text[start : start + PIECE_CHARS] for start in starts]
