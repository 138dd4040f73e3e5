"""The daemon: reads its start settings, serves and stops gracefully."""

import signal

import gevent
import typer
from gevent.event import Event

from cactusridge import descriptors, logs
from cactusridge.clock import Clock, SystemClock
from cactusridge.entry.app import Entry
from cactusridge.environment import Environment
from cactusridge.exits import ExitStatus
from cactusridge.serving import Role, serve
from cactusridge.sidecar.app import Sidecar
from cactusridge.startup.loader import BadStartSettings, load_file
from cactusridge.startup.models import (
    CommonSettings,
    EntrySettings,
    SidecarSettings,
)

# Seconds between two checks of the sidecar's admission gates.
TICK_S = 0.1


class EntryRole(Role):
    """The role of an entry, which serves callers and operators."""

    def __init__(self, cfg: EntrySettings, clock: Clock) -> None:
        """Create the entry from its start settings."""
        self._entry = Entry(cfg, clock)

    def application(self) -> object:
        """Return the WSGI application."""
        return self._entry.app

    def start(self) -> None:
        """Start the greenlets."""
        self._entry.start()

    def begin_drain(self) -> None:
        """Report that the entry is not ready."""
        self._entry.begin_drain()

    def hand_over(self, bound_s: float) -> None:
        """Hand over batch work within ``bound_s`` seconds."""
        self._entry.finish(bound_s)

    def close(self) -> None:
        """Store the counts of the last requests."""
        self._entry.close()


class SidecarRole(Role):
    """The role of a sidecar, which serves beside an upstream."""

    def __init__(self, cfg: SidecarSettings, clock: Clock) -> None:
        """Create the sidecar from its start settings."""
        self._sidecar = Sidecar(cfg, clock)

    def application(self) -> object:
        """Return the WSGI application."""
        return self._sidecar.app

    def start(self) -> None:
        """Start the periodic checks of the admission gates."""
        gevent.spawn(self._tick)

    def begin_drain(self) -> None:
        """Reject new work, and report the drain in replies to entries."""
        self._sidecar.begin_drain()

    def late_application(self) -> object:
        """Return the application itself, which rejects orders in frames.

        Without a frame an entry does not know that its order has not run,
        and must not send it to another sidecar.
        """
        return self._sidecar.app

    def hand_over(self, bound_s: float) -> None:
        """Do nothing: a sidecar has no work besides its requests."""

    def _tick(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            self._sidecar.admit_waiting()


def make_role(cfg: CommonSettings, clock: Clock) -> Role:
    """Return the role that ``cfg`` configures; raise TypeError."""
    if isinstance(cfg, EntrySettings):
        return EntryRole(cfg, clock)
    if isinstance(cfg, SidecarSettings):
        return SidecarRole(cfg, clock)
    raise TypeError(cfg)


def serve_as(cfg: CommonSettings, stop: Event) -> ExitStatus:
    """Serve the role that ``cfg`` configures until ``stop`` is set."""
    logs.configure(cfg.log.style)
    logs.bind(address=str(cfg.address), zone=cfg.zone)
    descriptors.allow_many()
    return serve(cfg, make_role(cfg, SystemClock()), stop)


def report_mistakes(env: Environment, exc: BadStartSettings) -> None:
    """Write each mistake to the error stream, one per line."""
    for mistake in exc.exceptions:
        env.stderr.write(f'cactusridged: {mistake}\n')


def make_app(env: Environment) -> typer.Typer:
    """Return the daemon's command-line application."""
    app = typer.Typer(
        add_completion=False,
        no_args_is_help=True,
        help='Serve as one process of cactusridge.',
    )

    def run(path: str, role: str) -> None:  # noqa: WPS430
        try:
            cfg = load_file(path, role)
        except BadStartSettings as exc:
            report_mistakes(env, exc)
            raise typer.Exit(ExitStatus.bad_settings) from exc
        stop = Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, stop.set)
        raise typer.Exit(serve_as(cfg, stop))

    @app.command()
    def entry(path: str) -> None:  # noqa: WPS430
        """Serve callers and operators: cactusridged entry FILE."""
        run(path, 'entry')

    @app.command()
    def sidecar(path: str) -> None:  # noqa: WPS430
        """Serve beside an upstream: cactusridged sidecar FILE."""
        run(path, 'sidecar')

    @app.command()
    def check(path: str) -> None:  # noqa: WPS430
        """Check a start settings file without starting."""
        try:
            cfg = load_file(path)
        except BadStartSettings as exc:
            report_mistakes(env, exc)
            raise typer.Exit(ExitStatus.bad_settings) from exc
        env.stdout.write(f'{path}: good settings of a {cfg.role}\n')

    return app


def main(args: list[str], env: Environment) -> ExitStatus:
    """Run the daemon with ``args``; return its exit status."""
    app = make_app(env)
    try:
        code = app(args, standalone_mode=False)
    except Exception as exc:
        env.stderr.write(f'cactusridged: {exc}\n')
        return ExitStatus.usage
    return ExitStatus(code or 0)
