"""Records when this process completed each step of its start."""

import enum
import time

from cactusridge import events, logs
from cactusridge.clock import BootClock, Clock


class StartStep(enum.StrEnum):
    """A step of a start; the values are prefixes of log fields."""

    imports = 'imports'
    listening = 'listening'
    settings = 'settings'
    replicas = 'replicas'
    members = 'members'
    ready = 'ready'
    answer = 'answer'
    # The steps until a job of an earlier process runs again.
    heads = 'heads'
    takeover = 'takeover'
    item = 'item'


SERVING_STEPS = (
    StartStep.imports,
    StartStep.listening,
    StartStep.settings,
    StartStep.replicas,
    StartStep.members,
    StartStep.ready,
    StartStep.answer,
)
JOB_STEPS = (
    StartStep.imports,
    StartStep.settings,
    StartStep.replicas,
    StartStep.members,
    StartStep.heads,
    StartStep.takeover,
    StartStep.item,
)


class StartTrace:
    """Logs the steps at the first answer and at the first resumed item.

    Steps overlap, so each is given as the seconds from the start of the
    process to its end.
    """

    def __init__(self, clock: Clock) -> None:
        """Measure with ``clock``, the clock of the host's boot time."""
        self._clock = clock
        self._started_at: float | None = None
        self._ends: dict[StartStep, float] = {}

    def begin(self, started_at: float) -> None:
        """Trace the process that started at ``started_at`` seconds.

        Without this call nothing is recorded.
        """
        self._started_at = started_at
        self._ends.clear()

    def mark(self, step: StartStep) -> None:
        """Record the first end of a step."""
        if self._started_at is None or step in self._ends:
            return
        if step == StartStep.item and StartStep.takeover not in self._ends:
            # The item belongs to a job that was submitted to this process.
            return
        self._ends[step] = self._clock.monotonic() - self._started_at
        if step == StartStep.answer:
            logs.emit(events.SERVING_STARTED, **self._fields(SERVING_STEPS))
        elif step == StartStep.item:
            logs.emit(events.JOBS_RESUMED, **self._fields(JOB_STEPS))

    def _fields(self, steps: tuple[StartStep, ...]) -> dict[str, float | None]:
        """Return the fields of a line; those of open steps are None."""
        ends = {
            f'{step}_s': round(self._ends[step], 3)
            if step in self._ends
            else None
            for step in steps
        }
        return {**ends, 'cpu_s': round(time.process_time(), 3)}


TRACE = StartTrace(BootClock())


def process_started_at(clock: Clock) -> float:
    """Return about when this process was started, by ``clock`` in seconds.

    What a process does before it calls this, its imports, takes about as long
    as the processor time that they use.
    """
    return clock.monotonic() - time.process_time()
