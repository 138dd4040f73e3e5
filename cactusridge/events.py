"""The catalogue of numbered log events; docs/EVENTS.md explains each."""

from typing import Final, NamedTuple


class Event(NamedTuple):
    """A log event: its number, its name and its level."""

    number: int
    name: str
    level: str = 'info'


LISTENING: Final = Event(101, 'listening')
DRAIN_BEGUN: Final = Event(102, 'drain_begun')
DRAIN_ENDED: Final = Event(103, 'drain_ended')
INTERNAL_ERROR: Final = Event(105, 'internal_error', 'error')
CONNECTION_BROKEN: Final = Event(107, 'connection_broken')
TASK_FAILED: Final = Event(106, 'task_failed', 'error')
RELOADED: Final = Event(108, 'reloaded')
RELOAD_REFUSED: Final = Event(109, 'reload_refused', 'warning')
REQUEST_TOO_LATE: Final = Event(110, 'request_too_late')
HANDOVER_CUT_SHORT: Final = Event(111, 'handover_cut_short', 'warning')
LOOP_LATE: Final = Event(112, 'loop_late', 'warning')
WORK_REPORT: Final = Event(113, 'work_report')
SERVING_STARTED: Final = Event(114, 'serving_started')
REQUESTS_CUT: Final = Event(115, 'requests_cut', 'warning')

SETTINGS_APPLIED: Final = Event(201, 'settings_applied')
SETTINGS_FROM_PEER: Final = Event(202, 'settings_from_peer')
SETTINGS_WRITTEN: Final = Event(203, 'settings_written')
SETTINGS_REFUSED: Final = Event(204, 'settings_refused', 'warning')
SETTINGS_UNREADABLE: Final = Event(205, 'settings_unreadable', 'warning')

STORE_LOST: Final = Event(301, 'store_lost', 'warning')
STORE_BACK: Final = Event(302, 'store_back')
WRITE_RESOLVED: Final = Event(303, 'write_resolved')

HISTORY_LOST: Final = Event(304, 'history_lost', 'warning')
WATCH_FAILED: Final = Event(305, 'watch_failed', 'warning')
RENEWAL_FAILED: Final = Event(306, 'renewal_failed', 'warning')
COMMIT_DELAYED: Final = Event(307, 'commit_delayed', 'warning')
CALLERS_REDIRECTED: Final = Event(308, 'callers_redirected')
ROW_UNREADABLE: Final = Event(309, 'row_unreadable', 'warning')
ROW_KEY_UNREADABLE: Final = Event(310, 'row_key_unreadable', 'warning')
LISTENER_FAILED: Final = Event(311, 'listener_failed', 'error')
COMMIT_REFUSED: Final = Event(312, 'commit_refused', 'error')

REPLICA_FOUND: Final = Event(401, 'replica_found')
REPLICA_GONE: Final = Event(402, 'replica_gone')
REPLICA_LEAVING: Final = Event(403, 'replica_leaving')
REPLICA_EJECTED: Final = Event(404, 'replica_ejected', 'warning')
REPLICA_SILENT: Final = Event(405, 'replica_silent', 'warning')
RETRIED: Final = Event(406, 'retried')
OUTCOME_UNKNOWN: Final = Event(407, 'outcome_unknown', 'warning')
HOST_UNREADABLE: Final = Event(408, 'host_unreadable', 'warning')
EXPIRED_REPLICAS_KEPT: Final = Event(412, 'expired_replicas_kept')
GRACE_SHORTENED: Final = Event(421, 'grace_shortened')
REQUEST_FAILED: Final = Event(409, 'request_failed', 'warning')
MEMBER_FOUND: Final = Event(413, 'member_found')
MEMBER_GONE: Final = Event(414, 'member_gone')
REQUEST_PLACED: Final = Event(415, 'request_placed')
REQUEST_ANSWERED: Final = Event(416, 'request_answered')
STREAM_BROKEN: Final = Event(417, 'stream_broken', 'warning')
REPLICA_RESTARTED: Final = Event(418, 'replica_restarted')
OLDER_INCARNATION_IGNORED: Final = Event(
    419, 'older_incarnation_ignored', 'warning'
)
START_TIMES_MISSING: Final = Event(420, 'start_times_missing', 'warning')
CELLS_DIVIDED: Final = Event(422, 'cells_divided')
CRASH_SUSPECTED: Final = Event(423, 'crash_suspected', 'warning')
QUARANTINED: Final = Event(424, 'quarantined', 'warning')
QUARANTINE_ENDED: Final = Event(425, 'quarantine_ended')
STRIKES_UNSAVED: Final = Event(426, 'strikes_unsaved', 'warning')
LIMITS_HANDED_OVER: Final = Event(427, 'limits_handed_over')
LIMITS_TAKEN_OVER: Final = Event(428, 'limits_taken_over')
LIMITS_WITHOUT_STORE: Final = Event(429, 'limits_without_store', 'warning')
REQUEST_QUEUED: Final = Event(430, 'request_queued')
REQUEST_DEQUEUED: Final = Event(431, 'request_dequeued')
SLOW_CALLER_DROPPED: Final = Event(432, 'slow_caller_dropped', 'warning')
LIMITS_RIGHT_CHANGED: Final = Event(433, 'limits_right_changed')
LIMIT_UNCOUNTED: Final = Event(434, 'limit_uncounted', 'warning')
SILENCE_DECIDED: Final = Event(435, 'silence_decided')
PROCESS_UNKNOWN: Final = Event(436, 'process_unknown', 'warning')
PEER_UNREACHABLE: Final = Event(410, 'peer_unreachable', 'warning')
PEER_UNREADABLE: Final = Event(411, 'peer_unreadable', 'warning')

JOB_ACCEPTED: Final = Event(501, 'job_accepted')
JOB_CANCELLED: Final = Event(502, 'job_cancelled')
SPAN_TAKEN: Final = Event(503, 'span_taken')
SPAN_LEASE_LOST: Final = Event(504, 'span_lease_lost', 'warning')
SPAN_CLOSED: Final = Event(505, 'span_closed')
ITEM_FAILED: Final = Event(506, 'item_failed', 'warning')
JOB_AT_RISK: Final = Event(507, 'job_at_risk', 'warning')
SPAN_LEASE_RELEASED: Final = Event(508, 'span_lease_released')
JOB_TAKEN: Final = Event(509, 'job_taken')
JOB_LEASE_LOST: Final = Event(510, 'job_lease_lost', 'warning')
TAKE_FAILED: Final = Event(511, 'take_failed', 'warning')
JOB_REMOVED: Final = Event(515, 'job_removed')
JOB_REFUSED: Final = Event(516, 'job_refused', 'warning')
JOBS_RESUMED: Final = Event(517, 'jobs_resumed')
ITEM_STARTED_OVER: Final = Event(518, 'item_started_over')
ITEM_STARTED: Final = Event(512, 'item_started')
ITEM_RUN_ENDED: Final = Event(513, 'item_run_ended')
RESULTS_LISTED: Final = Event(514, 'results_listed')

BATCH_PREEMPTED: Final = Event(601, 'batch_preempted')
ORDER_FENCED: Final = Event(602, 'order_fenced', 'warning')
UPSTREAM_FAILED: Final = Event(603, 'upstream_failed', 'warning')

BURN_ALERT: Final = Event(701, 'burn_alert', 'warning')
REPORT_LOST: Final = Event(702, 'report_lost', 'warning')
HOUR_MERGED: Final = Event(703, 'hour_merged')
REPORT_LATE: Final = Event(704, 'report_late', 'warning')
ITEM_RESULT_COUNT_WRONG: Final = Event(705, 'item_result_count_wrong', 'error')


def catalogue() -> tuple[Event, ...]:
    """Return every event, sorted by number."""
    names = globals()  # noqa: WPS421
    found = [entry for entry in names.values() if isinstance(entry, Event)]
    return tuple(sorted(found))
