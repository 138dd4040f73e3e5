"""A planned stop of an entry while callers keep their connections busy.

What a caller saw: it sent a request on a connection that it had kept, three
seconds after the entry had been told to stop. A replica ran the request and
answered with success 10 ms later; the connection was closed with no answer
36 ms after that, and a request that may run once only could not be tried
again.

The order of events: SIGTERM; 3 s during which callers are still served; no
request in work at the end of them, so that the drain ended at its first look;
the request was read while the process was on its way out, passed on, and lost
with the process 50 ms after the drain had begun.

The cause: a server without work was taken for one to which no more work
comes. The evidence: without the refusal after the end of the drain, these
requests are run and get no answer.
"""

import signal
import socket
from typing import NamedTuple

import gevent
from nose2.tools import params

from cactusridge.descriptors import allow_many
from standins.machines.site import HOST
from tests.machine_case import MachineCase

# The entry of the tests serves callers for 0.3 s after SIGTERM and ends
# 0.3 s later at the earliest; requests come until well after that.
SENT_UNTIL_S = 1.5
ANSWER_WAIT_S = 10
RUN = 200
REFUSED = (429, 503)
CLOSED = 0
CUT = -1
LAST_CHUNK = b'0\r\n\r\n'


class Outcome(NamedTuple):
    """What a caller got and how often it ran.

    A status, 0 for a close without a byte, -1 for a cut answer.
    """

    status: int
    runs: int


SOUND = {
    Outcome(RUN, 1),
    Outcome(CLOSED, 0),
    *(Outcome(status, 0) for status in REFUSED),
}
# Moments around the end of the 0.3 s, in seconds after SIGTERM; a process
# takes some 50 ms to end.
MOMENTS_S = (0.29, 0.31, 0.32, 0.33, 0.34, 0.36)


class TestStopping(MachineCase):
    """One entry is stopped; its callers go on on their connections."""

    entries = ('one',)

    def setUp(self):
        """Allow a connection for each request."""
        allow_many()
        super().setUp()

    def ask(self, conn: socket.socket, name: str, body: bytes) -> int:
        """Send one request on a kept connection; return its status."""
        head = (
            f'POST /on/ HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {name}\r\n'
            f'X-Request-Deadline: 4000\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        try:
            conn.sendall(head.encode() + body)
            with conn.makefile('rb') as answer:
                raw = answer.read()
        except (ConnectionResetError, BrokenPipeError):
            return CLOSED
        if not raw:
            return CLOSED
        status = int(raw.split()[1])
        if status == RUN and not raw.endswith(LAST_CHUNK):
            return CUT
        return status

    def sound(self, outcomes: list[Outcome]) -> None:
        """Check that each was answered whole, or ran nowhere."""
        wrong = {
            number: outcome
            for number, outcome in enumerate(outcomes)
            if outcome not in SOUND
        }
        self.assertEqual({}, wrong)

    @params(
        (0.007, b'1 0.001'),
        (0.02, b'1 0.005'),
        (0.05, b'1 0.001'),
        (0.02, b'4 0.05'),
    )
    def test_kept_connections(self, gap_s, body):
        """Requests one after the other until well after the end."""
        address = self.site.addresses['one']
        conns = [
            socket.create_connection(address)
            for _ in range(int(SENT_UNTIL_S / gap_s))
        ]
        for conn in conns:
            conn.settimeout(ANSWER_WAIT_S)
            self.addCleanup(conn.close)
        entry = self.site.entries['one']
        entry.send(signal.SIGTERM)
        callers = [
            gevent.spawn_later(
                gap_s * number, self.ask, conn, f'{number}', body
            )
            for number, conn in enumerate(conns)
        ]
        gevent.joinall(callers, raise_error=True)
        outcomes = [
            Outcome(caller.value, self.runs(f'{number}'))
            for number, caller in enumerate(callers)
        ]
        self.sound(outcomes)
        self.assertIn(Outcome(RUN, 1), outcomes)
        self.assertIn(0, {outcome.runs for outcome in outcomes})
        self.assertEqual(0, entry.wait())

    def test_one_alone(self):
        """Nothing else is in work when the only request comes."""
        self.sound([self.alone(delay_s) for delay_s in MOMENTS_S])

    def alone(self, delay_s: float) -> Outcome:
        """Stop an entry, send one request ``delay_s`` later, start it again."""
        name = f'alone-{delay_s}'
        entry = self.site.entries['one']
        with socket.create_connection(self.site.addresses['one']) as conn:
            conn.settimeout(ANSWER_WAIT_S)
            entry.send(signal.SIGTERM)
            gevent.sleep(delay_s)
            status = self.ask(conn, name, b'1 0.01')
        entry.wait()
        self.site.start_entry('one')
        return Outcome(status, self.runs(name))
