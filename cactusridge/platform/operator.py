"""The operator's configuration row, read into the product's catalog."""

from typing import Any

from cactusridge import events, logs, metrics
from cactusridge.dispatch.catalog import (
    NO_CATALOG,
    CallerLimits,
    Catalog,
    Route,
    RouteKind,
    ServiceShare,
)
from cactusridge.platform.names import MS
from cactusridge.store.table import Row
from cactusridge.store.table_follower import TableListener

TABLE = 'op'
KEY = 'op//config'


class CatalogHolder(TableListener):
    """Holds the newest catalog that this process has seen."""

    def __init__(self) -> None:
        """Know none at first."""
        self.catalog = NO_CATALOG
        self.raw: dict[str, Any] = {}

    @property
    def known(self) -> bool:
        """Whether any version is known."""
        return self.catalog.version > 0

    def current(self) -> Catalog:
        """Return the catalog in force."""
        return self.catalog

    def put(self, row: Row) -> None:
        """Take the operator's row if it is newer."""
        if row.key == KEY and row.value is not None:
            self.take(row.value)

    def take(self, raw: dict[str, Any]) -> None:
        """Take a configuration from the store or a peer if it is newer."""
        if raw['version'] <= self.catalog.version:
            return
        self.catalog = decode(raw)
        self.raw = raw
        metrics.SETTINGS_VERSION.set({}, self.catalog.version)
        logs.emit(
            events.SETTINGS_APPLIED,
            version=self.catalog.version,
            routes=len(self.catalog.routes),
        )

    def keep_only(self, keys: set[str]) -> None:
        """A configuration is never taken back."""


def decode(raw: dict[str, Any]) -> Catalog:
    """Return the catalog in the operator's words."""
    return Catalog(
        raw['version'],
        tuple(map(_route, raw.get('routes', ()))),
        _limits(raw.get('limits', {})),
    )


def _route(raw: dict[str, Any]) -> Route:
    split = raw.get('traffic_split') or [
        {'service': raw['service'], 'weight': 1},
    ]
    return Route(
        name=raw['name'],
        host=raw['host'],
        prefix=raw['path_prefix'],
        kind=RouteKind(raw['kind']),
        shares=tuple(
            ServiceShare(share['service'], share['weight']) for share in split
        ),
        timeout_s=raw['timeout_ms'] / MS,
        aim_s=raw.get('target_latency_ms', raw['timeout_ms']) / MS,
        attempts=raw.get('max_attempts', 1),
        priority=raw.get('priority', 0),
        resumable=bool(raw.get('resumable')),
        due_s=raw.get('result_due_ms', 0) / MS,
        give_up_s=raw.get('max_wait_s', 0),
    )


def _limits(raw: dict[str, Any]) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        raw.get('max_header_bytes', usual.header_bytes),
        raw.get('max_body_bytes', usual.body_bytes),
        raw.get('header_timeout_ms', usual.header_s * MS) / MS,
        raw.get('idle_timeout_ms', usual.idle_s * MS) / MS,
    )
