"""Start settings of the two roles."""

from typing import Annotated, Any, Literal, Self

import msgspec
from msgspec import Meta

from cactusridge.http.client import Address, parse_address

ADDRESS = r'^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}\Z'
AddressText = Annotated[str, Meta(pattern=ADDRESS)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=86_400)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Bytes = Annotated[int, Meta(ge=1024)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
MEBIBYTE = 1 << 20
MS = 1000
# From the end of a drain to the end of the process, in seconds: 0.2 s for
# the log's reader, some 0.05 s for the interpreter, and as much again.
EXIT_S = 0.5


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Start settings in which an unknown key is a mistake.

    Values are checked where a file is read and by ``made_of``, not by
    the constructor. This library, not pydantic: an entry is needed soon
    after its start, and loading pydantic was a large part of that.
    """

    @classmethod
    def made_of(cls, **raw: Any) -> Self:
        """Return settings of plain values; raise ValidationError."""
        return msgspec.convert(raw, cls)


class LogSettings(Model, frozen=True, kw_only=True):
    """How logs are written."""

    style: Literal['json', 'console'] = 'json'


class CommonSettings(Model, frozen=True, kw_only=True):
    """What both roles have."""

    listen: AddressText
    zone: Annotated[str, Meta(min_length=1, max_length=64)]
    internal_secret: Annotated[str, Meta(min_length=16)]
    log: LogSettings = LogSettings()
    max_body_bytes: Bytes = 8 * MEBIBYTE
    body_timeout_s: PositiveSeconds = 20
    idle_timeout_s: PositiveSeconds = 75
    heartbeat_s: PositiveSeconds = 0.5
    silence_timeout_s: PositiveSeconds = 2
    connect_timeout_s: PositiveSeconds = 1
    readiness_delay_s: Annotated[float, Meta(ge=0, le=300)] = 0.5
    drain_timeout_s: PositiveSeconds = 30

    @property
    def address(self) -> Address:
        """Return where this process listens."""
        return parse_address(self.listen)

    @property
    def drain_s(self) -> float:
        """Return how long requests in work may take at a stop, in s."""
        return self.drain_timeout_s


class StoreSettings(Model, frozen=True, kw_only=True):
    """The platform's services and this process's share of them."""

    address: AddressText
    timeout_s: PositiveSeconds = 2
    # A store that answers fast is given up after this time already; not
    # set, every call waits for timeout_s.
    least_timeout_s: PositiveSeconds | None = None
    calls_per_s: Annotated[float, Meta(gt=0)] = 100
    # The longest pause between calls while the store is away. What it
    # is back with has to be in force soon after; an entry asks up to
    # four times in each pause.
    max_pause_s: PositiveSeconds = 4

    @property
    def least_s(self) -> float:
        """The shortest wait for an answer, in seconds."""
        return self.least_timeout_s or self.timeout_s


class BatchSettings(Model, frozen=True, kw_only=True):
    """How this entry drives batch work."""

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
    # Share of the closed spans whose stored results are read again.
    audit_share: Annotated[float, Meta(ge=0, le=1)] = 0.05


class EntryPolicy(Model, frozen=True, kw_only=True):
    """Which decision of each kind an entry uses; the second is naive."""

    picker: Literal['prefix', 'least_of_few', 'round_robin'] = 'prefix'
    retries: Literal['budget', 'thrice'] = 'budget'
    outliers: Literal['eject', 'trust'] = 'eject'
    spans: Literal['least_slack', 'first_come'] = 'least_slack'
    quarantine: Literal['by_crashes', 'none'] = 'by_crashes'


class SidecarPolicy(Model, frozen=True, kw_only=True):
    """Which decision of each kind a sidecar uses; the second is naive."""

    batch: Literal['objective', 'fill'] = 'objective'
    limit: Literal['objective', 'fixed'] = 'objective'


class EntrySettings(CommonSettings, frozen=True, kw_only=True):
    """Start settings of an entry."""

    role: Literal['entry'] = 'entry'
    store: StoreSettings
    admin_token_sha256: Annotated[str, Meta(pattern=r'^[0-9a-f]{64}\Z')]
    seed_peers: tuple[AddressText, ...] = ()
    settings_poll_s: PositiveSeconds = 1
    # How often entries read what others know of requests that crash
    # upstreams.
    strikes_poll_s: PositiveSeconds = 2
    probe_s: PositiveSeconds = 0.5
    report_age_s: Annotated[float, Meta(ge=0, le=60)] = 0.05
    hosts_poll_s: PositiveSeconds = 1
    subset_size: Count = 64
    report_s: PositiveSeconds = 30
    batch: BatchSettings = BatchSettings()
    policy: EntryPolicy = EntryPolicy()


class DirectPolicy(Model, frozen=True, kw_only=True):
    """Which decision of each kind such an entry uses; the second is naive.

    docs/DECISIONS.md tells what each is worth.
    """

    placing: Literal['least_online', 'any'] = 'least_online'
    admission: Literal['in_time', 'everybody'] = 'in_time'
    returns: Literal['after_burst', 'next_slot'] = 'after_burst'
    outliers: Literal['eject', 'trust'] = 'eject'
    items: Literal['on_time_first', 'due_first'] = 'on_time_first'
    claims: Literal['told', 'none'] = 'told'
    cells: Literal['by_zone', 'one'] = 'by_zone'
    quarantine: Literal['by_crashes', 'none'] = 'by_crashes'
    limits: Literal['homes', 'shares', 'none'] = 'homes'


class DirectEntrySettings(CommonSettings, frozen=True, kw_only=True):
    """Start settings of an entry that reaches upstreams itself.

    ``grace_s`` is the time between the platform's word to stop and its
    kill. The peers of this entry are found through the store.
    """

    role: Literal['direct_entry'] = 'direct_entry'
    # Nothing is told to sidecars, so there is no secret to share.
    internal_secret: str = ''
    name: Name
    readiness_listen: AddressText
    peer_listen: AddressText
    metrics_listen: AddressText
    store: StoreSettings
    grace_s: PositiveSeconds = 8
    # Results can be read for this long after a job's submission.
    keep_jobs_s: PositiveSeconds = 120
    # A key that was taken away opens nothing after this long, in ms, at an
    # entry that cannot reach the store either; not set, such an entry goes
    # by what it knew.
    revoke_ms: Annotated[float, Meta(ge=1000)] | None = None
    policy: DirectPolicy = DirectPolicy()

    @property
    def keys_last_s(self) -> float | None:
        """For how long what is known of keys counts, in seconds."""
        return None if self.revoke_ms is None else self.revoke_ms / MS

    @property
    def drain_s(self) -> float:
        """Return how long requests in work may take at a stop, in s.

        The process is gone before the platform would kill it.
        """
        left_s = self.grace_s - self.readiness_delay_s - EXIT_S
        return max(0, min(self.drain_timeout_s, left_s))

    @property
    def peer_address(self) -> Address:
        """Return where peers reach this entry, by datagram and by HTTP."""
        return parse_address(self.peer_listen)


class UpstreamSettings(Model, frozen=True, kw_only=True):
    """One upstream on this host."""

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
