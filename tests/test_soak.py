"""Short runs of the soak test, and its checks of keys and limits."""

import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from soak.organisation_checks import check_organisations
from soak.organisations import LIMITS, Organisations
from soak.record import Call, CallEnd, Record, RunStart
from soak.run import run
from soak.variants import Size
from tests.kept_logs import KeptLogsCase

SECONDS = 6
# Seed 8 draws planned maintenance only, which may not interrupt any request;
# seed 9 draws overlapping faults of all kinds. Seed 307 has organisations, and
# seed 820 has replicas that fall silent beside planned maintenance. In seed 903
# entries restart in a slow store and the routes of jobs change; in seed 1002
# servers answer with bytes without end, in seed 1100 with bytes of no answer,
# and in seed 1101 replicas change their versions while an entry is cut off.
SEEDS = (8, 9, 307, 820, 903, 1002, 1100, 1101)
UNSURE = b'{"error":{"code":"limit_unsure"}}'


class TestSoak(KeptLogsCase):
    """Entry processes run while faults are injected from outside."""

    @params(*SEEDS)
    def test_seed(self, seed):
        """No guarantee is violated during the faults or after them."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log_folder = Path(folder.name)
        record = run(seed, Size(SECONDS), self.log_folder)
        self.assertEqual([], record.violations)
        # A run without served requests or finished items would prove nothing.
        self.assertTrue(any(call.status == 200 for call in record.calls))
        self.assertTrue(any(job.listed_results for job in record.jobs.values()))


class TestOrganisationChecks(unittest.TestCase):
    """Runs and refusals that break a promise are found, and no others."""

    @params(
        ('greedy', 'greedy', 72, 0, b'', []),
        ('greedy', 'greedy', 73, 0, b'', ['limit']),
        ('greedy', 'greedy', 1, 0, UNSURE, []),
        ('steady-0', 'steady-0', 1, 0, UNSURE, ['within the limit']),
        ('steady-0', 'unlimited', 1, 0, b'', ['own organisation']),
        ('revoked', 'steady-1', 1, 4.9, b'', []),
        ('revoked', 'steady-1', 1, 5.1, b'', ['revoked key']),
    )
    def test_found(self, key, name, count, after_s, body, broken):
        """Runs 16 requests a second, from some time after a revocation."""
        record = Record()
        record.organisations = Organisations(LIMITS)
        record.organisations.owners['secret-revoked'] = 'steady-1'
        record.organisations.revoked_at['secret-revoked'] = 10
        record.calls.append(Call('first', 'safe', 'e', 0, 0, CallEnd.whole))
        for number in range(count):
            at = 10 + after_s + number / 16
            call = Call(f'{number}', 'safe', 'e', at, at, CallEnd.whole, 503)
            call = call._replace(body=body, key=f'secret-{key}')
            record.calls.append(call)
            run_start = RunStart(call.id, '/safe/x', 'life', at, name)
            record.run_starts.append(run_start)
        check_organisations(record)
        self.assertEqual(broken, [each.promise for each in record.violations])
