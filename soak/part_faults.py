"""A part of a prompt that crashes each replica which begins to answer."""

import itertools
import random
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException

import gevent

from soak.faults import Fault
from soak.organisations import key_headers
from soak.world import World
from standins.machines.site import HOST

# The part that sound requests share with the guilty ones, and theirs alone.
SHARED = 'f00d'
SOUND = ('aa01', 'aa02', 'aa03')
BODY = b'3 0.01'
DEADLINE_MS = 4000
TIMEOUT_S = 5
MAX_PAUSE_S = 0.4

_numbers: Iterator[int] = itertools.count()


def prompt_headers(parts: tuple[str, ...], number: int) -> dict[str, str]:
    """Return the headers of a request unlike all others with ``parts``."""
    listed = ','.join(f'{part}:100' for part in (*parts, f'0{number:x}'))
    return {
        'Host': HOST,
        'X-Attempt-Id': f'p{number}',
        'X-Request-Deadline': str(DEADLINE_MS),
        'X-Model': 'm',
        'X-Prompt-Prefix': listed,
    }


def send_prompt(world: World, entry: str, parts: tuple[str, ...]) -> int:
    """Send a request with ``parts`` to an entry; return its status, or 0."""
    number = next(_numbers)
    rng = random.Random(number)  # noqa: S311
    headers = prompt_headers(parts, number)
    headers |= key_headers(world.record.organisations.draw_key(rng))
    conn = HTTPConnection(*world.caller_links[entry].address, timeout=TIMEOUT_S)
    try:
        conn.request('POST', f'/on/p{number}', BODY, headers)
        resp = conn.getresponse()
        resp.read()
    except (OSError, HTTPException):
        return 0
    finally:
        conn.close()
    return resp.status


class GuiltyPart(Fault):
    """Callers send prompts with a part that crashes replicas, and others."""

    duration_factor = 3.0

    def begin(self) -> None:
        """Make a new part crash all replicas, and send it."""
        number = next(_numbers)
        self.target = f'bad{number:x}'
        self.world.record.guilty_parts[self.target] = []
        for replica in self.world.replicas:
            replica.crashing_parts.add(self.target)
        self._callers = [
            gevent.spawn(self._send, random.Random(self.rng.random()))
            for _ in range(2)
        ]

    def end(self) -> None:
        """Stop sending it."""
        gevent.killall(self._callers)

    def _send(self, rng: random.Random) -> None:
        prompts = (
            *((SHARED, part) for part in SOUND),
            (SHARED, self.target),
            (SHARED, self.target),
        )
        while not self.world.finished:
            entry = rng.choice(sorted(self.world.caller_links))
            send_prompt(self.world, entry, rng.choice(prompts))
            gevent.sleep(rng.uniform(0, MAX_PAUSE_S))
