"""What the seeds of a soak draw: faults, configurations, routes of jobs."""

import itertools
import random
import time
import unittest

from nose2.tools import params

from soak.checks import check_always
from soak.configurations import (
    SECOND_SERVICE,
    TIMEOUTS_MS,
    Configurations,
)
from soak.early_jobs import EarlyJobs
from soak.job_routes import SUBMIT_PREFIX, JobRoutes
from soak.job_stamps import check_stamps
from soak.list_faults import EntrySpoiled, StrayEntry
from soak.organisations import LIMITS, QUOTAS, Limit, Organisations
from soak.record import Job, Record, RunStart
from soak.replica_faults import Reconfigure, Restart
from soak.schedule import BROKEN, FAULTS, PLANNED, schedule
from soak.silence_faults import Silent
from standins.machines.replica import MAIN_SERVICE
from standins.machines.site import ROUTES
from standins.machines.store import MachineStore

SECONDS = 20
STAMPED = 'dated by the store'
STEADY_NAMES = ('steady-0', 'steady-1', 'steady-2')
LATER_KINDS = frozenset((EntrySpoiled, StrayEntry, Restart))


def drawn_kinds(seeds):
    """Return the kinds of fault in the schedules of some seeds."""
    schedules = [schedule(seed, SECONDS) for seed in seeds]
    return {fault.kind for fault in itertools.chain(*schedules)}


class TestSchedule(unittest.TestCase):
    """Seeds kept as regression cases draw the same faults as before."""

    @params(1, 101)
    def test_before(self, first):
        """Seeds below 200 draw no faults of lists and no restarts."""
        self.assertFalse(LATER_KINDS & drawn_kinds(range(first, first + 99)))

    def test_all(self):
        """Seeds above 200 draw faults of lists and restarts."""
        self.assertLessEqual(LATER_KINDS, drawn_kinds(range(201, 231)))

    def test_planned(self):
        """A seed of planned maintenance draws no crash of a replica."""
        planned = {*PLANNED, EntrySpoiled, StrayEntry}
        self.assertEqual(planned, drawn_kinds(range(200, 240, 4)))

    def test_silences(self):
        """Seeds from 800 on draw silences, half of them beside planned work.

        Lower seeds draw none.
        """
        self.assertNotIn(Silent, drawn_kinds(range(1, 800)))
        self.assertEqual({*PLANNED, Silent}, drawn_kinds(range(800, 820, 2)))
        self.assertLess({*FAULTS, Silent}, drawn_kinds(range(801, 841, 2)))

    def test_broken(self):
        """Seeds from 1100 on draw broken answers; lower ones do not."""
        broken = set(BROKEN)
        self.assertFalse(broken & drawn_kinds(range(1, 1100)))
        self.assertLessEqual(broken, drawn_kinds(range(1100, 1120)))

    def test_early_jobs(self):
        """Seeds from 900 on restart entries in a slow store; lower ones not."""
        self.assertNotIn(EarlyJobs, drawn_kinds(range(1, 900)))
        self.assertEqual(
            {EarlyJobs, Reconfigure}, drawn_kinds(range(900, 930, 3))
        )
        self.assertLess({*FAULTS, EarlyJobs}, drawn_kinds(range(901, 961, 6)))


class TestJobRoutes(unittest.TestCase):
    """Configurations nest, split and rename the route of the jobs."""

    def test_drawn(self):
        """Jobs can be submitted under each, and most have other routes too."""
        routes = JobRoutes(random.Random(1), SECOND_SERVICE)
        drawn = [routes.routes(ROUTES[-1]) for _ in range(60)]
        for found in drawn:
            batch = [each for each in found if each['kind'] == 'batch']
            prefixes = [each['path_prefix'] for each in batch]
            self.assertTrue(any(map(SUBMIT_PREFIX.startswith, prefixes)))
        kinds = {each['kind'] for found in drawn for each in found}
        self.assertEqual({'batch', 'streaming'}, kinds)
        self.assertEqual({1, 2, 3}, set(map(len, drawn)))
        shown = {each['name'] for found in drawn for each in found}
        self.assertLess({'lots', 'below', 'short', 'part0'}, shown)

    @params((MAIN_SERVICE, []), (SECOND_SERVICE, ['service of the job']))
    def test_found(self, service, broken):
        """An item that runs at the service of another route is found."""
        record = Record()
        job = Job('j', ['2'])
        job.accepted_at = time.monotonic()
        record.jobs[job.id] = job
        started = RunStart('j-0', '/lots/0/j-0', 'life', 1, service=service)
        record.run_starts.append(started)
        check_always(record)
        self.assertEqual(broken, [each.promise for each in record.violations])


class TestStamps(unittest.TestCase):
    """A job that is dated by another clock than the store's is found."""

    @params((0, []), (-9000, [STAMPED]), (60_000, [STAMPED]))
    def test_found(self, late_ms, broken):
        """A stamp may be as late as the caller's last try."""
        record, store = Record(), MachineStore()
        job = Job('j', ['2'])
        job.sent_ms = 500_000
        record.jobs[job.id] = job
        head = {'created_ms': job.sent_ms + late_ms}
        store.put(('jobs', 's1', job.id), head)
        store.put(('members', '', job.id), {})
        check_stamps(record, store)
        self.assertEqual(broken, [each.promise for each in record.violations])


class TestConfigurations(unittest.TestCase):
    """What configurations change, and that lower seeds change nothing."""

    def test_unchanged(self):
        """Without a random generator routes and limits stay as they are."""
        configurations = Configurations()
        organisations = Organisations(LIMITS)
        before = organisations.holders()
        configurations.change_quota(organisations)
        self.assertEqual(list(ROUTES), configurations.routes(ROUTES))
        self.assertEqual(before, organisations.holders())

    def test_changed(self):
        """Time-outs, weights and quotas change, but not those of jobs."""
        configurations = Configurations(random.Random(1), split=True)
        organisations = Organisations(LIMITS)
        drawn = [configurations.routes(ROUTES) for _ in range(20)]
        online, jobs = (
            [routes[number] for routes in drawn] for number in (0, -1)
        )
        self.assertEqual([ROUTES[-1]] * len(drawn), jobs)
        self.assertEqual(
            set(TIMEOUTS_MS), {each['timeout_ms'] for each in online}
        )
        self.assertGreater(len({str(e['traffic_split']) for e in online}), 2)
        before = organisations.holders()
        configurations.change_quota(organisations)
        self.assertNotEqual(before, organisations.holders())

    def test_largest_quota(self):
        """The check knows the largest limit that an organisation has had."""
        organisations = Organisations(LIMITS)
        rng = random.Random(1)
        for _ in range(500):
            organisations.change_quota(rng)
        largest = Limit(*[QUOTAS[1]] * 2)
        self.assertEqual(
            dict(LIMITS) | dict.fromkeys(STEADY_NAMES, largest),
            organisations.limits,
        )
