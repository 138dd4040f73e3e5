"""Serving one role of the daemon and stopping it without cutting a call."""

import abc

import gevent
from gevent.event import Event

from cactusridge import events, logs
from cactusridge.clock import BootClock
from cactusridge.exits import ExitStatus
from cactusridge.http.late_refusal import LateRefusal
from cactusridge.http.server import Server
from cactusridge.startup.models import CommonSettings


class Role(abc.ABC):
    """What the daemon runs."""

    @abc.abstractmethod
    def application(self) -> object:
        """Return the WSGI application."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start the greenlets."""

    def listening(self) -> None:
        """Note that callers can connect; until then nobody is ready."""

    @abc.abstractmethod
    def begin_drain(self) -> None:
        """Fail readiness."""

    def late_application(self) -> object:
        """Return the application for what comes too late into a stop.

        It refuses in the form that callers of this role expect.
        """
        return LateRefusal()

    @abc.abstractmethod
    def finish(self, bound_s: float) -> None:
        """Hand background work on within ``bound_s`` seconds.

        Requests are still served meanwhile.
        """

    def close(self) -> None:
        """Store what only the end of the last request settles."""


def serve(cfg: CommonSettings, role: Role, stop: Event) -> ExitStatus:
    """Serve ``role`` until ``stop`` is set, then drain it."""
    role.start()
    server = Server(
        cfg.address,
        role.application(),
        cfg.idle_timeout_s,
        role.late_application(),
    )
    server.start()
    role.listening()
    logs.emit(events.LISTENING)
    stop.wait()
    return drain(cfg, role, server)


def drain(cfg: CommonSettings, role: Role, server: Server) -> ExitStatus:
    """Stop without cutting a request.

    The whole takes ``readiness_delay_s`` and ``drain_s`` at most, by a
    clock and not by naps, which are long on a busy host: whoever sent
    the signal kills what is still there after its own time.
    """
    logs.emit(events.DRAIN_BEGUN, active=server.active)
    clock = BootClock()
    end_at = clock.monotonic() + cfg.readiness_delay_s + cfg.drain_s
    role.begin_drain()
    # From now on each reply says that the connection closes.
    server.draining = True
    finishing = gevent.spawn(role.finish, cfg.drain_s)
    # The balancer and the entries need a moment to see it; until then
    # requests are still taken.
    gevent.sleep(cfg.readiness_delay_s)
    ended = server.drain(end_at - clock.monotonic())
    finishing.join(max(0, end_at - clock.monotonic()))
    role.close()
    logs.emit(events.DRAIN_ENDED, active=server.active)
    clean = ended and finishing.ready()
    return ExitStatus.success if clean else ExitStatus.drain_timeout
