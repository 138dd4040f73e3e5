"""The datagrams by which entries hand over limits and report outages."""

import unittest

import orjson

from cactusridge.clock import ManualClock
from cactusridge.organisations.common_outage import StoreReport
from cactusridge.organisations.limit_counter import LimitCounter
from cactusridge.organisations.limit_handover import MESSAGE_COUNTS
from cactusridge.organisations.limit_messages import (
    NOT_COUNTED,
    Candidate,
    Ceder,
    Declined,
    Handover,
    HeldCount,
    LimitRequest,
    LimitResponse,
)
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.organisations.organisation import RateLimit
from cactusridge.organisations.outage_watch import MAX_REPORTS
from cactusridge.peers.join_messages import JoinMessages
from cactusridge.peers.limit_handovers import LimitHandovers
from cactusridge.peers.limit_requests import (
    REQUEST_TOPIC,
    RESPONSE_TOPIC,
    LimitRequests,
)
from cactusridge.peers.outage_reports import OutageReports
from tests.sent_wire import Wire
from tests.store_time import store_clock_at

MOST_BYTES = 60_000
SENDER = Candidate('127.0.0.1:8', 5)
RECEIVER = Candidate('127.0.0.1:9', 6)
PEER = ('127.0.0.1', 8)
LIMIT = RateLimit(2, 3)


class JsonWire(Wire):
    """A Wire that encodes and decodes each message."""

    def __init__(self):
        """Start without messages."""
        super().__init__()
        self.largest = 0

    def send_to(self, target, topic, payload):
        """Store a message as its receiver decodes it."""
        raw = orjson.dumps({topic: payload})
        self.largest = max(self.largest, len(raw))
        self.sent.extend(orjson.loads(raw).items())

    def broadcast(self, topic, payload):
        """Store a message to all entries."""
        self.send_to(None, topic, payload)


class Recorder:
    """Records the calls of all its methods in place of LimitHandover."""

    own_name = RECEIVER.name

    def __init__(self):
        """Start without calls."""
        self.calls = []
        self.takeovers = self

    def __getattr__(self, name):
        """Return a method that records its arguments."""
        return lambda *args, **more: self.calls.append((name, args, more))


def handover(counts=1, name='o'):
    """Return a handover of that many organisations."""
    ceders = tuple(Ceder(SENDER, number) for number in range(3))
    held = tuple(
        HeldCount(f'{name}{number}', LIMIT, 7, 1.5, ceders)
        for number in range(counts)
    )
    return Handover(11, SENDER, RECEIVER, 99, stopping=True, counts=held)


class TestMessages(unittest.TestCase):
    """Messages between two entries."""

    def setUp(self):
        """Connect the receiving side to a recorder."""
        self.here = JsonWire()
        self.there = JsonWire()
        self.sent = LimitHandovers(self.here)
        self.recorder = Recorder()
        for wire in (self.here, self.there):
            LimitHandovers(wire).connect(self.recorder)
            JoinMessages(wire).connect(self.recorder)
        self.sent.connect(self.recorder)

    def test_decoded(self):
        """Each message is decoded to what was sent."""
        message = handover()
        self.sent.send_handover(message)
        self.sent.acknowledge(SENDER.name, 11, accepted=False)
        self.sent.ask(RECEIVER.name, SENDER, ['o'])
        reply = Declined('127.0.0.1:7', nobody=False)
        self.sent.decline(SENDER.name, ['o'], reply)
        self.sent.announce_stop(SENDER)
        self.here.pass_on(self.there)
        declined = (RECEIVER.name, ['o'], reply)
        self.assertEqual(
            [
                ('receive', (message,), {}),
                ('acknowledged', (11,), {'accepted': False}),
                ('receive_ask', (SENDER, ['o']), {}),
                ('declined', declined, {}),
                ('receive_stop', (SENDER,), {}),
            ],
            self.recorder.calls,
        )

    def test_joins(self):
        """Announcements and confirmations are decoded to what was sent."""
        joins = JoinMessages(self.here)
        joins.announce(RECEIVER.name, SENDER, counts=True)
        joins.confirm(SENDER, RECEIVER, counts=True)
        joins.confirm(SENDER, RECEIVER, counts=False)
        self.here.pass_on(self.there)
        confirmed_by = '127.0.0.1:9'
        self.assertEqual(
            [
                ('receive', (SENDER,), {'counts': True}),
                ('receive_confirmation', (confirmed_by, SENDER, RECEIVER), {}),
                ('receive_confirmation', (confirmed_by, SENDER, None), {}),
            ],
            self.recorder.calls,
        )

    def test_size(self):
        """The largest messages fit into a datagram."""
        self.sent.send_handover(handover(MESSAGE_COUNTS, 'o' * 64))
        entry = '255.255.255.255:65535'
        report = StoreReport(entry, 10**12, has_store=False)
        OutageReports(self.here).send(entry, [report] * MAX_REPORTS)
        self.assertLess(self.here.largest, MOST_BYTES)

    def test_unreadable(self):
        """Messages of another form raise what the exchange handles."""
        for topic, listener in self.there.listeners.items():
            for raw in (None, [], ['x'], [1, 2, 3, 4, 5, 6], {'a': 1}):
                with self.assertRaises((ValueError, TypeError), msg=topic):
                    listener(PEER, raw)


class MovedCounter(LimitCounter):
    """Counts nothing and names another entry."""

    def count(self, request):
        """Return the response of an entry that has handed over."""
        return NOT_COUNTED._replace(moved_to=RECEIVER.name)


class TestMoved(unittest.TestCase):
    """Responses of an entry that has handed over what it is asked for."""

    def setUp(self):
        """Connect an entry that has handed over."""
        clock = ManualClock()
        self.wire = JsonWire()
        owners = LimitOwners(
            SENDER.name, list, store_clock_at(clock), lambda: True, clock
        )
        counter = MovedCounter(owners, clock)
        self.requests = LimitRequests(self.wire, counter, owners)

    def test_previous_version(self):
        """An entry of the version before reads the response as always."""
        self.wire.listeners[REQUEST_TOPIC](
            PEER, [3, *LimitRequest('o', LIMIT, 1)]
        )
        responses = [
            payload
            for topic, payload in self.wire.sent
            if topic == RESPONSE_TOPIC
        ]
        self.assertEqual([[3, False, 0]], responses)

    def test_followed(self):
        """The entry that is named arrives before the response."""
        self.wire.listeners[REQUEST_TOPIC](
            PEER, [3, *LimitRequest('o', LIMIT, 1)]
        )
        found = []
        self.requests._pending[3] = self  # noqa: SLF001
        self.set = found.append
        self.wire.pass_on(self.wire)
        self.assertEqual(
            LimitResponse(counted=False, moved_to=RECEIVER.name), found[0]
        )
