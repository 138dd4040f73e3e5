"""Tests of which items wait, start or are given up under a catalog."""

import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.dispatch.catalog import (
    CallerLimits,
    Catalog,
    Route,
    RouteKind,
    ServiceShare,
)
from cactusridge.jobs.item_queue import ItemQueue
from cactusridge.jobs.item_run import ItemTask
from cactusridge.jobs.model import ItemState, JobHead, JobItem
from cactusridge.jobs.urgency import OnTimeFirst
from cactusridge.store.store_clock import StoreClock

ACCEPTED_UNDER = 5
NOW_MS = 1000
GIVE_UP_S = 60
ROUTE = Route(
    name='lots',
    host='h',
    prefix='/lots/',
    kind=RouteKind.batch,
    shares=(ServiceShare('model', 1),),
    timeout_s=5,
    target_latency_s=1,
    attempts=2,
    priority=0,
    resumable=False,
    due_s=18,
    abandon_after_s=GIVE_UP_S,
)


class FakeJob:
    """A held job with one pending item."""

    def __init__(self) -> None:
        """Create the pending item."""
        item = JobItem('i0', '/lots/0', {}, 'YQ==', 1)
        task = ItemTask(0, item, b'a', 'h')
        self.pending = {0: task}
        self.ends: list[ItemState] = []
        self.head = JobHead(
            'j',
            'h',
            '/lots/',
            1,
            NOW_MS,
            'one',
            'life',
            catalog_version=ACCEPTED_UNDER,
        )

    def record_end(self, task: ItemTask, state: ItemState) -> None:
        """Record the final state of the item."""
        self.ends.append(state)


class TestWaitingLine(unittest.TestCase):
    """Tests of the queue with older, equal and newer catalogs.

    An entry that takes over a job may know an older catalog than the entry
    that accepted the job.
    """

    @params(
        ('the route exists', ACCEPTED_UNDER, True, 0, 1, []),
        ('the route was removed', 6, False, 0, 0, [ItemState.given_up]),
        (
            'the route never existed',
            ACCEPTED_UNDER,
            False,
            0,
            0,
            [ItemState.given_up],
        ),
        ('the catalog is older than the job', 4, False, 0, 0, []),
        ('there is no catalog yet', 0, False, 0, 0, []),
        (
            'the item has expired',
            6,
            True,
            GIVE_UP_S + 4,
            0,
            [ItemState.given_up],
        ),
    )
    def test_item(self, what, version, listed, age_s, waiting, ends):
        """An item is given up only if a current catalog lacks its route."""
        routes = (ROUTE,) if listed else ()
        catalog = Catalog(version, routes, CallerLimits())
        store_clock = StoreClock(ManualClock())
        store_clock.note(NOW_MS + age_s * 1000)
        line = ItemQueue(
            ManualClock(),
            store_clock,
            lambda: catalog,
            OnTimeFirst(),
        )
        job = FakeJob()
        found = line.urgent_first([job])
        self.assertEqual((waiting, ends), (len(found), job.ends), what)
