"""Counts answers and batch items by service; flushes them by period."""

from typing import Protocol

from gevent.lock import RLock

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError
from cactusridge.slo.burn_watch import BurnWatch
from cactusridge.slo.period import Period, Run, encode_period, period_name
from cactusridge.slo.window import Quantity, ServiceWindow
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.table import Priority

KEPT_S = 7200
KEPT_PERIODS = 8
GRACE_PERIODS = 2


def kept_s(period_s: float) -> float:
    """Return for how many seconds a period waits for the store."""
    return max(KEPT_S, KEPT_PERIODS * period_s)


def seal_s(period_s: float) -> float:
    """Return after how many seconds no period can come any more."""
    return kept_s(period_s) + GRACE_PERIODS * period_s


class Recorded(Protocol):
    """What is recorded of an answer."""

    good: bool
    first_s: float | None
    between_s: float | None


class SloRecorder:
    """Windows by service, put into the object store once a period.

    Every period is written, also one without a request: a period that
    is missing then means that its entry vanished, never that it was
    idle. Periods are numbered, and the last one says that its process
    stopped as planned, so that a gap can be named.
    """

    def __init__(
        self,
        entry: str,
        objects: ObjectStore,
        period_s: float,
        clock: Clock,
        watch: BurnWatch | None = None,
    ) -> None:
        """Flush to ``objects`` under this process's name."""
        self.period_s = period_s
        self._entry = entry
        self._objects = objects
        self._clock = clock
        self._watch = watch
        self._serial = 0
        self._start = int(clock.wall())
        self._windows: dict[str, ServiceWindow] = {}
        self._unsent: list[tuple[int, str, bytes]] = []
        self._sending = RLock()

    def record(self, service: str, sample: Recorded) -> None:
        """Count one answer of ``service``."""
        self._window(service).add(
            sample.good,
            sample.first_s,
            sample.between_s,
        )

    def record_due(self, service: str, items: Quantity) -> None:
        """Count batch items that were done by their due time, or after."""
        self._window(service).count('due_met', items)

    def record_once(self, service: str, items: Quantity) -> None:
        """Count audited batch items with one result, or another number."""
        self._window(service).count('exactly_once', items)

    def flush(self, last: bool = False) -> None:
        """Store the period that ends now; keep it if the store is down."""
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
        """Store what is unsent, in one greenlet at a time.

        Guards against a flush at the stop that takes away the period that
        another one has just stored.
        """
        with self._sending:
            self._drop_old()
            while self._unsent and self._send_first():
                self._unsent.pop(0)

    def _send_first(self) -> bool:
        """Store the oldest period; tell whether the store has it."""
        _, name, body = self._unsent[0]
        try:
            self._objects.put(name, body, Priority.report)
        except CactusridgeError as exc:
            logs.emit(events.REPORT_LATE, name=name, error=str(exc))
            return False
        return True

    def _drop_old(self) -> None:
        """Drop what would come after its hour has been merged.

        The number it leaves out shows in every report.
        """
        oldest = self._clock.wall() - kept_s(self.period_s)
        while self._unsent and self._unsent[0][0] < oldest:
            _, name, _ = self._unsent.pop(0)
            logs.emit(events.REPORT_LOST, name=name)
