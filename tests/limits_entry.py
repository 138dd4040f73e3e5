"""A simulated entry, whose process may end and start again."""

import typing

from cactusridge.clock import Clock
from tests.limits_process import EntryProcess

if typing.TYPE_CHECKING:
    from tests.limits_fleet import Fleet, Roll

READ_S = 1.0
# Difference between the clocks of two hosts, in seconds.
UPTIME_S = 2_592_000


class HostClock(Clock):
    """The clock of a host, which started before or after the store's."""

    def __init__(self, clock: Clock, ahead_s: float) -> None:
        """Show ``ahead_s`` seconds more than ``clock``."""
        self._clock = clock
        self._ahead_s = ahead_s

    def monotonic(self):
        """Return the seconds since the start of the host."""
        return self._clock.monotonic() + self._ahead_s

    def wall(self):
        """Return the time of day, which does not depend on the start."""
        return self._clock.wall()


class Entry:
    """A simulated entry with its place in the fleet and its process."""

    def __init__(self, fleet: 'Fleet', number: int) -> None:
        """Start entry ``number`` at the current time of ``fleet``."""
        self.fleet = fleet
        self.name = f'10.0.{number // 250}.{number % 250}:1'
        self.alive = True
        # Whether callers are sent here.
        self.ready = True
        self.restarted = False
        self.store_lost = False
        # Whether the store does not reply, so that calls wait for a timeout.
        self.store_silent = False
        self.frozen = False
        self.powered_off = False
        # Entries with equal names here reach each other; those with an
        # empty name also reach the store.
        self.partition = ''
        self.renew_at = fleet.rng.uniform(0, READ_S)
        # The clocks of the hosts and of the store have other starts.
        self._ahead_s = (number % 3 - 1) * UPTIME_S
        self.start()

    def start(self) -> None:
        """Start the entry's process without any state in memory."""
        self.process = EntryProcess(self)
        self.limiter = self.fleet.make(self)

    @property
    def host_clock(self) -> HostClock:
        """The clock of the entry's host."""
        return HostClock(self.fleet.clock, self._ahead_s)

    @property
    def partitioned(self) -> bool:
        """Whether the entry cannot reach the store."""
        return bool(self.partition)

    @property
    def serves(self) -> bool:
        """Whether callers are sent to this entry."""
        return self.alive and self.ready

    def reaches(self, other: 'Entry') -> bool:
        """Return whether a datagram from this entry reaches ``other``."""
        runs = other.alive and not other.frozen
        return runs and self.partition == other.partition

    def has_seen_exit(self, name: str) -> bool:
        """Return whether the host of an entry is reachable but refuses."""
        other = self.fleet.by_name[name]
        is_refused = not (other.alive or other.powered_off)
        return is_refused and self.partition == other.partition

    def run_due(self, now: float) -> None:
        """Run the periodic work that is due at ``now``."""
        if not self.alive or self.frozen:
            return
        if now >= self.renew_at:
            self.renew()
        self.process.run_due()

    def renew(self) -> None:
        """Renew this entry's row and read the rows of all entries.

        If the store does not reply, go on when the call times out.
        """
        wait_s = self.process.members.await_reply()
        if wait_s:
            self.renew_at = self.fleet.clock.now + wait_s
            return
        self.renew_at = self.fleet.clock.now + READ_S
        self.process.renew()
        if self.process.members.is_read and not self.process.members.has_left:
            self.ready = True

    def set_lost(self, lost: bool, *, powered_off: bool) -> None:
        """Kill the entry's process, or restart it if it was lost."""
        self.powered_off = powered_off
        if lost:
            self.alive = False
        elif not self.alive and not self.process.members.has_left:
            self.alive = True
            self.start()
            self.renew()

    def stop(self, passed_s: float, roll: 'Roll') -> None:
        """Go on with a planned stop that began ``passed_s`` seconds ago."""
        handover = self.process.handover
        if self.fleet.has_handover and not handover.has_stopped:
            handover.stop()
        if passed_s >= roll.ready_s:
            self.ready = False
        if passed_s >= roll.leave_s and not self.process.members.has_left:
            self.process.members.leave()
        if passed_s >= roll.stop_s:
            self.alive = False
        if passed_s >= roll.stop_s + roll.restart_s:
            self.restarted = True
            self.alive = True
            self.start()
            self.renew_at = self.fleet.clock.now
