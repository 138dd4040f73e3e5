"""Counts responses and batch items by service and stores the counts."""

from typing import Protocol

from gevent.lock import RLock

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError
from cactusridge.slo.burn_rate_monitor import BurnRateMonitor
from cactusridge.slo.period import Period, Run, encode_period, period_name
from cactusridge.slo.window import GoodBadCounts, ServiceWindow
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.table import Priority

MIN_RETENTION_S = 7200
MIN_RETENTION_PERIODS = 8
GRACE_PERIODS = 2


def retention_s(period_s: float) -> float:
    """Return for how many seconds an unsent period is kept for a retry."""
    return max(MIN_RETENTION_S, MIN_RETENTION_PERIODS * period_s)


def seal_delay_s(period_s: float) -> float:
    """Return the seconds after which a period can no longer be stored."""
    return retention_s(period_s) + GRACE_PERIODS * period_s


class RecordedAnswer(Protocol):
    """The attributes of a response that are recorded, times in seconds."""

    good: bool
    first_s: float | None
    between_s: float | None


class SloRecorder:
    """Counts by service; each flush stores the counts as a period.

    A period is written even if it had no requests, so that a missing period
    always means that the entry failed and not that it was idle. Periods have
    serial numbers, and the last one is marked when the process shuts down as
    planned, so that the report can list the gaps.
    """

    def __init__(
        self,
        entry: str,
        objects: ObjectStore,
        period_s: float,
        clock: Clock,
        watch: BurnRateMonitor | None = None,
    ) -> None:
        """Store the periods of ``entry`` in ``objects``.

        The caller flushes every ``period_s`` seconds. If there is a
        ``watch``, each flush also adds the counts to it.
        """
        self.period_s = period_s
        self._entry = entry
        self._objects = objects
        self._clock = clock
        self._watch = watch
        self._serial = 0
        self._start = int(clock.wall())
        self._windows: dict[str, ServiceWindow] = {}
        self._unsent: list[tuple[int, str, bytes]] = []
        self._send_lock = RLock()

    def record(self, service: str, sample: RecordedAnswer) -> None:
        """Count one response of ``service``."""
        self._window(service).add(
            sample.good,
            sample.first_s,
            sample.between_s,
        )

    def record_due_items(self, service: str, items: GoodBadCounts) -> None:
        """Count batch items: good if done by their due time, else bad."""
        self._window(service).count('due_met', items)

    def record_exactly_once_items(
        self, service: str, items: GoodBadCounts
    ) -> None:
        """Count audited batch items: good with exactly one result, else bad."""
        self._window(service).count('exactly_once', items)

    def flush(self, last: bool = False) -> None:
        """End the current period and store it.

        A period that cannot be stored is kept for the next flush. ``last``
        marks the last period before a planned shutdown.
        """
        now = int(self._clock.wall())
        run = Run(
            self._entry,
            self._serial,
            self._serial,
            self._start,
            now,
            last,
        )
        services = {
            path: window.encode() for path, window in self._windows.items()
        }
        period = Period(now, self.period_s, (run,), services)
        name = period_name(now, self._entry, self._serial)
        self._unsent.append((now, name, encode_period(period)))
        if self._watch is not None:
            self._watch.add(self._windows)
        self._serial += 1
        self._start = now
        self._windows = {}
        self._send()

    def _window(self, service: str) -> ServiceWindow:
        return self._windows.setdefault(service, ServiceWindow())

    def _send(self) -> None:
        """Store the unsent periods, oldest first.

        The lock allows one greenlet at a time. Otherwise the flush at
        shutdown could run during another flush, and one of them would remove
        a period that it has not stored.
        """
        with self._send_lock:
            self._drop_expired()
            while self._unsent and self._send_first():
                self._unsent.pop(0)

    def _send_first(self) -> bool:
        """Store the oldest unsent period; return whether this succeeded."""
        _, name, body = self._unsent[0]
        try:
            self._objects.put(name, body, Priority.report)
        except CactusridgeError as exc:
            logs.emit(events.REPORT_LATE, name=name, error=str(exc))
            return False
        return True

    def _drop_expired(self) -> None:
        """Drop unsent periods that could be stored after their hour is merged.

        The reports show the missing serial number as a gap.
        """
        oldest = self._clock.wall() - retention_s(self.period_s)
        while self._unsent and self._unsent[0][0] < oldest:
            _, name, _ = self._unsent.pop(0)
            logs.emit(events.REPORT_LOST, name=name)
