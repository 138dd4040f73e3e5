"""Connections are served alike however many are open."""

import contextlib
import gc
import os
import resource
import unittest

import gevent

from cactusridge import descriptors
from tests.rig_case import RigCase

# ``select`` fails from here on; ``poll`` and ``epoll`` do not.
SELECT_LIMIT = 1024
CALLS = 20


class TestManyConnections(RigCase):
    """Over a thousand descriptors are in use before the first call."""

    def setUp(self):
        """Use up the low descriptors."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        wanted = min(hard, max(soft, SELECT_LIMIT * 4))
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
        # What earlier tests left open would free low descriptors later.
        gc.collect()
        with contextlib.ExitStack() as opened:
            for _ in range(SELECT_LIMIT):
                opened.callback(os.close, os.dup(1))
            self.addCleanup(opened.pop_all().close)
        super().setUp()

    def test_callers_are_not_taken_for_gone(self):
        """Every caller on a high descriptor gets its answer."""
        sent = [
            gevent.spawn(self.rig.chat, f'own {n}', n % 2, max_tokens=40)
            for n in range(CALLS)
        ]
        gevent.joinall(sent, raise_error=True)
        answers = [each.value for each in sent]
        self.assertEqual({200}, {each.status for each in answers}, answers)
        self.assertEqual(CALLS, len(self.rig.executions('own')))

    def test_connections_are_used_again(self):
        """One call after another goes over the same connection."""
        link = self.rig.links(self.rig.engines[0].address)[0]
        self.rig.leave_only(0)
        self.rig.chat('first')
        opened = link.accepted_count
        answers = [self.rig.chat(f'own {n}') for n in range(CALLS)]
        self.assertEqual({200}, {each.status for each in answers}, answers)
        self.assertEqual(opened, link.accepted_count)


class TestDescriptors(unittest.TestCase):
    """A process may open as much as the system lets it."""

    def test_limit_is_raised(self):
        """A low limit is raised to the hard one."""
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, limits)
        low = (SELECT_LIMIT, limits[1])
        resource.setrlimit(resource.RLIMIT_NOFILE, low)
        self.assertEqual(limits[1], descriptors.allow_many())
        found = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.assertEqual((limits[1], limits[1]), found)
