"""The log line of a request that is refused because of its expected wait."""

import unittest
from types import SimpleNamespace
from unittest import mock

from cactusridge import logs
from cactusridge.clock import ManualClock
from cactusridge.dispatch.online_call import Progress
from cactusridge.dispatch.online_log import OnlineLog
from cactusridge.dispatch.wait_too_long import WaitEstimate, WaitTooLong
from cactusridge.errors import NoReplica

ESTIMATE = WaitEstimate('i-1', 3, 8, 0.7512, 0.28171, 1.2345)
CALL = SimpleNamespace(
    req=SimpleNamespace(id='r1', organisation='press'),
    route=SimpleNamespace(name='drafts', priority=2),
    arrived_at=9.0,
    deadline_at=14.0,
)


def logged(exc):
    """Return the fields of the line that is written for ``exc``."""
    with mock.patch.object(logs, 'emit') as emit:
        OnlineLog(None, ManualClock(10)).failure(CALL, Progress(), exc)
    return emit.call_args.kwargs


class TestRefusalLine(unittest.TestCase):
    """An operator can see from one line why a caller was refused."""

    def test_inputs(self):
        """The line has every input of the estimate, and the organisation.

        Without them the log cannot show whether a wait was really expected
        or the estimate was wrong.
        """
        found = logged(WaitTooLong(ESTIMATE, 0.5))
        self.assertEqual('overloaded', found['cause'])
        wanted = {
            'replica': 'i-1',
            'queue': 3,
            'slots': 8,
            'slot_s': 0.751,
            'wait_s': 0.282,
            'loads_age_s': 1.234,
            'organisation': 'press',
            'priority': 2,
        }
        self.assertEqual(wanted, {name: found[name] for name in wanted})

    def test_other_failures(self):
        """A refusal for another reason has no estimate."""
        self.assertNotIn('slot_s', logged(NoReplica()))
