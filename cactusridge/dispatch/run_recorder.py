"""Records completed online requests in the estimates of capacity."""

from cactusridge import metrics
from cactusridge.clock import Clock
from cactusridge.dispatch.capacity import CapacityEstimates, CompletedRun
from cactusridge.dispatch.online_call import OnlineCall, Progress
from cactusridge.dispatch.run import Run, is_success
from cactusridge.dispatch.stream_output import StreamOutput

# A stream whose caller delayed it for a larger share of its time is not taken
# as an observation of its replica.
MAX_DELAYED_SHARE = 0.1


class RunRecorder:
    """Records how long completed requests held their slots."""

    def __init__(self, capacity: CapacityEstimates, clock: Clock) -> None:
        """Record in ``capacity`` with the times of ``clock``."""
        self._capacity = capacity
        self._clock = clock

    def plain(
        self, call: OnlineCall, run: Run, progress: Progress, status: int
    ) -> None:
        """Record a request that is answered as a whole with ``status``.

        A replica that only answers errors, fast, must not look like a fast one.
        """
        elapsed_s = run.elapsed_s()
        work_s = self._capacity.slot_s(run.replica, call.route)
        if is_success(status):
            _observe_wait(run, progress, max(0, elapsed_s - work_s))
        done = CompletedRun(
            run.replica,
            call.route.name,
            progress.expected.queue,
            elapsed_s,
            self._clock.monotonic() - call.arrived_at,
            is_work=is_success(status),
        )
        self._capacity.record(done)

    def stream(
        self,
        call: OnlineCall,
        run: Run,
        progress: Progress,
        output: StreamOutput,
    ) -> None:
        """Record a stream.

        The wait in the queue ends before the first event, so no queue is
        recorded.
        """
        lasted_s = output.lasted_s()
        _observe_wait(run, progress, run.elapsed_s() - lasted_s)
        done = CompletedRun(
            run.replica,
            call.route.name,
            0,
            lasted_s,
            output.since_head_s(),
            output.later_events,
            is_work=output.delayed_s <= MAX_DELAYED_SHARE * lasted_s,
        )
        self._capacity.record(done)


def _observe_wait(run: Run, progress: Progress, wait_s: float) -> None:
    """Record by how much a wait was longer than expected."""
    error_s = wait_s - progress.expected.wait_s
    metrics.WAIT_ERROR.observe({'service': run.replica.service}, error_s)
