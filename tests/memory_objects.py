"""An in-memory implementation of the object store."""

from cactusridge.errors import NotFound, StoreUnavailable
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.table import Priority


class MemoryObjects(ObjectStore):
    """Keeps objects in a dict; the next ``failing`` reads fail."""

    def __init__(self) -> None:
        """Start empty."""
        self.stored: dict[str, bytes] = {}
        self.gets = 0
        self.failing = 0

    def put(self, name: str, body: bytes, priority: Priority) -> None:
        """Store an object."""
        self.stored[name] = body

    def get(
        self,
        name: str,
        start: int = 0,
        end: int | None = None,
        priority: Priority = Priority.commit,
    ) -> bytes:
        """Return an object or a part of it."""
        self.gets += 1
        if self.failing:
            self.failing -= 1
            raise StoreUnavailable(retry_after_s=1)
        if name not in self.stored:
            raise NotFound(name)
        return self.stored[name][start:end]

    def drop(self, name: str, priority: Priority) -> None:
        """Remove an object."""
        self.stored.pop(name, None)

    def names(self, prefix: str, after: str = '') -> list[str]:
        """Return the sorted names that start with ``prefix``."""
        return sorted(
            name
            for name in self.stored
            if name.startswith(prefix) and name > after
        )
