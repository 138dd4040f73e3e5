"""Batch items are recorded against the objectives of their service."""

import random

from nose2.tools import params

from cactusridge.batch.accounts import BatchAccounts
from cactusridge.batch.audit import audit_span
from cactusridge.batch.span import Span
from cactusridge.clock import ManualClock
from cactusridge.slo.window import GoodBadCounts
from standins.local_fleet import YAZMAN
from tests.rig_case import RigCase

ITEMS = 24


def lose(lines: list[bytes]) -> list[bytes]:
    """Return ``lines`` without the first one."""
    return lines[1:]


def double(lines: list[bytes]) -> list[bytes]:
    """Return ``lines`` with the first one twice."""
    return [lines[0], *lines]


def replace(lines: list[bytes]) -> list[bytes]:
    """Return ``lines`` with a foreign id in the first one."""
    return [lines[0].replace(b'"id-', b'"foreign-'), *lines[1:]]


def keep(lines: list[bytes]) -> list[bytes]:
    """Return ``lines`` unchanged."""
    return lines


class TestAccounts(RigCase):
    """Runs a job, then records and audits its stored results."""

    entries = 1

    def setUp(self):
        """Run a job until it is completed."""
        super().setUp()
        self.parts = self.rig.entries[0].subject.parts
        self.job = self.submit([f'a{number}' for number in range(ITEMS)])
        self.wait_state(self.job, 'completed')

    def closed(self) -> Span:
        """Return the closed span of the job, read from its row."""
        rows = self.rig.platform.table.rows
        return next(
            Span(**stored)
            for key, (stored, _) in rows.items()
            if key.startswith('done/')
        )

    def report(self) -> dict:
        """Return the objectives in the burn report."""
        self.parts.recorder.flush()
        path = f'/admin/burn?service={YAZMAN}&window=1h'
        answer = self.rig.call(self.rig.entries[0], path, method='GET')
        self.assertEqual(200, answer.status, answer)
        return answer.body['objectives']

    def test_due_met(self):
        """Items finished by their due time are good in the report."""
        found = self.report()['due_met']
        self.assertEqual((ITEMS, 0), (found['good'], found['bad']))

    @params((0, (ITEMS, 0)), (1e12, (ITEMS, ITEMS)))
    def test_due_missed(self, now, wanted):
        """Items committed after their due time are bad in the report."""
        span = self.closed()
        accounts = self.accounts(ManualClock(now))
        for result in span.results():
            accounts.committed(span, result)
        found = self.report()['due_met']
        good = ITEMS * 2 - wanted[1]
        self.assertEqual((good, wanted[1]), (found['good'], found['bad']))

    @params(
        (keep, (ITEMS, 0)),
        (lose, (ITEMS - 1, 1)),
        (double, (ITEMS - 1, 1)),
        (replace, (ITEMS - 2, 2)),
    )
    def test_audit(self, change, wanted):
        """Missing, doubled and foreign results in the output are bad."""
        span = self.closed()
        name = span.results()[0].name
        stored = self.rig.platform.objects
        lines = stored[name].splitlines(keepends=True)
        stored[name] = b''.join(change(lines))
        self.assertEqual(wanted, audit_span(self.parts.objects, span))

    @params(None, b'not JSON\n', b'{"custom_id": []}\n')
    def test_unreadable_results(self, raw):
        """Items whose result object is missing or unreadable are bad."""
        span = self.closed()
        result = span.results()[0]
        stored = self.rig.platform.objects
        stored.pop(result.name)
        if raw is not None:
            stored[result.name] = raw
        found = audit_span(self.parts.objects, span)
        self.assertGreaterEqual(found.bad, result.ok)

    def test_violation_is_reported(self):
        """One item without a result uses up the exactly-once budget."""
        span = self.closed()
        stored = self.rig.platform.objects
        stored[span.results()[0].name] = b''
        self.accounts(ManualClock()).closed(span)
        found = self.report()['exactly_once']
        self.assertGreater(found['bad'], 0)
        self.parts.recorder.record_exactly_once_items(
            YAZMAN, GoodBadCounts(1, 0)
        )
        path = f'/admin/burn?service={YAZMAN}'
        self.parts.recorder.flush()
        answer = self.rig.call(self.rig.entries[0], path, method='GET')
        whole = answer.body['objectives']['exactly_once']
        self.assertEqual(0, whole['budget_left'])

    def accounts(self, clock: ManualClock) -> BatchAccounts:
        """Return accounts that audit every span."""
        return BatchAccounts(
            self.parts.recorder,
            self.parts.objects,
            1,
            clock,
            random.Random(1),
        )
