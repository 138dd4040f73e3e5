"""To which entry the token of a request that has not run is returned."""

import contextlib
import unittest
from collections import deque
from unittest import mock

from cactusridge.clock import ManualClock
from cactusridge.organisations.directory import Directory, KeyOwner
from cactusridge.organisations.errors import LimitUnavailable
from cactusridge.organisations.key_check import KeyCheck, KeyHolder
from cactusridge.organisations.key_lease import KeyLease
from cactusridge.organisations.limit_messages import (
    NOT_COUNTED,
    LimitClient,
    LimitResponse,
)
from cactusridge.organisations.organisation import Organisation, RateLimit
from cactusridge.organisations.owner_limiter import OwnerLimiter
from cactusridge.organisations.permit import KeyPermit

ONE = Organisation('one', None, RateLimit(5, 5))
OWNER = 'owner:1'
BACKUP = 'backup:1'
COUNTED = LimitResponse(counted=True)
MOVED = NOT_COUNTED._replace(moved_to=BACKUP)


class ScriptedClient(LimitClient):
    """Other entries with given responses."""

    def __init__(self, *replies):
        """Give ``replies`` in turn, then none."""
        self.replies = deque(replies)
        self.returned = []

    def request(self, entry, request):
        """Return the next response."""
        return self.replies.popleft() if self.replies else None

    def has_exited(self, entry):
        """Return that the process may still be running."""
        return False

    def pause(self, length_s):
        """Return at once."""

    def return_token(self, entry, name):
        """Record the entry that gets a token back."""
        self.returned.append(entry)


class TestTokenReturn(unittest.TestCase):
    """Two requests of an organisation; the first one has not run."""

    def returned(self, *replies):
        """Return which entries get the token of the first request back."""
        clock = ManualClock()
        client = ScriptedClient(*replies)
        owners = mock.Mock()
        owners.ranked_entries.return_value = [OWNER, BACKUP]
        limiter = OwnerLimiter('own:1', owners, mock.Mock(), client, clock)
        lease = KeyLease(clock, 5)
        lease.renew(0)
        directory = Directory([KeyOwner(ONE, ('d1',))])
        permits = [
            KeyPermit(
                KeyHolder('d1', ONE),
                lambda: directory,
                KeyCheck(lease, bool),
                limiter,
                1,
            )
            for _ in range(2)
        ]
        for permit in permits:
            with contextlib.suppress(LimitUnavailable):
                permit.count()
        permits[0].undo_count()
        return client.returned

    def test_later_one_not_counted(self):
        """It went to the entry that the later request had asked last."""
        self.assertEqual([OWNER], self.returned(COUNTED))

    def test_later_one_counted_elsewhere(self):
        """It went to the entry that counted the later request."""
        replies = (COUNTED, MOVED, COUNTED)
        self.assertEqual([OWNER], self.returned(*replies))

    def test_moved(self):
        """The token goes to the entry that counted instead of the owner."""
        self.assertEqual([BACKUP], self.returned(MOVED, COUNTED))

    def test_not_counted(self):
        """A request that no entry counted has no token to return."""
        self.assertEqual([], self.returned())
