"""Routes found before, for what is asked again and again."""

from cactusridge.dispatch.catalog import NO_CATALOG, Catalog, Route

# Matches kept: the items of some hundred jobs.
KEPT = 4096


class RouteMatches:
    """Remembers matches until there is another configuration.

    The batch scheduler asks for each waiting item at each look: 16% of
    an entry's processor time with some 80 items waiting, as sampled
    every 2 ms.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._catalog = NO_CATALOG
        self._found: dict[tuple[str, str], Route | None] = {}

    def match(self, catalog: Catalog, host: str, path: str) -> Route | None:
        """Return what ``catalog`` matches."""
        if catalog is not self._catalog or len(self._found) >= KEPT:
            self._catalog = catalog
            self._found.clear()
        key = (host, path)
        if key not in self._found:
            self._found[key] = catalog.match(host, path)
        return self._found[key]
