"""The replica of the soak: its output names the request it is for."""

import math
import time
from typing import Any

import gevent

from cactusridge.http.exchange import HEADERS_KEY, TARGET_KEY
from soak.record import Began, Record
from standins.machines.replica import MachineReplica

HANG_S = 30
# So begin the ids of entries on the list that no replica has written.
STRAY = 'stray-'


class SoakReplica(MachineReplica):
    """Notes each run; ``grey`` is the share of requests that it fails."""

    def __init__(self, replica_id: str, slots: int, record: Record) -> None:
        """Note runs in ``record``."""
        super().__init__(replica_id, slots)
        self.grey = float(0)
        self.grey_how = 'errors'
        self.slow_x = float(1)
        self._record = record
        self._count = 0

    def __call__(self, environ: dict[str, Any], start: Any) -> Any:
        """Serve one request, as WSGI has it."""
        headers = dict(environ[HEADERS_KEY])
        request_id = headers.get('X-Attempt-Id', '')
        expected = headers.get('X-Expect-Instance', '')
        if expected == self.id:
            now = time.monotonic()
            began = Began(request_id, environ[TARGET_KEY], self.life, now)
            self._record.began.append(began)
        if expected.startswith(STRAY):
            text = f'{request_id} was sent to {expected}'
            self._record.broke('unreadable names none', text)
        return super().__call__(environ, start)

    @property
    def life(self) -> str:
        """Return what tells this life from others, of its id too."""
        return f'{self.id} born {self.born}'

    def text(self, request_id: str, number: int) -> str:
        """Return the data of an event."""
        return f'{request_id}.{number}'

    def plain(self, request_id: str, body: bytes) -> bytes:
        """Return the body of a plain answer."""
        return f'{request_id} '.encode() + body

    def failing(self, request_id: str, body: bytes) -> str | None:
        """Return the status of a run that fails, if this one does."""
        status = super().failing(request_id, body)
        self._count += 1
        # Spread evenly, so that a seed says which requests fail.
        grey = math.modf(self._count * self.grey)[0] + self.grey >= 1
        if status is None and grey:
            if self.grey_how == 'hang':
                # Whoever asked has long left when the answer comes.
                gevent.sleep(HANG_S)
                return '500 Failed'
            status = '500 Failed'
        if status is not None and status.startswith('500'):
            self._record.failed_runs[request_id] += 1
        return status

    def step_s(self, requested_s: float) -> float:
        """Return how long an event takes, in seconds."""
        return requested_s * self.slow_x
