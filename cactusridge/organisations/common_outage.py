"""Decides whether an entry may count on while all entries lack the store.

An entry whose lease cannot be renewed stops counting, because another entry
may take its place. No entry can take a place while none of them reaches the
store, so the entry may continue as long as the other members confirm that.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple

from cactusridge import events, logs
from cactusridge.clock import Clock

# Age in ms of the oldest report that counts. Reports are repeated four times
# a second and pass through at most a few entries.
REPORT_MS = 1200
# Seconds after the last renewal by which the outage must be confirmed: another
# entry with the store takes over 3.2 s after it at the earliest.
CONFIRM_S = 3.0
# Longest time in seconds between two confirmations. An entry that was
# suspended for longer may have missed that another one has the store.
CONFIRM_GAP_S = 0.6
# Seconds for which an entry counts on after another one has regained the
# store. That one restarts the leases of all members at its first read, so that
# it replaces nobody for another 3.2 s.
RECOVERY_S = 1.5


class StoreReport(NamedTuple):
    """Whether an entry had the store at ``at_ms`` of the store's clock."""

    entry: str
    at_ms: int
    has_store: bool


class CommonOutage:
    """Collects the members' reports of an outage of the store."""

    def __init__(self, now_ms: Callable[[], float], clock: Clock) -> None:
        """Start without reports.

        ``now_ms`` returns the store's time in milliseconds.
        """
        self._now_ms = now_ms
        self._clock = clock
        self._without: dict[str, int] = {}
        self._with: dict[str, int] = {}
        # Positive statuses. An entry notices an outage in its status at
        # another time than in its reports, so they do not replace each other.
        self._statuses: dict[str, int] = {}
        self._confirmed_at: float | None = None
        self._unrenewed_s = float('inf')
        self._recovers_at: float | None = None
        self._is_logged = False

    def note(self, report: StoreReport) -> None:
        """Record a report of any entry, unless a newer one is known."""
        reports = self._with if report.has_store else self._without
        known = reports.get(report.entry, report.at_ms)
        reports[report.entry] = max(known, report.at_ms)

    def note_status(self, entry: str, *, has_store: bool) -> None:
        """Record whether the status of ``entry`` says that it has the store.

        A negative one ends the positive one before it. Only reports confirm
        an outage.
        """
        self._statuses.pop(entry, None)
        if has_store and not self.recently_lacked(entry):
            self._statuses[entry] = int(self._now_ms())

    def reports(self) -> list[StoreReport]:
        """Return the current reports, to be passed on to other entries."""
        since_ms = self._now_ms() - REPORT_MS
        kinds = ((True, self._with), (False, self._without))
        return [
            StoreReport(entry, at_ms, has_store)
            for has_store, reports in kinds
            for entry, at_ms in reports.items()
            if at_ms > since_ms
        ]

    def recently_lacked(self, entry: str) -> bool:
        """Return whether ``entry`` has recently reported an outage."""
        return self._without.get(entry, 0) > self._now_ms() - REPORT_MS

    def lacking(self) -> list[str]:
        """Return the entries that have recently reported an outage."""
        return [each for each in self._without if self.recently_lacked(each)]

    def update(self, members: Collection[str], unrenewed_s: float) -> None:
        """Evaluate the reports; call this several times a second.

        ``members`` are the listed entries, this one among them.
        ``unrenewed_s`` is the time since this entry's last renewal or read,
        whichever is longer ago.
        """
        if unrenewed_s < self._unrenewed_s:
            self._confirmed_at = None
            self._recovers_at = None
        self._unrenewed_s = unrenewed_s
        self._evaluate(members)
        self._drop_old()
        self._log_change()

    def holds(self) -> bool:
        """Return whether this entry may count without renewing its lease."""
        if self._confirmed_at is None:
            return False
        now = self._clock.monotonic()
        if self._recovers_at is not None:
            return now < self._recovers_at
        return now - self._confirmed_at < CONFIRM_GAP_S

    def _evaluate(self, members: Collection[str]) -> None:
        with_store = self._with_store()
        if with_store:
            self._end_outage(with_store)
            return
        without = [each for each in members if self.recently_lacked(each)]
        if len(without) * 2 > len(members) and self._is_continuous():
            self._confirmed_at = self._clock.monotonic()

    def _with_store(self) -> list[str]:
        """Return the entries whose latest report is that they have it."""
        since_ms = self._now_ms() - REPORT_MS
        return [
            entry
            for entry, at_ms in (*self._with.items(), *self._statuses.items())
            if at_ms > max(since_ms, self._without.get(entry, 0))
        ]

    def _is_continuous(self) -> bool:
        """Return whether no confirmation was missing since the renewal."""
        if self._recovers_at is not None:
            return False
        return self._unrenewed_s < CONFIRM_S or self.holds()

    def _end_outage(self, with_store: list[str]) -> None:
        """Count on for RECOVERY_S, or not at all.

        The latter applies if any entry of ``with_store`` never lacked it.
        """
        now = self._clock.monotonic()
        if not all(each in self._without for each in with_store):
            self._confirmed_at = None
        elif self._recovers_at is None and self.holds():
            self._recovers_at = now + RECOVERY_S

    def _drop_old(self) -> None:
        """Forget reports that are too old to matter for this outage."""
        oldest_ms = self._now_ms() - 4 * REPORT_MS
        for reports in (self._with, self._without, self._statuses):
            for entry, at_ms in tuple(reports.items()):
                if at_ms < oldest_ms:
                    reports.pop(entry)

    def _log_change(self) -> None:
        holds = self.holds()
        if holds != self._is_logged:
            self._is_logged = holds
            logs.emit(events.LIMITS_WITHOUT_STORE, counting=holds)
