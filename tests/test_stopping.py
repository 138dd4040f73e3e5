"""A planned stop of an entry while callers keep their connections busy.

The failure: a caller sends a request on a kept connection just after the time
for which a stopping entry still serves callers. A replica runs the request, but
the connection is closed without a response, and a request that may run only
once cannot be retried.

The cause: with no request in flight, the drain ends at once, and the entry can
still read and dispatch a request in the some 50 ms until the process exits. The
entry must therefore refuse requests after the end of the drain.
"""

import signal
import socket
from typing import NamedTuple

import gevent
from nose2.tools import params

from cactusridge.descriptors import allow_many
from standins.machines.site import HOST
from tests.machine_case import MachineCase

# The tested entry serves callers for 0.3 s after SIGTERM and exits at least
# 0.3 s after that; requests are sent until well after its exit.
SENT_UNTIL_S = 1.5
ANSWER_WAIT_S = 10
SUCCESS = 200
REFUSED = (429, 503)
CLOSED = 0
CUT = -1
LAST_CHUNK = b'0\r\n\r\n'


class Outcome(NamedTuple):
    """The result of a request at its caller and how often replicas ran it.

    ``status`` is CLOSED if the connection was closed without a byte and CUT
    if the response was incomplete.
    """

    status: int
    runs: int


ALLOWED_OUTCOMES = {
    Outcome(SUCCESS, 1),
    Outcome(CLOSED, 0),
    *(Outcome(status, 0) for status in REFUSED),
}
# Times of requests in seconds after SIGTERM, around the end of the 0.3 s; a
# process takes some 50 ms to exit.
MOMENTS_S = (0.29, 0.31, 0.32, 0.33, 0.34, 0.36)


class TestStopping(MachineCase):
    """One entry is stopped while callers use their kept connections."""

    entries = ('one',)

    def setUp(self):
        """Allow enough descriptors for a connection per request."""
        allow_many()
        super().setUp()

    def send_request(self, conn: socket.socket, name: str, body: bytes) -> int:
        """Send one request on a kept connection.

        Returns the status of the response, CLOSED or CUT.
        """
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
        if status == SUCCESS and not raw.endswith(LAST_CHUNK):
            return CUT
        return status

    def check_outcomes(self, outcomes: list[Outcome]) -> None:
        """Check that each request got a complete response or did not run."""
        wrong = {
            number: outcome
            for number, outcome in enumerate(outcomes)
            if outcome not in ALLOWED_OUTCOMES
        }
        self.assertEqual({}, wrong)

    @params(
        (0.007, b'1 0.001'),
        (0.02, b'1 0.005'),
        (0.05, b'1 0.001'),
        (0.02, b'4 0.05'),
    )
    def test_kept_connections(self, gap_s, body):
        """Requests at steady intervals run once or get a refusal or a close."""
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
                gap_s * number, self.send_request, conn, f'{number}', body
            )
            for number, conn in enumerate(conns)
        ]
        gevent.joinall(callers, raise_error=True)
        outcomes = [
            Outcome(caller.value, self.runs(f'{number}'))
            for number, caller in enumerate(callers)
        ]
        self.check_outcomes(outcomes)
        self.assertIn(Outcome(SUCCESS, 1), outcomes)
        self.assertIn(0, {outcome.runs for outcome in outcomes})
        self.assertEqual(0, entry.wait())

    def test_one_alone(self):
        """A single request at the end of the drain runs at most once."""
        self.check_outcomes(
            [self.request_during_stop(delay_s) for delay_s in MOMENTS_S]
        )

    def request_during_stop(self, delay_s: float) -> Outcome:
        """Stop an entry, send a request ``delay_s`` later, restart it."""
        name = f'alone-{delay_s}'
        entry = self.site.entries['one']
        with socket.create_connection(self.site.addresses['one']) as conn:
            conn.settimeout(ANSWER_WAIT_S)
            entry.send(signal.SIGTERM)
            gevent.sleep(delay_s)
            status = self.send_request(conn, name, b'1 0.01')
        entry.wait()
        self.site.start_entry('one')
        return Outcome(status, self.runs(name))
