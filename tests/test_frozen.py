"""Real processes are frozen and come back."""

import gevent
from nose2.tools import params
from openai import APIError

from standins.local_fleet import ADMIN, YAZMAN
from standins.waiting import wait_for
from tests import jobs_client
from tests.fleet_case import PLAN, FleetCase

ITEMS = 192
STREAM_TOKENS = 120
AWAKE_S = 2


class TestFrozenHolder(FleetCase):
    """An entry is frozen past its lease; one engine checks fencing."""

    plan = PLAN._replace(fencing_engines=(0,))

    def run_frozen(self, text: str) -> None:
        """Freeze the holder until another has finished; check."""
        texts = [f'{text} {number}' for number in range(ITEMS)]
        job = jobs_client.submit(self.client('entry-0'), texts, 60)
        frozen = self.holder(job)
        other = self.client(self.other(frozen))
        self.freeze(frozen)
        jobs_client.wait_completed(other, job)
        begun = self.executions(text)
        self.thaw(frozen)
        gevent.sleep(AWAKE_S)
        self.assertEqual(begun, self.executions(text))
        counts = jobs_client.result_counts(self.client(frozen), job)
        self.assertEqual(jobs_client.once(ITEMS), counts)

    def test_comes_back(self):
        """Another finishes; the one that wakes adds nothing."""
        self.run_frozen('freeze')

    def test_job_cancelled_meanwhile(self):
        """The job stops; what was finished stays; nothing more begins."""
        texts = [f'cancel {number}' for number in range(ITEMS)]
        job = jobs_client.submit(self.client('entry-0'), texts, 120)
        frozen = self.holder(job)
        wait_for('a result', lambda: self.finished(job))
        self.freeze(frozen)
        api = self.client(self.other(frozen))
        api.batches.cancel(job)
        wait_for('cancelled', lambda: self.is_cancelled(job, api))
        finished = jobs_client.result_counts(api, job)
        begun = self.executions('cancel')
        self.thaw(frozen)
        gevent.sleep(AWAKE_S)
        self.assertEqual(begun, self.executions('cancel'))
        found = jobs_client.result_counts(self.client(frozen), job)
        self.assertEqual(finished, found)
        self.assertGreater(len(found), 0)
        self.assertLess(len(found), ITEMS)

    def finished(self, job: str) -> int:
        """Return how many items of a job are done."""
        api = self.client('entry-0')
        return api.batches.retrieve(job).request_counts.completed

    def is_cancelled(self, job: str, api: object) -> bool:
        """Tell whether a job has come to its end, cancelled."""
        return api.batches.retrieve(job).status == 'cancelled'


class TestFrozenMeanwhile(FleetCase):
    """A process is frozen while the others go on."""

    @params('entry-1', 'sidecar-0')
    def test_settings_change(self, name):
        """What was accepted meanwhile is in force once it is back."""
        url = f'/admin/settings{YAZMAN}'
        call = self.fleet.call
        old = call('entry-0', url, None, ADMIN, 'GET')[1]
        self.freeze(name)
        message = {
            'raw': {**old['raw'], 'batch_share': 0.5},
            'if_version': old['version'],
        }
        status, changed = call('entry-0', url, message, ADMIN, 'PUT')
        self.assertEqual(200, status, changed)
        self.thaw(name)
        wait_for('in force', lambda: not self.behind(changed['version']))

    def behind(self, version: int) -> list[str]:
        """Return which processes lack a version of the settings."""
        told = self.fleet.call('entry-0', '/admin/status', None, ADMIN, 'GET')
        known = {**told[1]['entries'], **told[1]['sidecars']}
        return [
            name
            for name, host in known.items()
            if host.get('version', 0) < version
        ]

    def test_streams_under_way(self):
        """An entry that was paused takes its streams up again."""
        streams = [gevent.spawn(self.stream) for _ in range(4)]
        wait_for('streams', lambda: self.executions('paused') == len(streams))
        self.freeze('entry-0')
        gevent.sleep(AWAKE_S + 1)
        self.thaw('entry-0')
        gevent.joinall(streams, raise_error=True)
        found = [each.value for each in streams]
        self.assertEqual({STREAM_TOKENS}, set(found), found)

    def stream(self) -> int:
        """Return the number of tokens of a stream; 0 when it broke."""
        try:
            return len(
                list(
                    self.client('entry-0').chat.completions.create(
                        model='yazman',
                        messages=[{'role': 'user', 'content': 'paused'}],
                        max_tokens=STREAM_TOKENS,
                        stream=True,
                    ),
                ),
            )
        except APIError:
            return 0
