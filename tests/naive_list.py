"""The list of replicas as a naive reader has it, to compare with."""

from typing import Any, NamedTuple


class Entry(NamedTuple):
    """What an entry says: None for ``born`` tells no life."""

    born: int | None
    state: str
    port: int


class NaiveList:
    """Keeps everything that was ever listed and looks through all of it."""

    def __init__(self, grace_s: float) -> None:
        """Start with nothing listed."""
        self.now = float(0)
        self.ended: list[tuple[str, int | None]] = []
        self._grace_s = grace_s
        self._regained_at = float('-inf')
        self._seen: dict[str, list[Entry]] = {}
        self._listed: dict[str, Entry] = {}
        self._missing: set[str] = set()

    def put(self, replica_id: str, entry: Entry | None) -> None:
        """Take an entry, None for one that cannot be read."""
        seen = self._seen.setdefault(replica_id, [])
        told = [each.born for each in seen if each.born is not None]
        foreign = entry is not None and entry.born is None and bool(told)
        if entry is None or foreign:
            self._listed.pop(replica_id, None)
            self._missing.discard(replica_id)
            return
        if entry.born is not None and any(born > entry.born for born in told):
            return
        if seen and seen[-1].born != entry.born:
            self.ended.append((replica_id, seen[-1].born))
        seen.append(entry)
        self._listed[replica_id] = entry
        self._missing.discard(replica_id)

    def remove(self, replica_id: str) -> None:
        """Take an entry for removed."""
        if self.now - self._regained_at < self._grace_s:
            self._missing.add(replica_id)
        else:
            self._listed.pop(replica_id, None)

    def whole(self, rows: dict[str, Any]) -> None:
        """Take all that is listed now."""
        for replica_id in self._listed.keys() - rows.keys():
            self.remove(replica_id)
        for replica_id, entry in rows.items():
            self.put(replica_id, entry)

    def regained(self) -> None:
        """Note the end of an outage."""
        self._regained_at = self.now

    def advance(self, passed_s: float) -> None:
        """Let time pass."""
        self.now += passed_s
        if self.now - self._regained_at >= self._grace_s:
            for replica_id in self._missing:
                self._listed.pop(replica_id, None)
            self._missing.clear()

    def in_choice(self) -> set[tuple[str, int, int]]:
        """Return id, start and port of the replicas to use."""
        told = [each.born is not None for each in self._listed.values()]
        most = told.count(True) > told.count(False)
        return {
            (replica_id, each.born or 0, each.port)
            for replica_id, each in self._listed.items()
            if each.state == 'ready' and (each.born is not None or not most)
        }
