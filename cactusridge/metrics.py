"""The metrics of all roles; docs/METRICS.md explains each."""

from http import HTTPStatus

from aioprometheus import REGISTRY, Counter, Gauge, Histogram
from aioprometheus.renderer import render

from cactusridge.http.exchange import Reply, Req

TTFT_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.64, 1, 2, 5, 10)
# Symmetric, since a wait can be shorter or longer than expected.
WAIT_ERRORS = (0.02, 0.05, 0.1, 0.2, 0.5, 1, 2)
WAIT_ERROR_BUCKETS = (
    *(-each for each in reversed(WAIT_ERRORS)),
    0,
    *WAIT_ERRORS,
)
QUEUE_BUCKETS = (0.01, 0.05, 0.1, 0.2, 0.5, 1, 1.5, 2, 3, 5)

REQUESTS = Counter('cr_requests_total', 'Requests by service, class, outcome')
ATTEMPTS = Counter('cr_attempts_total', 'Dispatches to a replica, by service')
RETRIES = Counter('cr_retries_total', 'Repeated dispatches, by service')
REFUSALS = Counter('cr_refusals_total', 'Refusals by code')
TTFT = Histogram(
    'cr_first_byte_seconds',
    'Time to the first byte of an answer, by service',
    buckets=list(TTFT_BUCKETS),
)
WAIT_ERROR = Histogram(
    'cr_wait_error_seconds',
    'Actual minus expected wait for a slot, by service',
    buckets=list(WAIT_ERROR_BUCKETS),
)
RUNNING = Gauge('cr_running', 'Requests at the upstream, by service, class')
WAITING = Gauge('cr_waiting', 'Requests queued, by service, class')
LIMIT = Gauge('cr_limit', 'Concurrency limit, by service, class')
PREEMPTED = Counter('cr_preempted_total', 'Batch runs yielded, by service')
SLOW_CALLERS_DROPPED = Counter(
    'cr_slow_callers_dropped_total', 'Callers that did not read, by cause'
)
EJECTIONS = Counter('cr_ejections_total', 'Replicas ejected from choice')
CRASH_STRIKES = Counter('cr_crash_strikes_total', 'Runs that broke off')
QUARANTINED_REQUESTS = Gauge('cr_requests_held_back', 'Requests in quarantine')
LIMIT_HANDOVERS = Counter(
    'cr_limit_handovers_total', 'Counts of limits handed over, by outcome'
)
SETTINGS_VERSION = Gauge('cr_settings_version', 'Settings version in force')
SPANS_HELD = Gauge('cr_spans_held', 'Batch spans leased by this process')
LEASE_LOST = Counter('cr_leases_lost_total', 'Leases lost to another holder')
STORE_CALLS = Counter('cr_store_calls_total', 'Store calls by kind, outcome')
STORE_DOWN = Gauge('cr_store_down', 'One while the store is not answering')
QUEUE_WAITING = Gauge('cr_queue_waiting', 'Requests that wait at this entry')
QUEUE_WAITED = Histogram(
    'cr_queue_waited_seconds',
    'Time that requests waited at this entry, by service',
    buckets=list(QUEUE_BUCKETS),
)
QUEUE_OUTCOMES = Counter('cr_queue_outcomes_total', 'Ended waits by outcome')
BURN = Gauge('cr_burn', 'Burn by service, objective, window')
WORK_SECONDS = Counter('cr_work_seconds_total', 'Processor time by part')
WORK_TURNS = Counter('cr_work_turns_total', 'Switches to greenlets by part')
STEPS = Counter('cr_steps_total', 'Steps of the work by step')
DEPTH = Gauge('cr_depth', 'Length of a queue, by queue')
ITEMS = Counter('cr_items_total', 'Batch items by service and outcome')


def serve(req: Req) -> Reply:
    """Answer ``GET /metrics``."""
    accepts = [req.header('Accept', 'text/plain')]
    body, headers = render(REGISTRY, accepts)
    listed = list(headers.items())
    listed.append(('Content-Length', str(len(body))))
    return Reply(HTTPStatus.OK, listed, [body])
