"""Callers that submit, resubmit, read and end jobs."""

import base64
import json
import random
import time
from collections.abc import Sequence
from http.client import HTTPConnection, HTTPException
from typing import Any

import gevent

from soak.job_routes import SUBMIT_PREFIX
from soak.organisations import key_headers
from soak.record import Job
from soak.world import World
from standins.machines.site import HOST

TIMEOUT_S = 4
ITEMS = (2, 8)
EVENTS = (5, 40)
# Events of a long item, which runs longer than its holder's lease lasts.
LONG_EVENTS = 180
LONG_SHARE = 0.15
ITEM_EVENT_S = 0.03
# Number of times that a caller sends a job before it gives up.
MAX_TRIES = 3
PAUSE_S = 0.5
BETWEEN_JOBS_S = (0.5, 2.5)
POISON = ('impossible', 'failing')
POISON_SHARE = 0.1
END_SHARE = 0.15
RESEND_SHARE = 0.3
# Seconds after its acceptance from which every entry must know a job.
SETTLE_S = 1


class JobCaller:
    """Submits one job after another and follows each."""

    def __init__(self, world: World, name: str, seed: int) -> None:
        """Create a caller that draws jobs, entries and times with ``seed``."""
        self._world = world
        self._name = name
        self._rng = random.Random(seed)  # noqa: S311
        self._count = 0
        self._stopped = False
        key = world.record.organisations.job_key
        self._headers = {'Host': HOST, **key_headers(key)}

    def run(self) -> None:
        """Submit jobs until ``stop`` is called."""
        while not self._stopped:
            job = self._draw()
            self._world.record.jobs[job.id] = job
            self._submit(job)
            if job.accepted_at is not None:
                gevent.spawn(self.follow, job)
            gevent.sleep(self._rng.uniform(*BETWEEN_JOBS_S))

    def submit_to(self, entry: str, bodies: Sequence[str]) -> str:
        """Submit a job once to an entry, and follow it if it is accepted.

        Returns its id.
        """
        self._count += 1
        job = Job(f'{self._name}-{self._count}', list(bodies))
        self._world.record.jobs[job.id] = job
        self._send(job, entry)
        if job.accepted_at is not None:
            gevent.spawn(self.follow, job)
        return job.id

    def send_again(self, job_id: str, entry: str) -> None:
        """Send a copy of a job to an entry, which may be the first it gets."""
        job = self._world.record.jobs[job_id]
        was_accepted = job.accepted_at is not None
        self._send(job, entry)
        if job.accepted_at is not None and not was_accepted:
            gevent.spawn(self.follow, job)

    def stop(self) -> None:
        """Stop submitting jobs, but continue to read results."""
        self._stopped = True

    def follow(self, job: Job) -> None:
        """Read a job until all results are listed; end some jobs early."""
        ends = self._rng.random() < END_SHARE
        while not (self._world.finished or complete(job)):
            gevent.sleep(self._rng.uniform(0, 2 * PAUSE_S))
            if self._rng.random() < RESEND_SHARE / 10:
                self._send(job, self._random_entry())
            if (
                ends
                and len(job.listed_results)
                and job.end_acknowledged_at is None
            ):
                self.end(job)
            self.read(job, self._random_entry())

    def read(self, job: Job, entry: str, after: int | None = None) -> int:
        """Read the results of a job from the position ``after``.

        Without ``after`` it is usually the first position not yet read.
        Returns the status, or 0 without a response.
        """
        first = self._next_position(job) if after is None else after
        requested_at = time.monotonic()
        target = f'/api/lots/{job.id}?after={first}'
        status, raw = self._call(entry, 'GET', target)
        known = job.accepted_at is not None
        if known and status in {404, 410}:
            age_s = requested_at - (job.accepted_at or 0)
            if age_s > SETTLE_S:
                self._add_violation(
                    'job known', f'{job.id}: {status} at {entry}'
                )
        if status == 200:
            self._store_page(job, first, json.loads(raw))
        return status

    def end(self, job: Job) -> None:
        """End a job and record when the end was acknowledged."""
        job.end_requested_at = job.end_requested_at or time.monotonic()
        status, _ = self._call(
            self._random_entry(),
            'DELETE',
            f'/api/lots/{job.id}',
        )
        if status == 200:
            job.end_acknowledged_at = (
                job.end_acknowledged_at or time.monotonic()
            )

    def _draw(self) -> Job:
        self._count += 1
        bodies = [
            f'{self._events()} {ITEM_EVENT_S}'
            for _ in range(self._rng.randint(*ITEMS))
        ]
        if self._rng.random() < POISON_SHARE:
            bodies.append(self._rng.choice(POISON))
        return Job(f'{self._name}-{self._count}', bodies)

    def _events(self) -> int:
        if self._rng.random() < LONG_SHARE:
            return LONG_EVENTS
        return self._rng.randint(*EVENTS)

    def _submit(self, job: Job) -> None:
        for _ in range(MAX_TRIES):
            self._send(job, self._random_entry())
            if job.accepted_at is not None:
                return
            gevent.sleep(PAUSE_S)

    def _send(self, job: Job, entry: str) -> None:
        items = [
            {
                'id': item_id,
                'path': self._world.path_of(item_id),
                'headers': {'X-Model': 'm'},
                'body': base64.b64encode(body.encode()).decode(),
                'tokens': 1,
            }
            for item_id, body in zip(job.item_ids(), job.bodies, strict=True)
        ]
        raw = json.dumps({'items': items}).encode()
        headers = {'X-Attempt-Id': job.id, 'Content-Type': 'application/json'}
        # None marks an unknown outcome for checks that run during the call.
        number = len(job.statuses)
        job.sent_ms = job.sent_ms or self._world.store.clock.now_ms()
        job.statuses.append(None)
        status, _ = self._call(entry, 'POST', f'{SUBMIT_PREFIX}x', raw, headers)
        job.statuses[number] = status or None
        if status == 202 and job.accepted_at is None:
            job.accepted_at = time.monotonic()

    def _store_page(self, job: Job, first: int, page: dict[str, Any]) -> None:
        """Store a page of results; results read before may not have changed."""
        if page['total'] != len(job.bodies):
            self._add_violation(
                'results stay', f'{job.id}: total {page["total"]}'
            )
        for position, found in enumerate(page['results'], first):
            if position < len(job.listed_results):
                known = job.listed_results[position]
                if known != found:
                    self._add_violation(
                        'results stay',
                        f'{job.id} at {position}: {known} then {found}',
                    )
            elif position == len(job.listed_results):
                job.listed_results.append(found)

    def _next_position(self, job: Job) -> int:
        """Return the next position to read, or sometimes an earlier one."""
        if self._rng.random() < RESEND_SHARE:
            return self._rng.randint(0, len(job.listed_results))
        return len(job.listed_results)

    def _random_entry(self) -> str:
        return self._rng.choice(sorted(self._world.caller_links))

    def _add_violation(self, promise: str, text: str) -> None:
        self._world.record.add_violation(promise, text)

    def _call(
        self,
        entry: str,
        method: str,
        target: str,
        raw: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Return status and body of a call; status 0 without a response."""
        address = self._world.caller_links[entry].address
        conn = HTTPConnection(*address, timeout=TIMEOUT_S)
        try:
            conn.request(method, target, raw, self._headers | (headers or {}))
            resp = conn.getresponse()
            return resp.status, resp.read()
        except (OSError, HTTPException):
            return 0, b''
        finally:
            conn.close()


def complete(job: Job) -> bool:
    """Return whether all results are listed or the job was ended."""
    all_listed = len(job.listed_results) == len(job.bodies)
    return all_listed or job.end_acknowledged_at is not None
