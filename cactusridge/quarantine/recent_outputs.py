"""The parts of prompts that have brought output lately."""

from collections import OrderedDict

from cactusridge.clock import Clock

# Seconds for which output speaks for the parts of its prompt: when all
# replicas crash at once, none is left to bring more.
RECENT_S = 2.0
# Limits how many parts are remembered; the one without output for longest is
# dropped first.
MAX_PARTS = 8192


class RecentOutputs:
    """When each part last brought output at this entry."""

    def __init__(self, clock: Clock) -> None:
        """Create an object without outputs."""
        self._clock = clock
        self._output_at: OrderedDict[str, float] = OrderedDict()

    def record(self, part: str) -> None:
        """Record output of a request with this part."""
        self._output_at[part] = self._clock.monotonic()
        self._output_at.move_to_end(part)
        if len(self._output_at) > MAX_PARTS:
            self._output_at.popitem(last=False)

    def is_recent(self, part: str) -> bool:
        """Return whether a part has brought output within RECENT_S."""
        output_at = self._output_at.get(part)
        if output_at is None:
            return False
        return self._clock.monotonic() - output_at < RECENT_S
