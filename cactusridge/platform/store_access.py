"""This process's ways to the platform's store."""

import random

from cactusridge.clock import Clock
from cactusridge.http.client import Address, parse_address
from cactusridge.platform.objects import PlatformObjects
from cactusridge.platform.rows import PlatformRows
from cactusridge.startup.models import StoreSettings
from cactusridge.store.contact import StoreContact
from cactusridge.store.link import PlatformLink
from cactusridge.store.reply_timeout import ReplyTimeout
from cactusridge.store.store_clock import StoreClock
from cactusridge.store.table_follower import (
    REREAD_S,
    WAIT_S,
    TableFollower,
    TableListener,
)


class StoreAccess:
    """Rows, objects and the store's clock over links of one process.

    Watches have a link of their own: they wait on purpose, and their
    silence has to be told from that of a call.
    """

    def __init__(self, cfg: StoreSettings, clock: Clock) -> None:
        """Reach the store as ``cfg`` says."""
        self._cfg = cfg
        self._host_clock = clock
        self.contact = StoreContact(clock)
        address = parse_address(cfg.address)
        calls = ReplyTimeout(cfg.least_s, cfg.timeout_s)
        self._calls = self._link(address, calls)
        wait_s = cfg.timeout_s + WAIT_S
        feeds = self._link(address, ReplyTimeout(wait_s, wait_s))
        self.clock = StoreClock(clock)
        self.rows = PlatformRows(self._calls, feeds, self.clock)
        self.objects = PlatformObjects(self._calls)

    @property
    def lost(self) -> bool:
        """Whether the store has stopped answering this process."""
        return self._calls.breaker.open

    def follower(
        self,
        table: str,
        prefixes: list[str],
        listener: TableListener,
        reread_s: float = REREAD_S,
    ) -> TableFollower:
        """Return a follower of a table that is not started yet."""
        return TableFollower(
            self.rows,
            table,
            prefixes,
            listener,
            self._host_clock,
            self.contact,
            reread_s,
        )

    def _link(self, address: Address, timeout: ReplyTimeout) -> PlatformLink:
        return PlatformLink(
            address,
            timeout,
            self._cfg.calls_per_s,
            self._host_clock,
            random.Random(),  # noqa: S311
            self._cfg.max_pause_s,
            self.contact,
        )
