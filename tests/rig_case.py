"""A base class for tests that run jobs on a fleet in one process."""

import json
import unittest
from collections import Counter
from typing import Any

from standins.waiting import wait_for
from tests.rig import Rig
from tests.served import Answer, Served

BOUNDARY = 'boundary-of-tests'
FORM = {'Content-Type': f'multipart/form-data; boundary={BOUNDARY}'}


def job_line(number: int, text: str, tokens: int = 2) -> str:
    """Return one line of a batch input file."""
    body = {
        'model': 'yazman',
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': tokens,
    }
    return json.dumps(
        {
            'custom_id': f'id-{number}',
            'method': 'POST',
            'url': '/v1/chat/completions',
            'body': body,
        },
    )


def upload_body(text: str, purpose: str = 'batch') -> bytes:
    """Return a multipart upload of ``text``."""
    parts = (
        f'--{BOUNDARY}',
        'Content-Disposition: form-data; name="purpose"',
        '',
        purpose,
        f'--{BOUNDARY}',
        'Content-Disposition: form-data; name="file"; filename="a.jsonl"',
        'Content-Type: application/jsonl',
        '',
        text,
        f'--{BOUNDARY}--',
        '',
    )
    return '\r\n'.join(parts).encode()


class RigCase(unittest.TestCase):
    """Starts a new rig for each test and closes it afterwards."""

    sidecars = 2
    entries = 2
    read_timeout_s = 2

    def setUp(self) -> None:
        """Start the rig."""
        self.rig = Rig(self.sidecars, self.entries, self.read_timeout_s)
        self.addCleanup(self.rig.close)
        self.addCleanup(self.check_refusals)

    def check_refusals(self) -> None:
        """Check that no request reported as not run was run."""
        self.assertEqual([], self.rig.ran_though_refused())

    def upload(self, text: str, entry: int = 0) -> Answer:
        """Upload a batch input file."""
        return self.rig.call(
            self.rig.entries[entry],
            '/v1/files',
            upload_body(text),
            FORM,
        )

    def create(
        self,
        file: str,
        entry: int = 0,
        key: str = '',
        **fields: Any,
    ) -> Answer:
        """Create a job for an uploaded file; ``fields`` are added to it."""
        message = {
            'input_file_id': file,
            'endpoint': '/v1/chat/completions',
            'completion_window': '24h',
            **fields,
        }
        headers = {'Idempotency-Key': key} if key else {}
        return self.rig.call(
            self.rig.entries[entry],
            '/v1/batches',
            message,
            headers,
        )

    def submit(self, texts: list[str], tokens: int = 2) -> str:
        """Upload ``texts`` as prompts, create a job and return its id."""
        lines = [
            job_line(number, text, tokens) for number, text in enumerate(texts)
        ]
        uploaded = self.upload('\n'.join(lines))
        self.assertEqual(200, uploaded.status, uploaded)
        created = self.create(uploaded.body['id'])
        self.assertEqual(200, created.status, created)
        return created.body['id']

    def show(self, job: str, entry: int = -1) -> dict[str, Any]:
        """Return a job in the form in which an entry reports it."""
        served = self.rig.entries[entry]
        return self.rig.call(served, f'/v1/batches/{job}', method='GET').body

    def wait_state(self, job: str, state: str) -> dict[str, Any]:
        """Wait until a job is in ``state`` and return the job."""

        def reached() -> dict[str, Any] | None:
            shown = self.show(job)
            return shown if shown.get('status') == state else None

        return wait_for(f'{job} {state}', reached)

    def lines(self, job: str, kind: str = 'out') -> list[dict[str, Any]]:
        """Return the output (or error) lines of a job."""
        path = f'/v1/files/file-{kind}-{job}/content'
        answer = self.rig.call(self.rig.entries[-1], path, method='GET')
        self.assertEqual(200, answer.status, answer)
        return [json.loads(line) for line in answer.body.splitlines()]

    def check_exactly_once(self, job: str, count: int) -> None:
        """Check that each item has one result and no commit was changed."""
        found = self.lines(job) + self.lines(job, 'err')
        ids = Counter(line['custom_id'] for line in found)
        self.assertEqual(
            Counter(f'id-{number}' for number in range(count)),
            ids,
        )
        self.check_commits()

    def check_commits(self) -> None:
        """Check in the table's history that no chunk pointer ever changed."""
        seen: dict[str, Any] = {}
        for commit in self.rig.platform.table.history:
            for key, stored in commit['writes']:
                if stored is None or not key.startswith(('spans/', 'done/')):
                    continue
                span = f'{stored["job"]}/{stored["number"]}'
                before = seen.get(span, {})
                now = stored['done']
                kept = {chunk: now.get(chunk) for chunk in before}
                self.assertEqual(before, kept, span)
                seen[span] = now

    def entry_holding(self, job: str) -> Served:
        """Wait until an entry holds a span of ``job`` and return the entry."""

        def holder() -> Served | None:
            for served in self.rig.entries:
                held = served.subject.driver.held()
                if any(span.job == job and span.holder for span in held):
                    return served
            return None

        return wait_for('a holder', holder)
