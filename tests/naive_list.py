"""A simple model of the replica list for comparison with its reader."""

from typing import Any, NamedTuple


class Entry(NamedTuple):
    """An entry of the list; ``born`` is None if it has no start time."""

    born: int | None
    state: str
    port: int


class NaiveList:
    """Keeps every entry that was ever listed and searches all of them."""

    def __init__(self, grace_s: float) -> None:
        """Start with an empty list; ``grace_s`` is the grace period."""
        self.now = float(0)
        self.ended: list[tuple[str, int | None]] = []
        self._grace_s = grace_s
        self._regained_at = float('-inf')
        self._seen: dict[str, list[Entry]] = {}
        self._listed: dict[str, Entry] = {}
        self._missing: set[str] = set()

    def put(self, replica_id: str, entry: Entry | None) -> None:
        """Apply an entry; None stands for an unreadable one."""
        seen = self._seen.setdefault(replica_id, [])
        stated = [each.born for each in seen if each.born is not None]
        unstated = entry is not None and entry.born is None and bool(stated)
        if entry is None or unstated:
            self._listed.pop(replica_id, None)
            self._missing.discard(replica_id)
            return
        if entry.born is not None and any(born > entry.born for born in stated):
            return
        if seen and seen[-1].born != entry.born:
            self.ended.append((replica_id, seen[-1].born))
        seen.append(entry)
        self._listed[replica_id] = entry
        self._missing.discard(replica_id)

    def remove(self, replica_id: str) -> None:
        """Remove an entry; in the grace period only mark it as missing."""
        if self.now - self._regained_at < self._grace_s:
            self._missing.add(replica_id)
        else:
            self._listed.pop(replica_id, None)

    def whole(self, rows: dict[str, Any]) -> None:
        """Apply a read of the complete list."""
        for replica_id in self._listed.keys() - rows.keys():
            self.remove(replica_id)
        for replica_id, entry in rows.items():
            self.put(replica_id, entry)

    def regained(self) -> None:
        """Start the grace period at the end of an outage."""
        self._regained_at = self.now

    def advance(self, passed_s: float) -> None:
        """Advance the time; drop missing entries after the grace period."""
        self.now += passed_s
        if self.now - self._regained_at >= self._grace_s:
            for replica_id in self._missing:
                self._listed.pop(replica_id, None)
            self._missing.clear()

    def in_choice(self) -> set[tuple[str, int, int]]:
        """Return id, start time and port of the usable replicas."""
        stated = [each.born is not None for each in self._listed.values()]
        majority_stated = stated.count(True) > stated.count(False)
        return {
            (replica_id, each.born or 0, each.port)
            for replica_id, each in self._listed.items()
            if each.state == 'ready'
            and (each.born is not None or not majority_stated)
        }
