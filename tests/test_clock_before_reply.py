"""What an entry does between its start and the first reply of the store.

The store's clock and that of a host have different starts. Jobs that an entry
accepted in that time were stamped by the host's clock, and every entry took
them for older than any route allows, or for as new as to be kept for days.
"""

import unittest
from types import SimpleNamespace
from unittest import mock

import gevent
from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.dispatch.catalog import CallerLimits, Catalog
from cactusridge.errors import StoreUnavailable
from cactusridge.jobs.item_queue import ItemQueue
from cactusridge.jobs.janitor import Janitor
from cactusridge.jobs.job_admission import (
    FIRST_REPLY_RETRY_S,
    FIRST_REPLY_WAIT_S,
    PEER_RETRY_S,
    JobAdmission,
)
from cactusridge.jobs.membership_start import MembershipStart
from cactusridge.jobs.model import JobHead, JobState
from cactusridge.jobs.urgency import OnTimeFirst
from cactusridge.organisations.common_outage import CommonOutage, StoreReport
from cactusridge.organisations.join_confirmations import JoinConfirmations
from cactusridge.organisations.lease_state import LeaseState
from cactusridge.organisations.limit_handover import LimitHandover
from cactusridge.organisations.limit_holds import LimitHolds
from cactusridge.organisations.limit_messages import Candidate, Handover
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.organisations.outage_watch import OutageWatch
from cactusridge.store.store_clock import StoreClock, StoreTimeUnknown
from standins.memory_table import MemoryTable
from tests.test_outage_watch import MEMBERS, NAME, LostLease
from tests.test_waiting_line import ACCEPTED_UNDER, ROUTE, FakeJob

# What the store's clock shows when that of the host shows HOST_S: less or more.
HOST_S = 1_000_000
STORE_MS = (5000, 2_592_000_000)
SOON_S = 0.05
PEER = Candidate('127.0.0.1:9', 4000)


class FirstReplyCase(unittest.TestCase):
    """A store's clock that no reply has set yet."""

    def setUp(self):
        """Start a process on a host that runs for long."""
        self.clock = ManualClock(HOST_S)
        self.store_clock = StoreClock(self.clock)


class TestStoreClock(FirstReplyCase):
    """The store's time is not guessed."""

    @params(*STORE_MS)
    def test_first_reply(self, now_ms):
        """The time is known from the first reply on, ahead or behind."""
        self.assertFalse(self.store_clock.is_known)
        with self.assertRaises(StoreTimeUnknown):
            self.store_clock.now_ms()
        self.store_clock.note(now_ms)
        self.clock.advance(2)
        self.assertEqual(now_ms + 2000, self.store_clock.now_ms())

    def test_wait(self):
        """A wait ends with the first reply, and without one in time."""
        self.assertFalse(self.store_clock.wait_known(SOON_S))
        gevent.spawn_later(SOON_S, self.store_clock.note, 1)
        with gevent.Timeout(FIRST_REPLY_WAIT_S):
            self.assertTrue(self.store_clock.wait_known(FIRST_REPLY_WAIT_S))

    def test_membership(self):
        """No membership begins at a guessed time."""
        start = MembershipStart(self.store_clock)
        with self.assertRaises(StoreUnavailable):
            start.since_ms(MemoryTable(), 'members//one')


class TestJobs(FirstReplyCase):
    """Jobs are stamped, started, given up and removed by the store's time."""

    def setUp(self):
        """Create what decides about jobs."""
        super().setUp()
        self.lost = False
        self.intake = JobAdmission(
            lambda: self.lost, self.store_clock, self.clock
        )

    @params(*STORE_MS)
    def test_stamped_by_the_store(self, now_ms):
        """A submission waits for the first reply and gets its time."""
        gevent.spawn_later(SOON_S, self.store_clock.note, now_ms)
        self.assertEqual(now_ms, self.intake.submission_ms('job'))

    @params((None, FIRST_REPLY_RETRY_S), (True, PEER_RETRY_S))
    def test_refused(self, peer_has_store, retry_s):
        """Without a reply the caller is soon sent to where there is one."""
        if peer_has_store is not None:
            self.intake.record_peer_report(peer_has_store)
        with (
            gevent.Timeout(FIRST_REPLY_WAIT_S * 2),
            self.assertRaises(StoreTimeUnknown) as caught,
        ):
            self.intake.submission_ms('job')
        self.assertEqual(503, caught.exception.status)
        self.assertTrue(caught.exception.not_run)
        self.assertEqual(retry_s, caught.exception.retry_after_s)

    @params(*STORE_MS)
    def test_waits(self, now_ms):
        """An item is neither started nor given up before the first reply."""
        line = ItemQueue(
            self.clock,
            self.store_clock,
            lambda: Catalog(ACCEPTED_UNDER, (ROUTE,), CallerLimits()),
            OnTimeFirst(),
        )
        job = FakeJob()
        job.head = job.head._replace(created_ms=now_ms - 1000)
        self.assertEqual(([], []), (line.urgent_first([job]), job.ends))
        self.store_clock.note(now_ms)
        self.assertEqual(1, len(line.urgent_first([job])))
        self.assertEqual([], job.ends)

    @params(*STORE_MS)
    def test_kept(self, now_ms):
        """No job is removed before the first reply, and no young one then."""
        head = JobHead('j', 'h', '/lots/', 1, now_ms, state=JobState.closed)
        ledger = mock.Mock()
        janitor = Janitor(
            ledger,
            SimpleNamespace(all_heads=lambda: [head]),
            SimpleNamespace(rank=lambda head: 0),
            self.store_clock,
            keep_s=120,
        )
        janitor.remove_expired()
        self.store_clock.note(now_ms)
        janitor.remove_expired()
        ledger.remove.assert_not_called()
        self.clock.advance(200)
        janitor.remove_expired()
        ledger.remove.assert_called_once_with(head)


class TestLimits(FirstReplyCase):
    """Nobody counts, confirms or reports by a guessed time."""

    def setUp(self):
        """Create what decides about limits."""
        super().setUp()
        self.sent = []
        self.link = mock.Mock()
        self.outage = CommonOutage(self.store_clock.now_ms, self.clock)
        lease = LeaseState(LostLease(self.clock), self.outage)
        self.owners = LimitOwners(
            NAME, list, self.store_clock, lease.is_current, self.clock
        )
        holds = LimitHolds(self.owners)
        self.handover = LimitHandover(
            self.owners, holds, lease, self.link, self.clock
        )
        self.joins = JoinConfirmations(
            self.owners, lease, self.link, self.clock
        )
        self.watch = OutageWatch(
            NAME,
            self.outage,
            LostLease(self.clock),
            lambda: MEMBERS,
            self.store_clock,
            lambda entry, reports: self.sent.extend(reports),
        )

    @params(*STORE_MS)
    def test_reports(self, now_ms):
        """Reports have the store's time: another one never expires at peers."""
        self.clock.advance(10)
        self.watch.receive_status(MEMBERS[1], has_store=True)
        self.watch.receive(MEMBERS[2], [StoreReport(MEMBERS[2], now_ms, False)])
        self.watch.step()
        self.assertEqual([], self.sent)
        self.store_clock.note(now_ms)
        self.watch.step()
        self.assertEqual({now_ms}, {each.at_ms for each in self.sent})
        self.assertEqual([NAME], self.outage.lacking())

    def test_announcements(self):
        """An announcement is confirmed once it can be told when it is over."""
        self.joins.receive(PEER, counts=False)
        self.joins.receive_confirmation(PEER.name, PEER, PEER)
        self.assertFalse(self.owners.announced.has(PEER))
        self.link.confirm.assert_not_called()
        self.store_clock.note(5000)
        self.joins.receive(PEER, counts=False)
        self.assertTrue(self.owners.announced.has(PEER))
        self.link.confirm.assert_called_once()

    def test_owners(self):
        """Nothing is ranked, counted, handed over or taken over."""
        self.owners.update()
        self.owners.update_if_due()
        self.assertEqual([], self.owners.ranked_entries('o'))
        self.assertIsNone(self.owners.owned_s('o'))
        self.handover.receive(Handover(1, PEER, PEER, 9, False, ()))
        self.handover.run_due()
        self.handover.stop()
        self.link.acknowledge.assert_not_called()
