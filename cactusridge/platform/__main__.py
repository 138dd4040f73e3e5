"""Starts a ``direct_entry`` process on a machine of the platform."""

import signal

# SIGHUP terminates a process that has no handler for it, and importing the
# modules takes most of a second. Ignoring the signal meanwhile loses nothing,
# because the settings file is read only after the imports.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gevent import monkey

monkey.patch_all()

import os
import sys

import gevent
from gevent.event import Event

from cactusridge import descriptors, logs
from cactusridge.clock import BootClock
from cactusridge.exits import ExitStatus
from cactusridge.log_stream import LogStream
from cactusridge.platform.reload import ROLE, Reloader
from cactusridge.platform.role import DirectEntry
from cactusridge.serving import serve
from cactusridge.start_trace import TRACE, StartStep, process_started_at
from cactusridge.startup.loader import BadStartSettings, load_file

# Environment variable in which the platform passes the settings path.
SETTINGS_VARIABLE = 'CACTUSRIDGE_CONFIG'
# Longest wait at exit, in seconds, for the reader of the log to catch up.
LOG_FLUSH_TIMEOUT_S = 0.2


def run() -> ExitStatus:
    """Serve until SIGTERM or SIGINT arrives; return the exit status."""
    TRACE.begin(process_started_at(BootClock()))
    TRACE.mark(StartStep.imports)
    path = os.environ[SETTINGS_VARIABLE]
    try:
        cfg = load_file(path, ROLE)
    except BadStartSettings as exc:
        for mistake in exc.exceptions:
            sys.stderr.write(f'cactusridge: {mistake}\n')
        return ExitStatus.bad_settings
    stream = LogStream(sys.stdout.fileno())
    logs.configure(cfg.log.style, stream)
    logs.bind(host=cfg.name)
    descriptors.allow_many()
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    gevent.signal_handler(signal.SIGHUP, Reloader(path, cfg).reload)
    status = serve(cfg, DirectEntry(cfg), stop)
    stream.finish(LOG_FLUSH_TIMEOUT_S)
    # Everything is stored and every connection is closed. Freeing the memory
    # of the process would take a second on a busy host.
    os._exit(status)


if __name__ == '__main__':
    sys.exit(run())
