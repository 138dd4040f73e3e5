"""Real processes are stopped, frozen and killed."""

import signal

import gevent
from openai import APIError

from standins.local_fleet import YAZMAN
from standins.waiting import wait_for
from tests import jobs_client
from tests.fleet_case import FleetCase

ITEMS = 192
STREAM_TOKENS = 60


class TestPlannedStop(FleetCase):
    """Every process is stopped in turn under steady load."""

    def test_rolling_restart_cuts_no_request(self):
        """No stream fails while all processes are replaced."""
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
        # The balancer takes an entry out once it is not ready; here the
        # loaders do, by asking the other.
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
        """Stop a process, start its successor; return the status."""
        status = self.fleet.processes[name].stop()
        if name.startswith('entry'):
            self.fleet.start_entry(number)
        else:
            self.fleet.start_sidecar(number)
        self.fleet.wait_ready()
        return status

    def load(self, number: int) -> None:
        """Stream one answer after the other from a ready entry."""
        while not self.stopping:
            name = self.ready_entry(number)
            self.outcomes.append(self.stream(name))

    def ready_entry(self, number: int) -> str:
        """Return an entry whose readiness holds, as a balancer does."""
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
        """Stream one answer; tell how it ended."""
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
            return f'{name}: {exc!r}'
        if len(chunks) == STREAM_TOKENS:
            return 'whole'
        return f'{name}: {len(chunks)} tokens'


class TestPausedAndKilled(FleetCase):
    """Entries are frozen past their lease, or killed at once."""

    def holders(self, job: str) -> list[str]:
        """Return who holds spans of a job now, by the platform's table."""
        commits = self.fleet.call('platform', '/control/history', method='GET')
        holders = {}
        for commit in commits[1]['history']:
            for key, stored in commit['writes']:
                if key.startswith('spans/') and job in key:
                    holders[key] = stored and stored['holder']
        return [holder for holder in holders.values() if holder]

    def name_of(self, holder: str) -> str:
        """Return the process behind a holder's name."""
        address = holder.partition('~')[0]
        return next(
            name
            for name, found in self.fleet.addresses.items()
            if str(found) == address
        )

    def test_frozen_holder_comes_back(self):
        """Another finishes; the one that wakes adds nothing."""
        api = self.client('entry-0')
        texts = [f'freeze {number}' for number in range(ITEMS)]
        job = jobs_client.submit(api, texts, 60)
        holder = wait_for('a holder', lambda: self.holders(job))[0]
        frozen = self.name_of(holder)
        other = 'entry-1' if frozen == 'entry-0' else 'entry-0'
        self.fleet.processes[frozen].send(signal.SIGSTOP)
        jobs_client.wait_completed(self.client(other), job)
        begun = self.executions('freeze')
        self.fleet.processes[frozen].send(signal.SIGCONT)
        wait_for('awake', lambda: self.awake(frozen))
        gevent.sleep(2)
        self.assertEqual(begun, self.executions('freeze'))
        counts = jobs_client.result_counts(self.client(frozen), job)
        self.assertEqual(jobs_client.once(ITEMS), counts)

    def test_killed_right_after_acceptance(self):
        """SIGKILL after the answer; the other entry runs the job."""
        api = self.client('entry-0')
        texts = [f'kill {number}' for number in range(ITEMS)]
        job = jobs_client.submit(api, texts, 10)
        self.fleet.processes['entry-0'].kill()
        other = self.client('entry-1')
        jobs_client.wait_completed(other, job)
        counts = jobs_client.result_counts(other, job)
        self.assertEqual(jobs_client.once(ITEMS), counts)
        self.fleet.start_entry(0)
        self.fleet.wait_ready()

    def executions(self, text: str) -> int:
        """Return how many executions the engines began for ``text``."""
        total = 0
        for name in self.fleet.named('engine'):
            path = '/control/executions'
            found = self.fleet.call(name, path, method='GET')[1]
            total += sum(text in each['prompt'] for each in found['executions'])
        return total

    def awake(self, name: str) -> bool:
        """Tell whether a process answers."""
        found = self.fleet.call(name, '/livez', method='GET')
        return found[0] == 200 and YAZMAN.startswith('/teams')
