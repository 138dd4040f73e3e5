"""Access of this process to the platform's store."""

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
    """Rows, objects and clock of the store, and the links to it.

    Watches use a separate link with a longer timeout, because the store
    delays their answers on purpose: silence on a watch must not count as
    silence on a call.
    """

    def __init__(self, cfg: StoreSettings, clock: Clock) -> None:
        """Create the links to the store from its settings ``cfg``."""
        self._cfg = cfg
        self._host_clock = clock
        self.contact = StoreContact(clock)
        address = parse_address(cfg.address)
        call_timeout = ReplyTimeout(cfg.min_timeout_s, cfg.timeout_s)
        self._call_link = self._link(address, call_timeout)
        # The store holds a watch for up to WAIT_S; the link waits longer.
        wait_s = cfg.timeout_s + WAIT_S
        watch_link = self._link(address, ReplyTimeout(wait_s, wait_s))
        self.clock = StoreClock(clock)
        self.rows = PlatformRows(self._call_link, watch_link, self.clock)
        self.objects = PlatformObjects(self._call_link)

    @property
    def lost(self) -> bool:
        """Whether the store has stopped answering the calls of this process."""
        return self._call_link.breaker.open

    @property
    def responds(self) -> bool:
        """Whether the store has answered lately and no outage has begun."""
        return self.contact.is_recent() and not self.lost

    def follower(
        self,
        table: str,
        prefixes: list[str],
        listener: TableListener,
        reread_s: float = REREAD_S,
    ) -> TableFollower:
        """Return a follower of ``table``, which the caller has to start."""
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
