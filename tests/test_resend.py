"""Callers resend jobs, and each idempotency key creates one job only."""

import gevent

from standins.faults import Fault, FaultKind
from tests.rig_case import RigCase, job_line

TEXT = '\n'.join(job_line(number, f'r{number}') for number in range(20))


class TestResend(RigCase):
    """The same request is repeated at once, later and at another entry."""

    def jobs(self) -> list[str]:
        """Return the keys of the job rows in the platform's table."""
        return [
            key
            for key in self.rig.platform.table.keys
            if key.startswith('jobs/')
        ]

    def test_same_instant_at_two_entries(self):
        """Simultaneous requests at two entries create one job."""
        file = self.upload(TEXT).body['id']
        sent = [
            gevent.spawn(self.create, file, entry, 'k')
            for entry in (0, 1, 0, 1)
        ]
        gevent.joinall(sent, raise_error=True)
        ids = {each.value.body['id'] for each in sent}
        self.assertEqual((1, 1), (len(ids), len(self.jobs())))

    def test_upload_and_job_without_a_key(self):
        """Without a key, a repeated upload and request give the same job."""
        first = self.create(self.upload(TEXT).body['id'])
        again = self.create(self.upload(TEXT, 1).body['id'], 1)
        self.assertEqual(first.body['id'], again.body['id'])
        self.assertEqual(1, len(self.jobs()))

    def test_after_completion_and_after_cancel(self):
        """A request for a completed or cancelled job does not run it again."""
        file = self.upload(TEXT).body['id']
        for key, state in (('a', 'completed'), ('b', 'cancelled')):
            job = self.create(file, key=key).body['id']
            if state == 'cancelled':
                self.cancel(job)
            self.wait_state(job, state)
            again = self.create(file, 1, key)
            self.assertEqual(job, again.body['id'])
            self.assertEqual(state, again.body['status'])
        self.assertEqual(2, len(self.jobs()))

    def test_same_key_with_another_body(self):
        """A key that was used with another body is refused."""
        file = self.upload(TEXT).body['id']
        self.create(file, key='k')
        other = self.create(file, 1, 'k', metadata={'x': 'y'})
        self.assertEqual(422, other.status)
        self.assertEqual('idempotency_mismatch', other.body['error']['code'])
        self.assertEqual(1, len(self.jobs()))

    def test_resend_after_a_lost_answer_of_the_store(self):
        """A resend finds the job if the response to the write was lost."""
        file = self.upload(TEXT).body['id']
        lost = Fault(FaultKind.lose_answer, '"progress/', 2)
        self.rig.platform.faults.add(lost)
        first = self.create(file, key='k')
        again = self.create(file, 1, 'k')
        self.assertEqual(first.body['id'], again.body['id'])
        self.assertEqual(1, len(self.jobs()))

    def cancel(self, job: str) -> None:
        """Cancel a job."""
        path = f'/v1/batches/{job}/cancel'
        answer = self.rig.call(self.rig.entries[0], path, {})
        self.assertEqual(200, answer.status)
