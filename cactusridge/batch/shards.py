"""Which shards of the open spans an entry scans."""

from collections.abc import Sequence

from cactusridge.hashing import rendezvous


def own_shards(
    entry: str,
    entries: Sequence[str],
    shards: int,
) -> list[int]:
    """Return the shards whose best ranked entry is ``entry``.

    Rendezvous hashing: an entry that goes leaves its own shards to the
    others and moves no other. With more entries than shards some have
    none; they find work in the foreign shard of each scan.
    """
    names = sorted({*entries, entry})
    return [
        shard for shard in range(shards) if rendezvous(names, shard)[0] == entry
    ]
