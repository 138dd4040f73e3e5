"""Planned stops and replacements of real processes."""

import time

import gevent
from openai import APIError

from tests import jobs_client
from tests.fleet_case import FleetCase

ITEMS = 192
STREAM_TOKENS = 60
# A refused connection counts as a failure only if the attempt took less than
# this many seconds. After a longer one, as on a busy machine, this process has
# used an outdated readiness response of an entry that has exited since.
READINESS_DELAY_S = 0.5
REFUSED = 'Connection refused'
UNREACHED = 'unreached'


class TestPlannedStop(FleetCase):
    """Every process is stopped in turn while requests are sent."""

    def test_rolling_restart_cuts_no_request(self):
        """No stream or item is lost while all processes are replaced."""
        self.stopping = False
        self.outcomes: list[str] = []
        loaders = [gevent.spawn(self.load, number) for number in range(6)]
        job = jobs_client.submit(
            self.client('entry-1'),
            [f'roll {number}' for number in range(ITEMS)],
            30,
        )
        for number in (0, 1):
            self.assertEqual(0, self.replace(f'sidecar-{number}', number))
        # A load balancer sends nothing to an entry that is not ready; here
        # the loaders select the other entry instead.
        for number in (0, 1):
            self.assertEqual(0, self.replace(f'entry-{number}', number))
        self.stopping = True
        gevent.joinall(loaders, raise_error=True)
        bad = [each for each in self.outcomes if each != 'whole']
        self.assertEqual([], bad)
        self.assertGreater(len(self.outcomes), 20)
        api = self.client('entry-0')
        jobs_client.wait_completed(api, job)
        counts = jobs_client.result_counts(api, job)
        self.assertEqual(jobs_client.once(ITEMS), counts)

    def replace(self, name: str, number: int) -> int:
        """Stop a process, start its successor; return the exit status."""
        status = self.fleet.processes[name].stop()
        if name.startswith('entry'):
            self.fleet.start_entry(number)
        else:
            self.fleet.start_sidecar(number)
        self.fleet.wait_ready()
        return status

    def load(self, number: int) -> None:
        """Stream one response after another from a ready entry."""
        while not self.stopping:
            name = self.ready_entry(number)
            requested_at = time.monotonic()
            outcome = self.stream(name)
            late = time.monotonic() - requested_at > READINESS_DELAY_S
            if outcome != UNREACHED or not late:
                self.outcomes.append(outcome)

    def ready_entry(self, number: int) -> str:
        """Return an entry whose readiness check succeeds."""
        names = ('entry-0', 'entry-1')
        for turn in range(1000):
            name = names[(number + turn) % 2]
            try:
                status = self.fleet.call(name, '/readyz', method='GET')[0]
            except OSError:
                status = 0
            if status == 200:
                return name
            gevent.sleep(0.02)
        return names[0]

    def stream(self, name: str) -> str:
        """Stream one response; return 'whole', UNREACHED or the error."""
        try:
            chunks = list(
                self.client(name).chat.completions.create(
                    model='yazman',
                    messages=[{'role': 'user', 'content': 'roll'}],
                    max_tokens=STREAM_TOKENS,
                    stream=True,
                ),
            )
        except APIError as exc:
            if REFUSED in str(exc.__cause__):
                return UNREACHED
            return f'{name}: {exc!r}'
        if len(chunks) == STREAM_TOKENS:
            return 'whole'
        return f'{name}: {len(chunks)} tokens'
