"""The record of a batch item in flight."""

from typing import NamedTuple

import gevent

from cactusridge.fleet.replica import Replica
from cactusridge.jobs.held_job import HeldJob
from cactusridge.jobs.item_run import ItemTask


class RunningItem(NamedTuple):
    """A batch item in flight at a replica.

    ``started_at`` is in seconds of the monotonic clock. ``events_before``
    is the number of output events from earlier runs of the item.
    """

    job: HeldJob
    task: ItemTask
    replica: Replica
    greenlet: gevent.Greenlet
    started_at: float
    events_before: int

    @property
    def events_made(self) -> int:
        """Number of output events received in this run so far."""
        return self.task.events - self.events_before
