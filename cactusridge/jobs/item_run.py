"""Runs an item of a batch job, resuming its output over several runs."""

import enum
from typing import NamedTuple

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.dispatch.event_splitter import (
    EventSplitter,
    EventTooLong,
    StreamEvent,
)
from cactusridge.dispatch.run import Run, Runner
from cactusridge.dispatch.upstream import UpstreamRequest
from cactusridge.errors import (
    CactusridgeError,
    CrossedReply,
    TruncatedReply,
)
from cactusridge.fleet.replica import Replica
from cactusridge.fleet.stream_origin import UNKNOWN_ORIGIN, StreamOrigin
from cactusridge.jobs.model import JobHead, JobItem
from cactusridge.peers.load import WorkKind
from cactusridge.quarantine.fingerprint import fingerprint_of

METHOD = 'POST'
OK = 200
UNPROCESSABLE = 422
SERVER_FAULT = 500
# Read timeout of a run in seconds, after which the item is resumed in another
# run. It is far longer than the wait in a full queue of a replica and the
# pauses of a fully loaded engine.
READ_TIMEOUT_S = 3.0
# Deadline of one run in seconds, which is sent to the replica. An item that
# takes longer is resumed after its last event in another run.
RUN_DEADLINE_S = 60.0
# Longest output of an item, in characters.
MAX_OUTPUT_CHARS = 16_777_216


class RunOutcome(enum.Enum):
    """Outcome of one run of an item.

    ``completed`` is a whole output, ``impossible`` a genuine 422 of the
    upstream and ``failed`` a genuine 500. After ``interrupted`` the item
    is resumed, and the run does not count as a failure of the item.
    """

    completed = 'completed'
    impossible = 'impossible'
    failed = 'failed'
    interrupted = 'interrupted'


class ItemTask:
    """An item of a held job and its output so far."""

    def __init__(
        self,
        index: int,
        item: JobItem,
        body: bytes,
        host: str,
        organisation: str = '',
    ) -> None:
        """Start with no output; ``body`` is the decoded body of the item."""
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
        # Keys of the parts of the prompt that other requests share; None until
        # they have been read from the headers.
        self.parts: tuple[str, ...] | None = None
        self.failures = 0
        self.event_data: list[str] = []
        self.last_id: str | None = None
        # The replicas at which the output may go on.
        self.origin = UNKNOWN_ORIGIN
        # Monotonic time in seconds since which the item waits for a replica.
        self.waiting_since = float(0)
        # Monotonic time in seconds before which the item does not start.
        self.not_before = float(0)
        # Id of the replica where the last run was interrupted, if it was.
        self.interrupted_at: str | None = None
        # Id of the last event in the stored checkpoint.
        self.checkpoint_id: str | None = None

    def restore(self, last_id: str, output: str, origin: StreamOrigin) -> None:
        """Restore the output from the checkpoint of an earlier holder."""
        self.event_data = [output]
        self.last_id = last_id
        self.origin = origin

    def start_over(self) -> None:
        """Discard the output, which cannot be continued any more."""
        self.event_data = []
        self.last_id = None

    @property
    def events(self) -> int:
        """Number of output events so far; event ids count from 1."""
        return int(self.last_id or 0)

    def output(self) -> str:
        """Return the data of all events so far, one line per event."""
        return '\n'.join(self.event_data)


class ItemRun(NamedTuple):
    """One run of an item at a replica."""

    task: ItemTask
    head: JobHead
    runner: Runner
    clock: Clock

    def execute(self, replica: Replica) -> RunOutcome:
        """Run the item from its last event on and return the outcome.

        Errors are not raised but returned as ``interrupted``, so that the
        item does not start again at once; those that are no CactusridgeError
        are logged.
        """
        try:
            end = self._run(replica)
        except Exception as exc:
            logs.emit(
                events.TASK_FAILED, error=repr(exc), item=self.task.item.id
            )
            end = RunOutcome.interrupted
        interrupted = end == RunOutcome.interrupted
        self.task.interrupted_at = replica.id if interrupted else None
        return end

    def _run(self, replica: Replica) -> RunOutcome:
        try:
            run = self.runner.open(
                replica,
                self._request(),
                WorkKind.batch,
                RUN_DEADLINE_S,
                new_connection=self.task.interrupted_at is not None,
            )
        except CactusridgeError:
            return RunOutcome.interrupted
        try:
            return self._read(run)
        except CactusridgeError:
            return RunOutcome.interrupted
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
            parts=self.task.parts or (),
        )

    def _read(self, run: Run) -> RunOutcome:
        head = run.head(READ_TIMEOUT_S)
        if head.status == UNPROCESSABLE and head.signed:
            return RunOutcome.impossible
        if head.status >= SERVER_FAULT:
            failed = head.status == SERVER_FAULT and head.signed
            return RunOutcome.failed if failed else RunOutcome.interrupted
        if head.status != OK:
            return RunOutcome.interrupted
        self._read_events(run)
        run.record_completion()
        return RunOutcome.completed

    def _read_events(self, run: Run) -> None:
        splitter = EventSplitter(self.task.last_id)
        output_chars = sum(map(len, self.task.event_data))
        # One process runs it all, and a resumed item only where that is known.
        resumes = self.task.last_id is not None
        origin = self.task.origin if resumes else UNKNOWN_ORIGIN
        while received := run.read(READ_TIMEOUT_S):
            for event in self._events(run, splitter, received):
                run.record_output()
                payload = event.payload
                self._append_event(event.id, payload)
                output_chars += len(payload)
                origin = run.origin() if origin == UNKNOWN_ORIGIN else origin
                self.task.origin = origin
            self._check_bounds(run, output_chars)
        if splitter.pending:
            raise TruncatedReply('the stream ended in the middle of an event')

    def _events(
        self, run: Run, splitter: EventSplitter, received: bytes
    ) -> list[StreamEvent]:
        try:
            return splitter.feed(received)
        except EventTooLong:
            run.record_failure()
            raise

    def _check_bounds(self, run: Run, output_chars: int) -> None:
        """Raise TruncatedReply if the run or its output does not end.

        Output that is too long for any result is discarded.
        """
        if run.elapsed_s() > RUN_DEADLINE_S:
            raise TruncatedReply('the run has passed its deadline')
        if output_chars > MAX_OUTPUT_CHARS:
            self.task.start_over()
            run.record_failure()
            raise TruncatedReply('the output does not end')

    def _append_event(self, event_id: str | None, payload: str) -> None:
        """Append one event to the output.

        Raises CrossedReply if it does not follow the last event.
        """
        last = self.task.last_id
        if event_id is None:
            raise CrossedReply('the stream has an event without an id')
        if last is not None and int(event_id) != int(last) + 1:
            raise CrossedReply(f'event {event_id} does not follow event {last}')
        self.task.event_data.append(payload)
        self.task.last_id = event_id
