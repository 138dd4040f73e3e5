"""Starts an entry on a machine of the platform."""

import signal

# Until its handler is there, SIGHUP would end the process, and loading
# the modules takes most of a second; the settings are read after that.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gevent import monkey

monkey.patch_all()

import os
import sys

import gevent
from gevent.event import Event

from cactusridge import descriptors, logs
from cactusridge.exits import ExitStatus
from cactusridge.log_stream import LogStream
from cactusridge.platform.reload import ROLE, Reloader
from cactusridge.platform.role import DirectEntry
from cactusridge.serving import serve
from cactusridge.startup.loader import BadStartSettings, load_file

# The platform names the settings file in this variable.
SETTINGS_VARIABLE = 'CACTUSRIDGE_CONFIG'
# What a process waits at its end for a reader of its log, in seconds.
LOG_END_S = 0.2


def run() -> ExitStatus:
    """Serve until the platform says to stop."""
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
    stream.finish(LOG_END_S)
    return status


if __name__ == '__main__':
    sys.exit(run())
