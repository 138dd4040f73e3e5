"""Assignment of the shards of open spans to the entries that scan them."""

from collections.abc import Sequence

from cactusridge.hashing import rendezvous


def own_shards(
    entry: str,
    entries: Sequence[str],
    shards: int,
) -> list[int]:
    """Return the shards that rendezvous hashing assigns to ``entry``.

    When an entry leaves, only its own shards move to other entries. If
    there are more entries than shards, some entries have none; these find
    spans in the shard of another entry that each scan also covers.
    """
    names = sorted({*entries, entry})
    return [
        shard for shard in range(shards) if rendezvous(names, shard)[0] == entry
    ]
