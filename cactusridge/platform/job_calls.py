"""HTTP calls for batch jobs: submit, read results, fetch a body, end."""

import base64
import re
from http import HTTPStatus
from types import MappingProxyType

import gevent

from cactusridge.dispatch.catalog import Catalog, Route
from cactusridge.errors import BadRequest, Conflict, NotFound, OutcomeUnknown
from cactusridge.http.exchange import Reply, json_reply
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.job_admission import JobAdmission
from cactusridge.jobs.manager import JobManager
from cactusridge.jobs.model import (
    ItemState,
    JobHead,
    JobItem,
    JobState,
    Result,
)
from cactusridge.platform import names
from cactusridge.platform.caller_request import (
    CallerRequest,
    without_authorization,
)
from cactusridge.platform.job_items import parse_items

JOB_PATH = re.compile('/api/lots/([^/]+)')
ITEM_BODY_PATH = re.compile('/api/items/([^/]+)')
VALID_JOB_ID = re.compile(r'[\w-]{1,120}', re.ASCII)
# Seconds before the end of its caller's wait at which a long poll without
# results is answered.
LONG_POLL_MARGIN_S = 0.15
# Seconds after which a submission with an unconfirmed write fails with
# OutcomeUnknown. Its caller repeats it at another entry, which finds the job if
# it was stored. The time allows for two lost answers of the store.
ACCEPT_TIMEOUT_S = 1.5
# State names in the results that callers read.
RESULT_STATES = MappingProxyType(
    {
        ItemState.completed: 'completed',
        ItemState.given_up: 'dead_letter',
    },
)


class JobCalls:
    """Handles the HTTP calls for batch jobs."""

    def __init__(
        self,
        manager: JobManager,
        heads: JobHeads,
        intake: JobAdmission,
    ) -> None:
        """Run new jobs with ``manager`` if ``intake`` admits them."""
        self._manager = manager
        self._heads = heads
        self._intake = intake

    def handles(self, call: CallerRequest) -> bool:
        """Return whether the path is that of a job or of its item bodies."""
        matches = JOB_PATH.fullmatch(call.path) or ITEM_BODY_PATH.fullmatch(
            call.path,
        )
        return matches is not None

    def owner(self, call: CallerRequest) -> str:
        """Return the name of the organisation that owns the job.

        It is empty for a job that was submitted without a key. Raises
        BadRequest, NotFound, StoreUnavailable or UnreadableRecord.
        """
        return self._head(_job_id(call)).organisation

    def answer(self, call: CallerRequest) -> Reply:
        """Return the reply to a request for an existing job."""
        body_of = ITEM_BODY_PATH.fullmatch(call.path)
        job_id = _job_id(call)
        if body_of:
            return self._item_body(job_id, call.query('id'))
        if call.method == 'DELETE':
            self._manager.end(job_id)
            return json_reply({})
        return self._read(job_id, call)

    def submit(
        self,
        call: CallerRequest,
        route: Route,
        catalog: Catalog,
        organisation: str,
    ) -> Reply:
        """Store a new job and reply with 202 Accepted.

        After that reply the system is responsible for the job. ``catalog``
        is the configuration that contains ``route``. Raises BadRequest,
        StoreUnavailable, Conflict if another organisation's job has the id,
        or OutcomeUnknown if the store does not confirm the write in time.
        """
        job_id = _checked_id(call.id)
        items = parse_items(call.body())
        if catalog.organisations is not None:
            items = [_without_authorization(item) for item in items]
        self._intake.check(job_id)
        created_ms = self._intake.submission_ms(job_id)
        head = JobHead(
            job_id,
            call.host,
            route.prefix,
            len(items),
            created_ms,
            catalog_version=catalog.version,
            organisation=organisation,
        )
        unknown = OutcomeUnknown('the store did not confirm the job in time')
        with gevent.Timeout(ACCEPT_TIMEOUT_S, unknown):
            stored = self._manager.accept(
                self._manager.with_this_holder(head),
                items,
            )
        if stored.organisation != organisation:
            raise Conflict(f'{job_id} is the id of another job')
        return json_reply({}, HTTPStatus.ACCEPTED)

    def _head(self, job_id: str) -> JobHead:
        """Return a job's head, read from the store if it is not cached."""
        head = self._heads.get(job_id)
        if head is None:
            head = self._manager.ledger.head(job_id)
            self._heads.update(head)
        return head

    def _read(self, job_id: str, call: CallerRequest) -> Reply:
        after = _whole_number(call.query('after', '0'))
        wait_s = (
            _whole_number(call.header(names.LONG_POLL, '0')) / names.MS_PER_S
        )
        head = self._head(job_id)
        found = self._manager.ledger.results(job_id, after)
        if not found and wait_s and head.state == JobState.open:
            self._wait(job_id, wait_s - LONG_POLL_MARGIN_S)
            found = self._manager.ledger.results(job_id, after)
        return json_reply(
            {
                'total': head.items,
                'next': after + len(found),
                'results': [_result(each) for each in found],
            },
        )

    def _wait(self, job_id: str, wait_s: float) -> None:
        """Wait up to ``wait_s`` seconds for results of a job.

        Only the entry that holds the job is notified of results early;
        another entry waits for the whole time.
        """
        held = self._manager.held(job_id)
        if held is None:
            gevent.sleep(max(0, wait_s))
            return
        held.listed.wait(max(0, wait_s))

    def _item_body(self, job_id: str, item_id: str) -> Reply:
        held = self._manager.held(job_id)
        waiting = list(held.pending.values()) if held else ()
        for task in waiting:
            if task.item.id == item_id:
                return _bytes_reply(task.body)
        for item in self._manager.ledger.items(job_id):
            if item.id == item_id:
                return _bytes_reply(base64.b64decode(item.body))
        raise NotFound(f'no item {item_id} in job {job_id}')


def _job_id(call: CallerRequest) -> str:
    """Return the job id in a request's path; raise BadRequest."""
    found = ITEM_BODY_PATH.fullmatch(call.path) or JOB_PATH.fullmatch(call.path)
    return _checked_id(found.group(1))


def _without_authorization(item: JobItem) -> JobItem:
    headers = without_authorization(list(item.headers.items()))
    return item._replace(headers=dict(headers))


def _result(result: Result) -> dict[str, str]:
    return {
        'id': result.id,
        'state': RESULT_STATES[result.state],
        'output': result.output,
    }


def _bytes_reply(raw: bytes) -> Reply:
    headers = [
        ('Content-Type', 'application/octet-stream'),
        ('Content-Length', str(len(raw))),
    ]
    return Reply(HTTPStatus.OK, headers, [raw])


def _checked_id(job_id: str) -> str:
    if not VALID_JOB_ID.fullmatch(job_id):
        raise BadRequest('invalid job id')
    return job_id


def _whole_number(text: str) -> int:
    if not text.isdecimal():
        raise BadRequest(f'{text!r} is not a whole number')
    return int(text)
