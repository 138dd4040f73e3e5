"""Real processes are suspended and resumed."""

import gevent
from nose2.tools import params
from openai import APIError

from standins.local_fleet import ADMIN, YAZMAN
from standins.waiting import wait_for
from tests import jobs_client
from tests.fleet_case import PLAN, FleetCase

ITEMS = 192
STREAM_TOKENS = 120
# How long a resumed process is observed, in seconds.
OBSERVED_S = 2


class TestFrozenHolder(FleetCase):
    """An entry is suspended past its lease; one engine checks fencing."""

    plan = PLAN._replace(fencing_engines=(0,))

    def check_suspended_holder(self, text: str) -> None:
        """Suspend a lease holder until the other entry has finished its job.

        After the resume no item may be executed again, and each item must
        have one result.
        """
        texts = [f'{text} {number}' for number in range(ITEMS)]
        job = jobs_client.submit(self.client('entry-0'), texts, 60)
        suspended = self.holder(job)
        other = self.client(self.other(suspended))
        self.suspend(suspended)
        jobs_client.wait_completed(other, job)
        begun = self.executions(text)
        self.resume(suspended)
        gevent.sleep(OBSERVED_S)
        self.assertEqual(begun, self.executions(text))
        counts = jobs_client.result_counts(self.client(suspended), job)
        self.assertEqual(jobs_client.once(ITEMS), counts)

    def test_comes_back(self):
        """A resumed lease holder executes nothing of a completed job."""
        self.check_suspended_holder('freeze')

    def test_job_cancelled_meanwhile(self):
        """A resumed lease holder adds nothing to a job cancelled meanwhile."""
        texts = [f'cancel {number}' for number in range(ITEMS)]
        job = jobs_client.submit(self.client('entry-0'), texts, 120)
        suspended = self.holder(job)
        wait_for('a completed item', lambda: self.finished(job))
        self.suspend(suspended)
        api = self.client(self.other(suspended))
        api.batches.cancel(job)
        wait_for('cancelled', lambda: self.is_cancelled(job, api))
        finished = jobs_client.result_counts(api, job)
        begun = self.executions('cancel')
        self.resume(suspended)
        gevent.sleep(OBSERVED_S)
        self.assertEqual(begun, self.executions('cancel'))
        found = jobs_client.result_counts(self.client(suspended), job)
        self.assertEqual(finished, found)
        self.assertGreater(len(found), 0)
        self.assertLess(len(found), ITEMS)

    def finished(self, job: str) -> int:
        """Return how many items of a job are completed."""
        api = self.client('entry-0')
        return api.batches.retrieve(job).request_counts.completed

    def is_cancelled(self, job: str, api: object) -> bool:
        """Return whether a job is in the state ``cancelled``."""
        return api.batches.retrieve(job).status == 'cancelled'


class TestFrozenMeanwhile(FleetCase):
    """A process is suspended while the others run."""

    @params('entry-1', 'sidecar-0')
    def test_settings_change(self, name):
        """A resumed process applies settings that were accepted meanwhile."""
        url = f'/admin/settings{YAZMAN}'
        call = self.fleet.call
        old = call('entry-0', url, None, ADMIN, 'GET')[1]
        self.suspend(name)
        message = {
            'raw': {**old['raw'], 'batch_share': 0.5},
            'if_version': old['version'],
        }
        status, changed = call('entry-0', url, message, ADMIN, 'PUT')
        self.assertEqual(200, status, changed)
        self.resume(name)
        wait_for(
            'the new settings at every process',
            lambda: not self.behind(changed['version']),
        )

    def behind(self, version: int) -> list[str]:
        """Return the processes whose settings are older than ``version``."""
        response = self.fleet.call(
            'entry-0', '/admin/status', None, ADMIN, 'GET'
        )
        known = {**response[1]['entries'], **response[1]['sidecars']}
        return [
            name
            for name, host in known.items()
            if host.get('version', 0) < version
        ]

    def test_streams_under_way(self):
        """Streams complete after their entry was suspended and resumed."""
        streams = [gevent.spawn(self.stream) for _ in range(4)]
        wait_for('streams', lambda: self.executions('paused') == len(streams))
        self.suspend('entry-0')
        gevent.sleep(OBSERVED_S + 1)
        self.resume('entry-0')
        gevent.joinall(streams, raise_error=True)
        found = [each.value for each in streams]
        self.assertEqual({STREAM_TOKENS}, set(found), found)

    def stream(self) -> int:
        """Return the number of tokens of a stream, 0 if it failed."""
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
