"""Tests the transactions of the stand-in for the machines' store."""

import json
import unittest
from http.client import HTTPConnection

import gevent

from cactusridge.http.server import Server
from standins.machines.store import MachineStore
from standins.ports import Ports

ROUNDS = 20
WRITERS = 4


class TestMachineStore(unittest.TestCase):
    """Concurrent writers get the versions of their own transactions."""

    def setUp(self):
        """Serve the stand-in."""
        self.store = MachineStore()
        ports = Ports()
        self.addCleanup(ports.close)
        self.address = ports.give()
        server = Server(self.address, self.store.app, 30)
        server.start()
        self.addCleanup(server.stop, 0)

    def write(self, key: str) -> list[bool]:
        """Write a row repeatedly; return whether each response was correct."""
        conn = HTTPConnection(*self.address, timeout=10)
        found = []
        for _ in range(ROUNDS):
            row = {'table': 't', 'part': '', 'key': key, 'value': 'MQ=='}
            message = {'expected_rev': [], 'writes': [row], 'remove': []}
            conn.request('POST', '/api/rows-tx', json.dumps(message))
            told = json.loads(conn.getresponse().read())['ver']
            found.append(told == self.store.rows['t', '', key].ver)
        conn.close()
        return found

    def test_version_of_a_transaction(self):
        """A response has the version of its write despite concurrent writes."""
        writers = [
            gevent.spawn(self.write, f'k{number}') for number in range(WRITERS)
        ]
        for writer in writers:
            self.assertEqual([True] * ROUNDS, writer.get())
