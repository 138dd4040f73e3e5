"""A test case with replicas that fall silent and one caller."""

import contextlib
import functools
import itertools
import json
import time
from http.client import HTTPException
from typing import Any

import gevent

from standins.machines.replica import MachineReplica
from standins.machines.site import ROUTES
from standins.machines.stream_caller import StreamCaller, StreamPart
from standins.waiting import wait_for
from tests.machine_case import MachineCase

EVENTS = 12
BODY = b'12 0.03'
# Event before which most streams fall silent, and so how many come before.
SILENT_AT = 5
# Longer than the entry waits before it looks for another replica.
SILENCE_S = 1.4
FOR_GOOD_S = 60
# A request may go on at another replica for so long while the replica before
# still works on it.
MAX_OVERLAP_S = 0.4
LEFT = 'left'
DECIDED = '"silence_decided"'
# Events of a request that keeps a slot, of 0.05 s each.
HOLDER = b'100 0.05'


class SilentCase(MachineCase):
    """A site whose replicas share one plan of silences."""

    entries = ('one', 'two')

    def setUp(self):
        """Create a caller; silences are planned later."""
        super().setUp()
        self.caller = StreamCaller(self.site.addresses.__getitem__)
        self._numbers = itertools.count()
        self.silent: list[MachineReplica] = []
        self.silent_at_s: list[float] = []

    def plan(self, silences: dict[int, float], action: Any = None) -> None:
        """Let the replica that comes to one of these events fall silent.

        ``action`` is called with the replica when the first silence begins.
        """

        def begin(replica: MachineReplica) -> None:
            self.silent.append(replica)
            self.silent_at_s.append(time.monotonic())
            if action is not None and len(self.silent) == 1:
                action(replica)

        shared = dict(silences)
        for replica in self.site.replicas:
            replica.silences.planned = shared
            replica.silences.on_begin = functools.partial(begin, replica)

    def others(self, replica: MachineReplica) -> list[int]:
        """Return the numbers of all replicas but ``replica``."""
        return [
            number
            for number, each in enumerate(self.site.replicas)
            if each is not replica
        ]

    def configure(self, holders: Any = None, **fields: Any) -> None:
        """Configure all routes with ``fields``; wait until it is in force."""
        self.site.configure([{**each, **fields} for each in ROUTES], holders)
        gevent.sleep(0.5)

    def use_versions(self, *versions: str) -> None:
        """Give the replicas these software versions."""
        for number, version in enumerate(versions):
            self.site.replicas[number].version = version
            self.site.restore_entry(number)
        gevent.sleep(0.5)

    def hold_slots(self, count: int) -> None:
        """Take ``count`` slots with streams that are not repeated."""
        for number in range(count):
            gevent.spawn(self._hold, f'hold{number}')
            wait_for('a slot is taken', lambda: self._running() > number)

    def stream(self, entry: str = 'one', **fields: Any) -> StreamPart:
        """Read a stream to its end."""
        self.last_id = f's{next(self._numbers)}'
        return self.caller.read(entry, self.last_id, BODY, **fields)

    def plain(self, target: str, entry: str = 'one') -> tuple[int, bytes]:
        """Send a request that is answered as a whole."""
        self.last_id = f'p{next(self._numbers)}'
        sent = {'X-Attempt-Id': self.last_id, 'X-Request-Deadline': '5000'}
        found = self.site.call(entry, 'POST', target, b'plain x', sent)
        return found[0], found[2]

    def check_whole(self, *parts: StreamPart) -> None:
        """Check that a stream is complete, with each event once."""
        events = [event for part in parts for event in part.events]
        numbers = [event.rpartition('e')[2] for event in events]
        wanted = [str(number) for number in range(1, EVENTS + 1)]
        self.assertEqual(wanted, numbers, parts)
        self.assertTrue(parts[-1].whole, parts)
        versions = {version for part in parts for version in part.versions()}
        marks = {each for each in versions if not each.startswith('e')}
        self.assertLessEqual(len(marks), 1, parts)
        self.assertTrue(self.silent_at_s, 'no replica fell silent')

    def check_decided(self, *wanted: str, entry: str = 'one') -> None:
        """Check what was decided on silences, from the log of an entry.

        The reason of a decision to leave a replica has LEFT before it.
        """
        wait_for(
            f'the decisions {wanted}',
            lambda: self._decisions(entry) == list(wanted),
        )

    def check_decided_once(self, *either: str) -> None:
        """Check that entry one has taken one decision, one of ``either``."""
        wait_for('a decision', lambda: self._decisions('one'))
        self.assertIn(self._decisions('one'), [[each] for each in either])

    def check_overlap(self, request_id: str) -> None:
        """Check that no two replicas worked on a request for too long."""
        spans = [
            (times_s[0], times_s[-1])
            for replica in self.site.replicas
            if (times_s := replica.work_times_s(request_id))
        ]
        for one, two in itertools.combinations(spans, 2):
            overlap_s = min(one[1], two[1]) - max(one[0], two[0])
            self.assertLessEqual(overlap_s, MAX_OVERLAP_S, spans)

    def _decisions(self, entry: str) -> list[str]:
        lines = (self.log_folder / f'{entry}.log').read_text().splitlines()
        logged = [json.loads(line) for line in lines if DECIDED in line]
        return [
            each['reason'] if each['kept'] else f'{LEFT} {each["reason"]}'
            for each in logged
        ]

    def _hold(self, request_id: str) -> None:
        sent = {'X-Attempt-Id': request_id, 'X-Request-Deadline': '9000'}
        with contextlib.suppress(HTTPException, OSError):
            self.site.call('one', 'POST', '/on/', HOLDER, sent)

    def _running(self) -> int:
        return sum(replica.running for replica in self.site.replicas)
