"""Serving one role of the daemon and stopping it without cutting a call."""

import abc

import gevent
from gevent.event import Event

from cactusridge import events, logs
from cactusridge.exits import ExitStatus
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

    @abc.abstractmethod
    def finish(self, bound_s: float) -> None:
        """End background work within ``bound_s``."""


def serve(cfg: CommonSettings, role: Role, stop: Event) -> ExitStatus:
    """Serve ``role`` until ``stop`` is set, then drain it."""
    role.start()
    server = Server(cfg.address, role.application(), cfg.idle_timeout_s)
    server.start()
    role.listening()
    logs.emit(events.LISTENING)
    stop.wait()
    return drain(cfg, role, server)


def drain(cfg: CommonSettings, role: Role, server: Server) -> ExitStatus:
    """Stop without cutting a request."""
    logs.emit(events.DRAIN_BEGUN, active=server.active)
    role.begin_drain()
    # From now on each reply says that the connection closes.
    server.draining = True
    finishing = gevent.spawn(role.finish, cfg.drain_timeout_s)
    # The balancer and the entries need a moment to see it; until then
    # requests are still taken.
    gevent.sleep(cfg.readiness_delay_s)
    ended = server.drain(cfg.drain_timeout_s)
    finishing.join(cfg.drain_timeout_s)
    logs.emit(events.DRAIN_ENDED, active=server.active)
    clean = ended and finishing.ready()
    return ExitStatus.success if clean else ExitStatus.drain_timeout
