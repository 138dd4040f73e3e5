"""Runs one stand-in as a process.

Usage: ``python -m standins KIND HOST:PORT [OPTIONS]``. OPTIONS is a JSON
object and is read for the ``engine`` kind only.
"""

from gevent import monkey

monkey.patch_all()

import json
import signal
import sys
from types import MappingProxyType

import gevent
from gevent.event import Event

from cactusridge.http.client import parse_address
from cactusridge.http.server import Server
from standins.engine import EngineStandIn
from standins.model import EngineSpeed
from standins.plain import PlainStandIn
from standins.platform import PlatformStandIn

WRITES_PER_S = 400
READS_PER_S = 2000
IDLE_S = 3600
DRAIN_S = 5


def make_engine(raw_options: str) -> EngineStandIn:
    """Return an engine stand-in.

    ``raw_options`` is a JSON object of ``EngineSpeed`` fields, and of
    ``checks_fencing`` if the engine checks fencing numbers.
    """
    fields = json.loads(raw_options or '{}')
    checks_fencing = fields.pop('checks_fencing', False)
    return EngineStandIn('yazman', EngineSpeed(**fields), checks_fencing)


KINDS = MappingProxyType(
    {
        'engine': make_engine,
        'plain': lambda _: PlainStandIn(),
        'platform': lambda _: PlatformStandIn(WRITES_PER_S, READS_PER_S),
    },
)


def main(args: list[str]) -> int:
    """Serve until SIGTERM or SIGINT, drain, and return the exit status."""
    kind, address = args[:2]
    raw_options = args[2] if len(args) > 2 else ''
    server = Server(parse_address(address), KINDS[kind](raw_options), IDLE_S)
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    server.start()
    stop.wait()
    server.drain(DRAIN_S)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
