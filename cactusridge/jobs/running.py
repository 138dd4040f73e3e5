"""A run of a batch item that is under way."""

from typing import NamedTuple

import gevent

from cactusridge.fleet.replica import Replica
from cactusridge.jobs.held_job import HeldJob
from cactusridge.jobs.item_run import ItemTask


class Running(NamedTuple):
    """An item at a replica."""

    job: HeldJob
    task: ItemTask
    replica: Replica
    greenlet: gevent.Greenlet
    started_at: float
    events_before: int

    @property
    def events_made(self) -> int:
        """How many events this run has made so far."""
        return self.task.events - self.events_before
