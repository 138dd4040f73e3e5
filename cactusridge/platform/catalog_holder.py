"""Decodes the operator's configuration row into a catalog."""

import math
from typing import Any

from cactusridge import events, logs, metrics
from cactusridge.dispatch.catalog import (
    EMPTY_CATALOG,
    CallerLimits,
    Catalog,
    Route,
    RouteKind,
    ServiceShare,
)
from cactusridge.organisations.directory import Directory, KeyOwner
from cactusridge.organisations.key_lease import KeyLease
from cactusridge.organisations.keys import key_digest
from cactusridge.organisations.organisation import Organisation, RateLimit
from cactusridge.platform.names import MS_PER_S
from cactusridge.start_trace import TRACE, StartStep
from cactusridge.store.fields import Fields
from cactusridge.store.row_reports import RowReports
from cactusridge.store.table import ABSENT, Row
from cactusridge.store.table_follower import TableListener
from cactusridge.store.unreadable import UnreadableField

TABLE = 'op'
KEY = 'op//config'
ORGANISATIONS_FIELD = 'tenants'
KEYS_FIELD = 'api_keys'
# Field that replaces the keys in memory and in replies to peers.
DIGESTS_FIELD = 'key_digests'


class CatalogHolder(TableListener):
    """Holds the newest catalog that this process has received."""

    def __init__(self, keys: KeyLease) -> None:
        """Start without a catalog; renew the lease on ``keys``."""
        self._keys = keys
        # Version of the operator's row that was read last, and whether that
        # version could be decoded.
        self._row_version = ABSENT
        self._row_readable = False
        self.catalog = EMPTY_CATALOG
        self.raw: dict[str, Any] = {}
        self._reports = RowReports(events.SETTINGS_UNREADABLE)

    @property
    def known(self) -> bool:
        """Whether a catalog has been received."""
        return self.catalog.version > 0

    def current(self) -> Catalog:
        """Return the catalog in force."""
        return self.catalog

    def has_organisations(self) -> bool:
        """Return whether the catalog in force has organisations."""
        return self.catalog.organisations is not None

    def put(self, row: Row) -> None:
        """Apply the operator's row if it has changed and can be decoded."""
        if row.key != KEY or row.version == self._row_version:
            return
        self._row_version = row.version
        self._row_readable = False
        if row.unreadable:
            self._reports.report_once(
                KEY, row.version, 'the value is not a JSON object'
            )
        elif row.value is not None:
            self._row_readable = self.apply(row.value, KEY, row.version)

    def apply(
        self,
        raw: Any,
        source: str = '',
        source_version: int = 0,
    ) -> bool:
        """Apply a configuration from the store or a peer if it is newer.

        Return whether it could be decoded. If not, the catalog in force
        stays, and the log names ``source`` and ``source_version``.
        """
        raw = with_key_digests(raw)
        try:
            catalog = decode(raw)
        except UnreadableField as exc:
            self._reports.report_once(source, source_version, str(exc))
            return False
        if catalog.version <= self.catalog.version:
            return True
        self.catalog = catalog
        self.raw = raw
        TRACE.mark(StartStep.settings)
        metrics.SETTINGS_VERSION.set({}, catalog.version)
        logs.emit(
            events.SETTINGS_APPLIED,
            version=catalog.version,
            routes=len(catalog.routes),
        )
        return True

    def up_to_date(self, begun_at: float, whole: bool) -> None:
        """Renew the lease on keys unless the row is unreadable.

        An unreadable row may have removed keys.
        """
        if not self._row_readable:
            return
        if whole:
            self._keys.renew(begun_at)
        else:
            self._keys.renew_from_watch(begun_at)

    def retain(self, keys: set[str]) -> None:
        """Do nothing: a configuration stays in force without its row."""


def decode(raw: Any) -> Catalog:
    """Return the catalog of a configuration; raise UnreadableField.

    One wrong field rejects the whole configuration: a catalog without one
    of its routes would answer the callers of that route with 404.
    """
    fields = Fields(raw)
    return Catalog(
        fields.integer('version'),
        tuple(map(_route, fields.items_of('routes', ()))),
        _limits(Fields(fields.mapping('limits', {}))),
        _directory(fields.items_of(ORGANISATIONS_FIELD, None)),
    )


def with_key_digests(raw: Any) -> Any:
    """Return a configuration in which digests replace the API keys.

    Configurations in memory and in replies to peers hold no usable key. A
    value with another structure is returned unchanged; ``decode`` rejects it.
    """
    if not isinstance(raw, dict) or not isinstance(
        raw.get(ORGANISATIONS_FIELD), list
    ):
        return raw
    return {
        **raw,
        ORGANISATIONS_FIELD: [
            _with_digests(each) for each in raw[ORGANISATIONS_FIELD]
        ],
    }


def _with_digests(raw: Any) -> Any:
    if not isinstance(raw, dict) or not isinstance(raw.get(KEYS_FIELD), list):
        return raw
    kept = {name: found for name, found in raw.items() if name != KEYS_FIELD}
    return {
        **kept,
        DIGESTS_FIELD: [key_digest(str(key)) for key in raw[KEYS_FIELD]],
    }


def _directory(holders: list[Any] | None) -> Directory | None:
    if holders is None:
        return None
    return Directory(map(_holder, holders))


def _holder(raw: Any) -> KeyOwner:
    fields = Fields(raw)
    rate_per_s = fields.number('rate_per_s', 0)
    burst = fields.number('burst', 0)
    organisation = Organisation(
        fields.text('name'),
        fields.integer('priority', None),
        RateLimit(rate_per_s, burst) if rate_per_s else None,
    )
    digests = map(str, fields.items_of(DIGESTS_FIELD, ()))
    return KeyOwner(organisation, tuple(digests))


def _route(raw: Any) -> Route:
    fields = Fields(raw)
    timeout_ms = fields.number('timeout_ms')
    return Route(
        name=fields.text('name'),
        host=fields.text('host'),
        prefix=fields.text('path_prefix'),
        kind=fields.enum_value('kind', RouteKind),
        shares=_shares(fields),
        timeout_s=timeout_ms / MS_PER_S,
        target_latency_s=fields.number('target_latency_ms', timeout_ms)
        / MS_PER_S,
        attempts=fields.integer('max_attempts', 1),
        priority=fields.integer('priority', 0),
        resumable=fields.flag('resumable', False),  # noqa: WPS425
        due_s=fields.number('result_due_ms', 0) / MS_PER_S,
        abandon_after_s=fields.number('max_wait_s', math.inf),
        public=fields.flag('public', False),  # noqa: WPS425
    )


def _shares(route: Fields) -> tuple[ServiceShare, ...]:
    split = route.items_of('traffic_split', ())
    if not split:
        return (ServiceShare(route.text('service'), 1),)
    shares = map(Fields, split)
    return tuple(
        ServiceShare(share.text('service'), share.number('weight'))
        for share in shares
    )


def _limits(fields: Fields) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        fields.integer('max_header_bytes', defaults.header_bytes),
        fields.integer('max_body_bytes', defaults.body_bytes),
        fields.number('header_timeout_ms', defaults.header_s * MS_PER_S)
        / MS_PER_S,
        fields.number('idle_timeout_ms', defaults.idle_s * MS_PER_S) / MS_PER_S,
    )
