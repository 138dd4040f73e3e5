"""A test case with replicas that requests crash and a repeating caller."""

import itertools
import socket

import gevent

from standins.machines.site import HOST
from tests.machine_case import MachineCase

CRASHES = 3
# Repeats that may still run after all entries can have received the third
# strike.
RETRIES = 3
CONTACT_S = 3.0
REPEATS = 8
STREAM = b'crash'
SILENT = b'crash silent'
LEAVES_AFTER_S = 0.5
PLAIN = b'plain crash'


class CrashCase(MachineCase):
    """A site with replicas and a caller that repeats the same request."""

    replicas = 5

    def setUp(self):
        """Start the numbering of attempts."""
        super().setUp()
        self._numbers = itertools.count()

    def bring(
        self,
        target: str,
        body: bytes,
        entry: str | None = None,
        source: str = '127.0.0.1',
        deadline_ms: int = 4000,
    ) -> int:
        """Send a request as a new attempt and return the status.

        Without ``entry``, attempts go to the entries in turn.
        """
        number = next(self._numbers)
        names = self.entries
        name = entry or names[number % len(names)]
        sent = {
            'X-Attempt-Id': f'a{number}',
            'X-Request-Deadline': f'{deadline_ms}',
        }
        return self.site.call(name, 'POST', target, body, sent, source)[0]

    def leave(self, target: str, body: bytes) -> None:
        """Send a request and close the connection after LEAVES_AFTER_S."""
        number = next(self._numbers)
        name = self.entries[number % len(self.entries)]
        head = (
            f'POST {target} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Attempt-Id: l{number}\r\nX-Request-Deadline: 4000\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        with socket.create_connection(self.site.addresses[name]) as caller:
            caller.sendall(head.encode() + body)
            gevent.sleep(LEAVES_AFTER_S)

    def crashes(self) -> list[float]:
        """Return the times of all crashes of replicas, in order."""
        found = (each.crash_times_s for each in self.site.replicas)
        return sorted(itertools.chain.from_iterable(found))

    def forget_crashes(self) -> None:
        """Reset the recorded crashes."""
        for replica in self.site.replicas:
            replica.crash_times_s.clear()

    def bring_to_crash(self, target: str, body: bytes) -> None:
        """Repeat a request until it has crashed three replicas."""
        while len(self.crashes()) < CRASHES:
            self.bring(target, body)

    def check_budget(self) -> None:
        """Check that few crashes follow once all entries can know the third."""
        crashes = self.crashes()
        known_at = crashes[CRASHES - 1] + CONTACT_S
        late = [at for at in crashes if at > known_at]
        self.assertLessEqual(len(late), RETRIES)
