"""Requests in work at the time limit of a stop, on the own interface.

The failure: the connection ends without an answer, or an order that never
started counts as one that may have run.
"""

import contextlib
import socket
import unittest
from unittest import mock

import gevent
from gevent.server import StreamServer
from geventhttpclient.response import HTTPParseError

from cactusridge.clock import ManualClock, SystemClock
from cactusridge.core import SidecarRole
from cactusridge.dispatch.attempts import Attempts
from cactusridge.dispatch.online_call import Progress
from cactusridge.errors import OutcomeUnknown, StopLimit
from cactusridge.http import frames
from cactusridge.http.frames import FrameKind
from cactusridge.http.server import Server
from cactusridge.orders import RunOrder, WorkClass
from cactusridge.sidecar_dispatch.outcome_resolver import OutcomeResolver
from cactusridge.sidecar_dispatch.sidecar_client import SidecarClient
from cactusridge.startup.models import SidecarSettings
from standins.ports import Ports
from standins.waiting import wait_for
from tests.rig_case import RigCase
from tests.test_stop_serving import SECRET, SERVICE
from tests.waiting_calls import call_of

BOUND_S = 30
FOREVER_S = 60


def hang(sock: socket.socket, _: object) -> None:
    """Accept a request and never answer it."""
    with contextlib.closing(sock):
        gevent.sleep(FOREVER_S)


class TestEntryAtTheLimit(RigCase):
    """An entry is ended while an engine works."""

    # The engine may be slow to start on a busy machine.
    read_timeout_s = 20

    def end_in_work(self, **fields: object) -> gevent.Greenlet:
        """End an entry while a request of its is in work."""
        asked = gevent.spawn(
            self.rig.chat, 'long', 0, max_tokens=2000, **fields
        )
        engines = [each.subject for each in self.rig.engines]
        wait_for('work', lambda: any(each.batch.running for each in engines))
        gevent.sleep(0.5)
        served = self.rig.entries[0]
        served.server.draining = True
        served.server.end()
        asked.join()
        return asked

    def test_request_in_work(self):
        """It gets a failure that does not promise that it has not run."""
        answer = self.end_in_work().get()
        self.assertEqual(502, answer.status)
        error = answer.body['error']
        self.assertEqual(
            (StopLimit.code, None), (error['code'], error['not_run'])
        )

    def test_stream(self):
        """It ends visibly."""
        with self.assertRaises(HTTPParseError):
            self.end_in_work(stream=True).get()


class TestSidecarAtTheLimit(unittest.TestCase):
    """A sidecar is ended while an order runs and another one waits."""

    def setUp(self):
        """Start a sidecar of one slot beside an upstream that hangs."""
        ports = Ports()
        self.addCleanup(ports.close)
        self.address = ports.reserve()
        upstream = StreamServer(('127.0.0.1', 0), hang)
        upstream.start()
        self.addCleanup(upstream.stop, 0)
        self.cfg = SidecarSettings.from_values(
            listen=str(self.address),
            zone='z',
            internal_secret=SECRET,
            silence_timeout_s=BOUND_S,
            upstreams=[
                {
                    'service': SERVICE,
                    'address': f'127.0.0.1:{upstream.server_port}',
                    'slots': 1,
                }
            ],
        )
        self.role = SidecarRole(self.cfg, SystemClock())
        self.server = Server(self.address, self.role.application(), BOUND_S)
        self.server.start()
        self.addCleanup(self.server.stop, 0)

    def order(self, name: str) -> frames.Readable:
        """Send an order; return its reply."""
        order = RunOrder(
            id=name,
            incarnation=self.role._sidecar.incarnation,
            service=SERVICE,
            team='a',
            work=WorkClass.online,
            path='/',
            deadline_s=BOUND_S,
            repeatable=False,
        )
        return SidecarClient(self.cfg).run(self.address, order, b'1')

    def refusal(self, reply: frames.Readable) -> dict:
        """Return the error in the refusal that ends a reply."""
        while True:
            head = frames.read_frame(reply).head
            if head['kind'] == FrameKind.refusal:
                end = frames.read_frame(reply).head
                self.assertEqual(FrameKind.end, end['kind'])
                return head['error']

    def test_orders(self):
        """Each is refused in frames that say whether it has not run."""
        replies = [self.order('runs'), self.order('waits')]
        gevent.sleep(0.3)
        self.server.draining = True
        self.server.end()
        errors = [self.refusal(reply) for reply in replies]
        self.assertEqual(
            [('stop_limit', None), ('stop_limit', True)],
            [(error['code'], error['not_run']) for error in errors],
        )


class TestSentAtTheLimit(unittest.TestCase):
    """An attempt whose request is being sent at the limit."""

    def test_may_have_run(self):
        """A replica may run it before it has received the whole of it."""
        runner = mock.Mock()
        runner.open.side_effect = StopLimit()
        attempts = Attempts(
            mock.Mock(),
            mock.Mock(),
            runner,
            'z',
            ManualClock(),
            mock.Mock(),
            mock.Mock(),
        )
        progress = Progress()
        call = call_of('r', 5, mock.Mock())
        with (
            mock.patch.object(attempts, 'expect'),
            self.assertRaises(StopLimit),
        ):
            attempts.open(call, mock.Mock(), progress, call.req)
        self.assertEqual(1, progress.may_have_run)


class TestQueriedAtTheLimit(unittest.TestCase):
    """A sidecar is asked whether a lost order has run at the limit."""

    def test_request_goes_on_after_the_limit(self):
        """No other attempt follows, which the end would cut off."""
        client = mock.Mock()
        client.tombstone.side_effect = StopLimit()
        resolver = OutcomeResolver(client, ManualClock())
        order = mock.Mock(id='r', incarnation='i')
        with self.assertRaises(StopLimit):
            resolver.resolve(
                order, mock.Mock(), mock.Mock(), OutcomeUnknown(), 0
            )
