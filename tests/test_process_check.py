"""Tests of what a replica's answer about its process shows."""

import unittest

from nose2.tools import params

from cactusridge.clock import SystemClock
from cactusridge.fleet.replica import UNKNOWN_START, Replica, ReplicaState
from cactusridge.http.client import Address
from cactusridge.platform.connections import Connections
from cactusridge.platform.process_check import ProcessCheck
from cactusridge.platform.short_reply import MAX_BYTES
from standins.machines.broken_replica import (
    BrokenAnswer,
    BrokenReplica,
    Ending,
)

BORN = 5
OWN = b'{"born": 5, "running": 1}'


def answer(body: bytes, status: int = 200) -> bytes:
    """Return an answer with ``body``."""
    head = b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n'
    return (head % (status, len(body))) + body


class TestProcessCheck(unittest.TestCase):
    """A connection to a replica while no list has been read."""

    @params(
        (answer(OWN), BORN, True),
        (answer(b'{"born": 6}'), BORN, False),
        (answer(b'{}'), BORN, False),
        (answer(b'{"born": 0}'), UNKNOWN_START, False),
        (answer(b'{"born": "5"}'), BORN, False),
        (answer(b'[]'), BORN, False),
        (answer(b'noise'), BORN, False),
        (answer(OWN, 404), BORN, False),
        (answer(OWN, 421), BORN, False),
        (answer(OWN.ljust(MAX_BYTES + 1)), BORN, False),
        (answer(OWN)[:-1], BORN, False),
        (b'HTTP/1.1 000 X\r\n\r\n', BORN, False),
        (b'', BORN, False),
    )
    def test_confirm(self, raw, born, certain):
        """It is known if the process states the start that the list has."""
        broken = BrokenReplica()
        self.addCleanup(broken.stop)
        broken.answer = BrokenAnswer(raw, Ending.exit)
        address = Address(*broken.start())
        ready = ReplicaState.ready
        replica = Replica('i-1', 's', address, 'z', 8, ready, born)
        connections = Connections(SystemClock())
        sock = connections.connect(address)
        self.addCleanup(sock.close)
        check = ProcessCheck(connections)
        self.assertEqual(certain, check.confirm(replica, sock))
