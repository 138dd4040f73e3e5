"""Serves a role of the daemon and drains it without interrupting calls."""

import abc

import gevent
from gevent.event import Event

from cactusridge import events, logs
from cactusridge.clock import BootClock
from cactusridge.exits import ExitStatus
from cactusridge.http.connection_ends import END_S
from cactusridge.http.late_refusal import LateRefusal
from cactusridge.http.request_reader import HEADER_TIMEOUT_S
from cactusridge.http.server import QUIET_S, Server
from cactusridge.start_trace import TRACE, StartStep
from cactusridge.startup.models import CommonSettings


class Role(abc.ABC):
    """A role in which the daemon serves."""

    @abc.abstractmethod
    def application(self) -> object:
        """Return the WSGI application."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start the greenlets."""

    def on_listening(self) -> None:
        """Handle that callers can connect; the role is not ready before."""

    @abc.abstractmethod
    def begin_drain(self) -> None:
        """Report that the process is not ready."""

    def late_application(self) -> object:
        """Return the application for requests too late in a planned stop.

        It rejects them in the form that callers of this role expect.
        """
        return LateRefusal()

    @abc.abstractmethod
    def hand_over(self, bound_s: float) -> None:
        """Hand over background work within ``bound_s`` seconds.

        Requests are still served in the meantime.
        """

    def header_limit_s(self) -> float:
        """Return how long the headers of a request may take, in seconds."""
        return HEADER_TIMEOUT_S

    def close(self) -> None:
        """Store data that is complete only after the last request."""


def serve(cfg: CommonSettings, role: Role, stop: Event) -> ExitStatus:
    """Serve ``role`` until ``stop`` is set, then drain it."""
    role.start()
    server = Server(
        cfg.address,
        role.application(),
        cfg.idle_timeout_s,
        role.late_application(),
    )
    server.header_limit_s = role.header_limit_s
    server.start()
    TRACE.mark(StartStep.listening)
    role.on_listening()
    logs.emit(events.LISTENING)
    stop.wait()
    return drain(cfg, role, server)


def drain(cfg: CommonSettings, role: Role, server: Server) -> ExitStatus:
    """Stop without interrupting a request.

    This takes at most ``readiness_delay_s`` plus ``drain_limit_s`` seconds. The
    limit is checked by a clock, because sleeps take longer on a busy host
    and the sender of the stop signal kills the process after its own limit.
    """
    logs.emit(events.DRAIN_BEGUN, active=server.active)
    clock = BootClock()
    delayed_at = clock.monotonic() + cfg.readiness_delay_s
    # The connections are ended within the limit as well.
    end_at = delayed_at + cfg.drain_limit_s - END_S
    role.begin_drain()
    # From now on each reply closes its connection.
    server.draining = True
    server.late_at = delayed_at + QUIET_S
    finishing = gevent.spawn(role.hand_over, cfg.drain_limit_s)
    # The load balancer and the entries notice the drain after a delay;
    # until then requests are still accepted.
    gevent.sleep(cfg.readiness_delay_s)
    server.drain(end_at - clock.monotonic())
    finishing.join(max(0, end_at - clock.monotonic()))
    cut = server.end()
    role.close()
    active = cut.unanswered + cut.partial
    logs.emit(events.DRAIN_ENDED, active=active)
    clean = not active and finishing.ready()
    return ExitStatus.success if clean else ExitStatus.drain_timeout
