"""The store simulator of the machines returns its own versions."""

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
    """Each reply has the version of its own transaction."""

    def setUp(self):
        """Serve a store."""
        self.store = MachineStore()
        ports = Ports()
        self.addCleanup(ports.close)
        self.address = ports.reserve()
        server = Server(self.address, self.store.app, 30)
        server.start()
        self.addCleanup(server.stop, 0)

    def write(self, key: str) -> list[bool]:
        """Write a row repeatedly; return whether each version was right."""
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
        """A write's reply has its own version despite concurrent writes."""
        writers = [
            gevent.spawn(self.write, f'k{number}') for number in range(WRITERS)
        ]
        for writer in writers:
            self.assertEqual([True] * ROUNDS, writer.get())
