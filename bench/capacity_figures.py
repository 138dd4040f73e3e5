"""Estimates of load at the target scale from slopes and sizes."""

from typing import NamedTuple

from bench.slopes import Fit

ENTRIES = 360
REPLICAS = 12_000
SUBSET = 64
TEAMS = 14_000
REQUESTS_S = 31_000
TOKENS_S = 8_600_000
ITEMS_DAY = 73_000_000
JOBS_DAY = 59_000
CHANGES_DAY = 9500
DAY_S = 86_400
CORE_SHARE = 0.021
MEMORY = 256 << 20
CONTROL_BYTES_S = 3000
PROBE_S = 30
REPORT_AGE_S = 10
HTTP_BYTES = 300
SPAN_ITEMS = 1024
CHUNK_ITEMS = 64
SPAN_OPEN_S = 300
RENEW_S = 10
SCAN_S = 2
STRIKES_POLL_S = 2
SHARDS = 360


class Figure(NamedTuple):
    """One table row: an estimate at the target scale and its limit.

    A ``limit`` of 0 means that there is none.
    """

    what: str
    found: float
    unit: str
    limit: float
    carrier: str

    def row(self) -> str:
        """Return the Markdown table row."""
        share = f'{self.found / self.limit:.0%}' if self.limit else ''
        limit = f'{self.limit:,.0f}' if self.limit else ''
        cells = (self.what, f'{self.found:,.0f}', self.unit, limit, share)
        return f'| {" | ".join(cells)} | {self.carrier} |'


def entry_figures(
    fits: dict[str, Fit], sizes: dict[str, float]
) -> list[Figure]:
    """Return the estimates for one entry at the target scale."""
    second = 1e6
    scan_us = fits['one scan of open spans'].at(open_spans() / SHARDS)
    change_us = fits['applying one change'].at(TEAMS)
    probes_s = SUBSET / PROBE_S
    control_us = (
        scan_us / SCAN_S
        + change_us * CHANGES_DAY / DAY_S
        + sizes['report_us'] * (probes_s + SUBSET / REPORT_AGE_S)
        + 200 * (probes_s + 1 / SCAN_S + 1)
    )
    # A sidecar that serves requests sends reports and is not probed, so only
    # the larger of the two costs counts.
    control_bytes = (
        max(
            probes_s * (sizes['report_bytes'] + 2 * HTTP_BYTES),
            SUBSET / REPORT_AGE_S * sizes['report_bytes'],
        )
        + 2 * HTTP_BYTES
        + sizes['span_row_bytes'] * open_spans() / SHARDS / SCAN_S
    )
    memory = (
        fits['sidecars known'].at(SUBSET)
        + fits['settings in force'].at(TEAMS)
        + open_spans() / ENTRIES * sizes['span_row_bytes'] * 4
    )
    per_entry = TOKENS_S / ENTRIES
    return [
        Figure(
            'control, processor',
            control_us / second * 1000,
            'thousandths of a core',
            CORE_SHARE * 1000,
            'shards, subset, changes instead of snapshots',
        ),
        Figure(
            'control, memory',
            memory / (1 << 20),
            'MiB',
            MEMORY >> 20,
            'nodes as JSON, bounded models, subset of 64',
        ),
        Figure(
            'control, network',
            control_bytes,
            'B/s',
            CONTROL_BYTES_S,
            f'a probe after {PROBE_S} quiet s or a report each'
            f' {REPORT_AGE_S} s; pushes only of what concerns a sidecar',
        ),
        Figure(
            'one choice of a replica',
            fits['one choice of a replica'].at(SUBSET),
            'us',
            0,
            'subset of 64',
        ),
        Figure(
            'streamed tokens, processor',
            per_entry * fits['entry: a streamed token'].slope / second * 1000,
            'thousandths of a core',
            1000,
            'one read and one write a token; **no room to spare**',
        ),
        Figure(
            'open streams, memory (600 of them)',
            600 * fits['entry: open stream'].slope / (1 << 20),
            'MiB',
            0,
            'a greenlet and two sockets a stream',
        ),
        Figure(
            'start: loading the settings',
            fits['loading a snapshot'].at(TEAMS) / 1000,
            'ms',
            0,
            'from a peer, then by history',
        ),
    ]


def sidecar_figures(
    fits: dict[str, Fit],
    sizes: dict[str, float],
) -> list[Figure]:
    """Return the estimates for one sidecar at the target scale."""
    known_by = ENTRIES * SUBSET / REPLICAS
    probes = known_by / PROBE_S
    reports = known_by / REPORT_AGE_S
    orders_s = REQUESTS_S / REPLICAS + ITEMS_DAY / DAY_S / REPLICAS
    remembered = orders_s * 600
    bytes_s = (
        probes * (sizes['report_bytes'] + 2 * HTTP_BYTES)
        + reports * sizes['report_bytes']
    )
    tokens = TOKENS_S / REPLICAS
    return [
        Figure(
            'control, network',
            bytes_s,
            'B/s',
            CONTROL_BYTES_S,
            f'{known_by:.1f} entries know it; it asks nobody',
        ),
        Figure(
            'ledger, memory',
            max(0, fits['orders in the ledger'].slope * remembered) / 1024,
            'KiB',
            MEMORY >> 10,
            'ten minutes of orders',
        ),
        Figure(
            'streamed tokens, processor',
            tokens * fits['sidecar: a streamed token'].slope / 1000,
            'thousandths of a core',
            1000,
            'one read and one write a token',
        ),
    ]


def open_spans() -> float:
    """Return the number of open spans, each open for five minutes."""
    by_items = ITEMS_DAY / SPAN_ITEMS
    return max(by_items, JOBS_DAY) / DAY_S * SPAN_OPEN_S


def platform_figures() -> list[Figure]:
    """Return the platform's reads and writes per second at the target."""
    chunks = ITEMS_DAY / CHUNK_ITEMS / DAY_S
    spans = max(ITEMS_DAY / SPAN_ITEMS, JOBS_DAY) / DAY_S
    return [
        Figure('writes: chunk results (objects)', chunks, '/s', 400, 'chunks'),
        Figure('writes: chunk commits', chunks, '/s', 400, 'one row a span'),
        Figure(
            'writes: leases taken and spans closed',
            2 * spans,
            '/s',
            400,
            'one lease for 1,024 items',
        ),
        Figure(
            'writes: renewals',
            open_spans() / RENEW_S,
            '/s',
            400,
            f'a lease of {3 * RENEW_S} s; a commit renews too',
        ),
        Figure(
            'writes: jobs, files, settings',
            JOBS_DAY / DAY_S * 4 + CHANGES_DAY / DAY_S,
            '/s',
            400,
            'segments of 1,024 items',
        ),
        Figure(
            'writes: reports',
            ENTRIES / 300,
            '/s',
            400,
            'one object each 5 minutes and entry',
        ),
        Figure('reads: head of the settings', ENTRIES, '/s', 2000, 'one row'),
        Figure(
            'reads: shards scanned',
            2 * ENTRIES / SCAN_S,
            '/s',
            2000,
            'own and one foreign shard',
        ),
        Figure(
            'reads: strikes',
            ENTRIES / STRIKES_POLL_S,
            '/s',
            2000,
            'one range, mostly empty',
        ),
        Figure('reads: host list', ENTRIES / 5, '/s', 2000, 'If-None-Match'),
        Figure(
            'reads: inputs of chunks (objects)',
            chunks,
            '/s',
            2000,
            'ranges of segments',
        ),
    ]
