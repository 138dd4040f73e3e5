"""The jobs that one process is accepting or starting."""

import contextlib
from collections import Counter
from collections.abc import Iterator


class JobStarts:
    """Lets a process start each job once at a time.

    Two starts of one job would make two holders of it in one process, each of
    which invalidates the commits of the other.
    """

    def __init__(self) -> None:
        """Begin without a job."""
        self._starting: set[str] = set()
        self._accepting: Counter[str] = Counter()

    def begin(self, job_id: str) -> bool:
        """Reserve the start of a job; return False if it is reserved.

        The caller has to run the start in ``until_started``.
        """
        if job_id in self._starting:
            return False
        self._starting.add(job_id)
        return True

    @contextlib.contextmanager
    def until_started(self, job_id: str) -> Iterator[None]:
        """End the start that ``begin`` has reserved after the block."""
        try:
            yield
        finally:
            self._starting.discard(job_id)

    @contextlib.contextmanager
    def while_accepting(self, job_id: str) -> Iterator[None]:
        """Mark a job as being stored during the block."""
        self._accepting[job_id] += 1
        try:
            yield
        finally:
            self._accepting[job_id] -= 1
            if not self._accepting[job_id]:
                self._accepting.pop(job_id)

    def is_accepting(self, job_id: str) -> bool:
        """Return whether a job is being stored and may start after that."""
        return job_id in self._accepting
