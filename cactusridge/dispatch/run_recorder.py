"""Records completed online requests in the estimates of capacity."""

from cactusridge.clock import Clock
from cactusridge.dispatch.capacity import CapacityEstimates, CompletedRun
from cactusridge.dispatch.online_call import OnlineCall, Progress
from cactusridge.dispatch.run import Run
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

    def plain(self, call: OnlineCall, run: Run, progress: Progress) -> None:
        """Record a request that is answered as a whole."""
        done = CompletedRun(
            run.replica,
            call.route.name,
            progress.expected.queue,
            run.elapsed_s(),
            self._clock.monotonic() - call.arrived_at,
        )
        self._capacity.record(done)

    def stream(self, call: OnlineCall, run: Run, output: StreamOutput) -> None:
        """Record a stream.

        The wait in the queue ends before the first event, so no queue is
        recorded.
        """
        lasted_s = output.lasted_s()
        done = CompletedRun(
            run.replica,
            call.route.name,
            0,
            lasted_s,
            output.since_head_s(),
            output.later_events,
            delayed=output.delayed_s > MAX_DELAYED_SHARE * lasted_s,
        )
        self._capacity.record(done)
