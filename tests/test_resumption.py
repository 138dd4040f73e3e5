"""Tests when a stream may go on whose version is not known."""

import unittest
from types import SimpleNamespace

from nose2.tools import params

from cactusridge.dispatch.resumption import CannotResume, Resumption
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica, ReplicaState
from cactusridge.http.client import Address
from cactusridge.stream_origins.origin_records import OwnStreams

ADDRESS = Address('127.0.0.1', 1)


class TestUnknownVersion(unittest.TestCase):
    """Guards against streams joined from two versions after a start of all."""

    def setUp(self):
        """Create an entry that knows no stream, and a call that resumes one."""
        self.fleet = FleetView()
        self.resumption = Resumption(self.fleet, OwnStreams())
        share = SimpleNamespace(service='s', weight=1)
        self.call = SimpleNamespace(
            req=SimpleNamespace(resume_after='4', resumes='first'),
            route=SimpleNamespace(shares=[share]),
        )

    def put(self, service: str, version: str) -> None:
        """Add a replica."""
        ready = ReplicaState.ready
        replica = Replica('i', service, ADDRESS, 'z', 8, ready)
        self.fleet.put(replica._replace(version=version))

    @params((), ('s', 'v2'), ('other', ''), ('other', 'v2'))
    def test_refused(self, *replica):
        """It is refused, also while no replica of its service is listed.

        One of another version may be listed before the request is sent.
        """
        if replica:
            self.put(*replica)
        with self.assertRaises(CannotResume):
            self.resumption.origin_of(self.call)

    def test_no_versions(self):
        """It goes on where the replicas of its service state no version."""
        self.put('s', '')
        self.assertIsNone(self.resumption.origin_of(self.call))
