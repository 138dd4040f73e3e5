"""Connections with file descriptors above 1,024 are served correctly."""

import contextlib
import gc
import os
import resource
import unittest

import gevent

from cactusridge import descriptors
from tests.rig_case import RigCase

# ``select`` fails for descriptors from this number on; ``poll`` and ``epoll``
# do not.
SELECT_LIMIT = 1024
CALLS = 20


class TestManyConnections(RigCase):
    """More than 1,024 descriptors are in use before the first call."""

    def setUp(self):
        """Occupy the low descriptors."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        wanted = min(hard, max(soft, SELECT_LIMIT * 4))
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
        # Sockets that earlier tests left open would otherwise be collected
        # later and free low descriptors during the test.
        gc.collect()
        with contextlib.ExitStack() as opened:
            for _ in range(SELECT_LIMIT):
                opened.callback(os.close, os.dup(1))
            self.addCleanup(opened.pop_all().close)
        super().setUp()

    def test_callers_are_not_taken_for_gone(self):
        """A caller on a high descriptor is not treated as disconnected."""
        sent = [
            gevent.spawn(self.rig.chat, f'own {n}', n % 2, max_tokens=40)
            for n in range(CALLS)
        ]
        gevent.joinall(sent, raise_error=True)
        answers = [each.value for each in sent]
        self.assertEqual({200}, {each.status for each in answers}, answers)
        self.assertEqual(CALLS, len(self.rig.executions('own')))

    def test_connections_are_used_again(self):
        """Successive calls go over the same connection to a replica."""
        link = self.rig.links(self.rig.engines[0].address)[0]
        self.rig.leave_only(0)
        self.rig.chat('first')
        opened = link.accepted_count
        answers = [self.rig.chat(f'own {n}') for n in range(CALLS)]
        self.assertEqual({200}, {each.status for each in answers}, answers)
        self.assertEqual(opened, link.accepted_count)


class TestDescriptors(unittest.TestCase):
    """A process may open as many descriptors as the system permits."""

    def test_limit_is_raised(self):
        """``allow_many`` raises a low soft limit to the hard limit."""
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, limits)
        low = (SELECT_LIMIT, limits[1])
        resource.setrlimit(resource.RLIMIT_NOFILE, low)
        self.assertEqual(limits[1], descriptors.allow_many())
        found = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.assertEqual((limits[1], limits[1]), found)
