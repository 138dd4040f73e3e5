"""Start settings of the roles: entry, sidecar and direct entry."""

from typing import Annotated, Any, Literal, Self

import msgspec
from msgspec import Meta

from cactusridge.http.client import Address, parse_address
from cactusridge.sound_silence import MAX_SOUND_SILENCE_S

ADDRESS = r'^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}\Z'
AddressText = Annotated[str, Meta(pattern=ADDRESS)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=86_400)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Bytes = Annotated[int, Meta(ge=1024)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
MEBIBYTE = 1 << 20
MS_PER_SECOND = 1000
# Time from the end of a drain to the exit of the process, in seconds: 0.2 s
# to flush the log, about 0.05 s for the interpreter's shutdown, and a
# reserve of the same length.
EXIT_RESERVE_S = 0.5


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of start settings; unknown keys are rejected.

    Values are validated when a file is loaded and by ``from_values``, but not
    by the constructor. The models use msgspec because importing pydantic
    takes a large part of the start-up time, and an entry has to serve soon
    after its start.
    """

    @classmethod
    def from_values(cls, **raw: Any) -> Self:
        """Return settings built from plain values.

        Raises msgspec.ValidationError if a value is invalid.
        """
        return msgspec.convert(raw, cls)


class LogSettings(Model, frozen=True, kw_only=True):
    """Format of the log."""

    style: Literal['json', 'console'] = 'json'


class CommonSettings(Model, frozen=True, kw_only=True):
    """Start settings that all roles have."""

    listen: AddressText
    zone: Annotated[str, Meta(min_length=1, max_length=64)]
    internal_secret: Annotated[str, Meta(min_length=16)]
    log: LogSettings = LogSettings()
    max_body_bytes: Bytes = 8 * MEBIBYTE
    body_timeout_s: PositiveSeconds = 20
    idle_timeout_s: PositiveSeconds = 75
    heartbeat_s: PositiveSeconds = 0.5
    # Seconds without a byte after which a connection to a sidecar or another
    # entry fails: the longest silence of a sound server, which may delay a
    # heartbeat that was due, and a reserve.
    silence_timeout_s: PositiveSeconds = MAX_SOUND_SILENCE_S + 1
    connect_timeout_s: PositiveSeconds = 1
    readiness_delay_s: Annotated[float, Meta(ge=0, le=300)] = 0.5
    drain_timeout_s: PositiveSeconds = 30

    @property
    def address(self) -> Address:
        """Return the address that this process listens on."""
        return parse_address(self.listen)

    @property
    def drain_limit_s(self) -> float:
        """Return how long in-flight requests may drain, in seconds."""
        return self.drain_timeout_s


class StoreSettings(Model, frozen=True, kw_only=True):
    """The platform's store and this process's share of its capacity."""

    address: AddressText
    timeout_s: PositiveSeconds = 2
    # Lower bound of the adaptive timeout of store calls, in seconds, which
    # applies while the store responds fast. If unset, every call has the
    # timeout timeout_s.
    least_timeout_s: PositiveSeconds | None = None
    calls_per_s: Annotated[float, Meta(gt=0)] = 100
    # The longest pause between calls while the store is unavailable, in
    # seconds. Changes in the store have to be in force soon after it
    # recovers. An entry makes up to four calls in each pause.
    max_pause_s: PositiveSeconds = 4

    @property
    def min_timeout_s(self) -> float:
        """The lower bound of the store call timeout, in seconds."""
        return self.least_timeout_s or self.timeout_s


class BatchSettings(Model, frozen=True, kw_only=True):
    """How an entry accepts and runs batch jobs."""

    chunk_items: Count = 64
    span_chunks: Count = 16
    max_items: Count = 140_000
    max_file_bytes: Bytes = 512 * MEBIBYTE
    shards: Count = 16
    lease_s: PositiveSeconds = 10
    lease_margin_s: PositiveSeconds = 1
    scan_s: PositiveSeconds = 0.5
    max_spans: Count = 16
    item_concurrency: Count = 256
    # Share of the closed spans whose stored results are read back to verify
    # them.
    audit_share: Annotated[float, Meta(ge=0, le=1)] = 0.05


class EntryPolicy(Model, frozen=True, kw_only=True):
    """Policies of an entry.

    The first value of each is the default; the others are naive baselines.
    """

    picker: Literal['prefix', 'least_of_few', 'round_robin'] = 'prefix'
    retries: Literal['budget', 'thrice'] = 'budget'
    outliers: Literal['eject', 'trust'] = 'eject'
    spans: Literal['least_slack', 'first_come'] = 'least_slack'
    quarantine: Literal['by_crashes', 'none'] = 'by_crashes'


class SidecarPolicy(Model, frozen=True, kw_only=True):
    """Policies of a sidecar.

    The first value of each is the default; the others are naive baselines.
    """

    batch: Literal['objective', 'fill'] = 'objective'
    limit: Literal['objective', 'fixed'] = 'objective'


class EntrySettings(CommonSettings, frozen=True, kw_only=True):
    """Start settings of an entry."""

    role: Literal['entry'] = 'entry'
    store: StoreSettings
    admin_token_sha256: Annotated[str, Meta(pattern=r'^[0-9a-f]{64}\Z')]
    seed_peers: tuple[AddressText, ...] = ()
    settings_poll_s: PositiveSeconds = 1
    # Interval, in seconds, at which an entry reads the strikes that other
    # entries recorded against requests that crash upstreams.
    strikes_poll_s: PositiveSeconds = 2
    probe_s: PositiveSeconds = 0.5
    report_age_s: Annotated[float, Meta(ge=0, le=60)] = 0.05
    hosts_poll_s: PositiveSeconds = 1
    subset_size: Count = 64
    report_s: PositiveSeconds = 30
    batch: BatchSettings = BatchSettings()
    policy: EntryPolicy = EntryPolicy()


class DirectPolicy(Model, frozen=True, kw_only=True):
    """Policies of a direct entry.

    The first value of each is the default; the others are naive baselines.
    docs/DECISIONS.md evaluates the values.
    """

    placing: Literal['least_online', 'any'] = 'least_online'
    admission: Literal['in_time', 'everybody'] = 'in_time'
    returns: Literal['after_burst', 'next_slot'] = 'after_burst'
    queueing: Literal['fair', 'none'] = 'fair'
    outliers: Literal['eject', 'trust'] = 'eject'
    items: Literal['on_time_first', 'due_first'] = 'on_time_first'
    claims: Literal['told', 'none'] = 'told'
    cells: Literal['by_zone', 'one'] = 'by_zone'
    quarantine: Literal['by_crashes', 'none'] = 'by_crashes'
    limits: Literal['homes', 'shares', 'none'] = 'homes'
    capacity: Literal['observed', 'mean'] = 'observed'
    limit_handover: Literal['acknowledged', 'none'] = 'acknowledged'


class DirectEntrySettings(CommonSettings, frozen=True, kw_only=True):
    """Start settings of an entry that connects to upstreams directly.

    ``grace_s`` is the time in seconds between the platform's stop signal
    and its kill. The entry discovers its peers through the store.
    """

    role: Literal['direct_entry'] = 'direct_entry'
    # A direct entry sends nothing to sidecars, so it needs no shared secret.
    internal_secret: str = ''
    name: Name
    readiness_listen: AddressText
    peer_listen: AddressText
    metrics_listen: AddressText
    store: StoreSettings
    grace_s: PositiveSeconds = 8
    # Time after a job's submission during which its results can be read,
    # in seconds.
    keep_jobs_s: PositiveSeconds = 120
    # Time after which every entry rejects a revoked key, in ms, even an entry
    # that cannot reach the store. If unset, an entry that cannot reach the
    # store keeps using the keys that it last read.
    revoke_ms: Annotated[float, Meta(ge=1000)] | None = None
    policy: DirectPolicy = DirectPolicy()

    @property
    def key_lease_s(self) -> float | None:
        """How long the last confirmed keys stay valid, in seconds.

        None means without limit.
        """
        return (
            None if self.revoke_ms is None else self.revoke_ms / MS_PER_SECOND
        )

    @property
    def drain_limit_s(self) -> float:
        """Return how long in-flight requests may drain, in seconds.

        The limit lets the process exit before the platform kills it.
        """
        available_s = self.grace_s - self.readiness_delay_s - EXIT_RESERVE_S
        return max(0, min(self.drain_timeout_s, available_s))

    @property
    def peer_address(self) -> Address:
        """Return the address for datagrams and HTTP requests of peers."""
        return parse_address(self.peer_listen)


class UpstreamSettings(Model, frozen=True, kw_only=True):
    """One upstream on the sidecar's host."""

    service: Annotated[str, Meta(pattern='^/teams/')]
    address: AddressText
    slots: Count = 8
    max_waiting: Count = 256
    batch_waiting: Count = 16
    read_timeout_s: PositiveSeconds = 30


class SidecarSettings(CommonSettings, frozen=True, kw_only=True):
    """Start settings of a sidecar."""

    role: Literal['sidecar'] = 'sidecar'
    upstreams: Annotated[tuple[UpstreamSettings, ...], Meta(min_length=1)]
    ledger_retention_s: PositiveSeconds = 600
    ledger_entries: Count = 200_000
    policy: SidecarPolicy = SidecarPolicy()
