"""gevent's WSGI server with read timeouts and graceful draining."""

import math
from collections.abc import Callable
from typing import Any

import gevent
from gevent import pywsgi
from gevent.pool import Pool

from cactusridge import events, logs
from cactusridge.clock import BootClock, Clock
from cactusridge.http.caller_writes import CallerWrites, WriteLimits
from cactusridge.http.connection_ends import ConnectionEnds, CutRequests
from cactusridge.http.handler import Handler
from cactusridge.http.late_refusal import LateRefusal
from cactusridge.http.request_reader import HEADER_TIMEOUT_S
from cactusridge.work_meter import CallGreenlet, PartGreenlet

# The library writes no log of its own.
SILENT_LOG = None
# Seconds between two checks of a drain.
POLL_S = 0.05
# Seconds without a request after which a drain may end: requests on
# connections that are already accepted may still be in transit.
QUIET_S = 0.3


class Server(pywsgi.WSGIServer):
    """An HTTP server that can stop without interrupting a request."""

    handler_class = Handler

    def __init__(
        self,
        address: tuple[str, int],
        application: Any,
        idle_timeout_s: float,
        late_application: Any = None,
        greenlets: type[PartGreenlet] = CallGreenlet,
    ) -> None:
        """Serve ``application`` at ``address``, an IP address and a port.

        ``late_application`` replies to requests that arrive too late in a
        drain, by default with LateRefusal. Each connection is served by a
        greenlet of the class ``greenlets``.
        """
        super().__init__(
            address,
            application,
            spawn=Pool(greenlet_class=greenlets),
            log=SILENT_LOG,
            error_log=SILENT_LOG,
        )
        self.idle_timeout_s = idle_timeout_s
        self.writes = CallerWrites(WriteLimits())
        self.late_application = late_application or LateRefusal()
        self.clock: Clock = BootClock()
        self.ends = ConnectionEnds(self.clock)
        # Returns how long the headers of a request may take, in seconds.
        self.header_limit_s: Callable[[], float] = lambda: HEADER_TIMEOUT_S
        self.active = 0
        self.draining = False
        # Whether new requests are rejected, because the process may exit
        # before they end.
        self.rejects_requests = False
        # The time from which they are, even if the drain is behind: later ones
        # would have less time than the limit of the stop was made for.
        self.late_at = math.inf

    def is_late(self) -> bool:
        """Return whether a request that has just arrived is rejected."""
        return self.rejects_requests or self.clock.monotonic() >= self.late_at

    def update_environ(self) -> None:
        """Set the server's name to its address, without a name lookup.

        The library looks up the host name. Other greenlets would run during
        the lookup, in the middle of the start, and without a name server it
        takes seconds.
        """
        self.environ['SERVER_NAME'] = str(self.address[0])
        self.environ.setdefault('SERVER_PORT', str(self.address[1]))

    def drain(self, bound_s: float) -> bool:
        """Stop accepting connections and wait for requests in flight.

        Waits at most ``bound_s`` seconds and returns whether all requests
        ended. After ``QUIET_S`` new requests on idle connections are
        rejected, even while others are in flight, because the end of the
        process could interrupt them.
        """
        self.draining = True
        # Closing the listener resets the connections that wait in its backlog.
        # The library accepts fewer at once than may wait there.
        self.max_accept = self.backlog + 1
        self._do_read()
        self.close()
        started_at = self.clock.monotonic()
        last_busy_at = started_at
        now = started_at
        while now - last_busy_at < QUIET_S and now - started_at < bound_s:
            gevent.sleep(POLL_S)
            now = self.clock.monotonic()
            if self.active:
                last_busy_at = now
            self.rejects_requests = now - started_at >= QUIET_S
        self.rejects_requests = True
        return not self.active

    def end(self) -> CutRequests:
        """End all connections after a drain, within ``END_S`` seconds.

        Returns the numbers of requests that were cut. Nothing is read
        afterwards.
        """
        cut = self.ends.end()
        if any(cut):
            logs.emit(events.REQUESTS_CUT, **cut._asdict())
        return cut
