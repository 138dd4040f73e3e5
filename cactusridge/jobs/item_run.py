"""One item of a batch job, over as many runs as it takes."""

import enum
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.dispatch.event_splitter import EventSplitter
from cactusridge.dispatch.run import Run, Runner
from cactusridge.dispatch.upstream import UpstreamRequest
from cactusridge.errors import (
    CactusridgeError,
    CrossedReply,
    TruncatedReply,
)
from cactusridge.fleet.replica import Replica
from cactusridge.jobs.model import JobHead, JobItem
from cactusridge.peers.load import WorkKind
from cactusridge.quarantine.fingerprint import fingerprint_of

METHOD = 'POST'
OK = 200
UNPROCESSABLE = 422
SERVER_FAULT = 500
# Seconds without a byte after which a run goes on elsewhere: far over
# the wait of a full queue at a replica and the pauses of a full engine.
SILENCE_S = 3.0
# Time handed to a replica with a run, in seconds: an item that needs
# longer goes on from its last event in another run.
RUN_LIMIT_S = 60.0


class RunEnd(enum.Enum):
    """How one run of an item ended."""

    completed = 'completed'
    impossible = 'impossible'
    failed = 'failed'
    interrupted = 'interrupted'


class ItemTask:
    """An item and what there is of its output."""

    def __init__(
        self,
        index: int,
        item: JobItem,
        body: bytes,
        host: str,
        organisation: str = '',
    ) -> None:
        """Start with no output; ``body`` is the item's, decoded."""
        self.index = index
        self.item = item
        self.body = body
        self.fingerprint = fingerprint_of(
            organisation,
            METHOD,
            host,
            item.path,
            body,
        )
        self.failures = 0
        # The last run broke or fell silent: the next one goes out on a
        # new connection.
        self.interrupted = False
        self.texts: list[str] = []
        self.last_id: str | None = None
        # The event up to which the output is in the store.
        self.stored_id: str | None = None

    def restore(self, last_id: str, output: str) -> None:
        """Go on from what an earlier holder had."""
        self.texts = [output]
        self.last_id = last_id

    @property
    def events(self) -> int:
        """How many events of output there are; they are counted from 1."""
        return int(self.last_id or 0)

    def output(self) -> str:
        """Return the data of all events so far, a line each."""
        return '\n'.join(self.texts)


class ItemRun(NamedTuple):
    """Runs an item once at a replica."""

    task: ItemTask
    head: JobHead
    runner: Runner
    clock: Clock

    def go(self, replica: Replica) -> RunEnd:
        """Run from the last event on; never raises a typed failure."""
        end = self._run(replica)
        self.task.interrupted = end == RunEnd.interrupted
        return end

    def _run(self, replica: Replica) -> RunEnd:
        try:
            run = self.runner.open(
                replica,
                self._request(),
                WorkKind.batch,
                RUN_LIMIT_S,
                fresh=self.task.interrupted,
            )
        except CactusridgeError:
            return RunEnd.interrupted
        try:
            return self._read(run)
        except CactusridgeError:
            return RunEnd.interrupted
        finally:
            run.close()

    def _request(self) -> UpstreamRequest:
        item = self.task.item
        headers = [
            (name, text)
            for name, text in item.headers.items()
            if name.lower() != 'host'
        ]
        return UpstreamRequest(
            id=item.id,
            method=METHOD,
            target=item.path,
            headers=[('Host', self.head.host), *headers],
            body=self.task.body,
            fingerprint=self.task.fingerprint,
            resume_after=self.task.last_id,
            organisation=self.head.organisation,
        )

    def _read(self, run: Run) -> RunEnd:
        head = run.head(SILENCE_S)
        if head.status == UNPROCESSABLE and head.genuine:
            return RunEnd.impossible
        if head.status >= SERVER_FAULT:
            failed = head.status == SERVER_FAULT and head.genuine
            return RunEnd.failed if failed else RunEnd.interrupted
        if head.status != OK:
            return RunEnd.interrupted
        self._read_events(run)
        run.survived()
        return RunEnd.completed

    def _read_events(self, run: Run) -> None:
        splitter = EventSplitter(self.task.last_id)
        received = run.read(SILENCE_S)
        while received:
            for event in splitter.feed(received):
                run.note_output()
                self._take(event.id, event.payload)
            received = run.read(SILENCE_S)
        if splitter.pending:
            raise TruncatedReply('the stream ended within an event')

    def _take(self, event_id: str | None, payload: str) -> None:
        """Keep one event; it has to be the one after the last."""
        last = self.task.last_id
        if event_id is None:
            raise CrossedReply('an event without an id')
        if last is not None and int(event_id) != int(last) + 1:
            raise CrossedReply(f'event {event_id} after {last}')
        self.task.texts.append(payload)
        self.task.last_id = event_id
