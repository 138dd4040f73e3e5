"""The calls about batch jobs: submit, read, fetch a body, end."""

import base64
import re
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

import gevent

from cactusridge import wire
from cactusridge.dispatch.catalog import Catalog, Route
from cactusridge.errors import BadRequest, Conflict, NotFound, OutcomeUnknown
from cactusridge.http.exchange import Reply, json_reply
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.intake import Intake
from cactusridge.jobs.manager import JobManager
from cactusridge.jobs.model import (
    ItemState,
    JobHead,
    JobItem,
    JobState,
    Result,
)
from cactusridge.platform import names
from cactusridge.platform.caller_request import CallerRequest, without_key
from cactusridge.store.store_clock import StoreClock

MAX_ITEMS = 200
JOB_PATH = re.compile('/api/lots/([^/]+)')
BODY_PATH = re.compile('/api/items/([^/]+)')
SOUND_ID = re.compile(r'[\w-]{1,120}', re.ASCII)
# A read that finds nothing is answered well before its caller's wait is
# over, in seconds.
LONG_POLL_MARGIN_S = 0.15
# A submission whose fate is not known by then is given up without a
# promise: its caller sends it again to another entry, which finds it if
# it was stored. Two of the store's answers may be lost meanwhile.
ACCEPT_S = 1.5
STATES = MappingProxyType(
    {
        ItemState.completed: 'completed',
        ItemState.given_up: 'dead_letter',
    },
)


class JobCalls:
    """Answers the calls about batch jobs."""

    def __init__(
        self,
        manager: JobManager,
        heads: JobHeads,
        store_clock: StoreClock,
        intake: Intake,
    ) -> None:
        """Keep jobs with ``manager`` where ``intake`` lets them in."""
        self._manager = manager
        self._heads = heads
        self._store_clock = store_clock
        self._intake = intake

    def handles(self, call: CallerRequest) -> bool:
        """Tell whether a request is about a job that exists already."""
        matches = JOB_PATH.fullmatch(call.path) or BODY_PATH.fullmatch(
            call.path,
        )
        return matches is not None

    def owner(self, call: CallerRequest) -> str:
        """Return the organisation of the job that a request is about.

        Empty for one that needed no key. Raises NotFound,
        StoreUnavailable, UnreadableRecord.
        """
        return self._head(_job_id(call)).organisation

    def answer(self, call: CallerRequest) -> Reply:
        """Answer a request about a job that exists already."""
        body_of = BODY_PATH.fullmatch(call.path)
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
        """Accept a job; once the reply is out it is the system's.

        ``catalog`` is the configuration with ``route``.
        """
        job_id = _checked_id(call.id)
        items = parse_items(call.body())
        if catalog.organisations is not None:
            items = [_without_key(item) for item in items]
        self._intake.check(job_id)
        head = JobHead(
            job_id,
            call.host,
            route.prefix,
            len(items),
            self._store_clock.now_ms(),
            catalog_version=catalog.version,
            organisation=organisation,
        )
        unknown = OutcomeUnknown('the store did not say in time')
        with gevent.Timeout(ACCEPT_S, unknown):
            stored = self._manager.accept(
                self._manager.held_here(head),
                items,
            )
        if stored.organisation != organisation:
            raise Conflict(f'{job_id} is the id of another job')
        return json_reply({}, HTTPStatus.ACCEPTED)

    def _head(self, job_id: str) -> JobHead:
        """Return a job's head, from the store if it is not known here."""
        head = self._heads.get(job_id)
        if head is None:
            head = self._manager.ledger.head(job_id)
            self._heads.note(head)
        return head

    def _read(self, job_id: str, call: CallerRequest) -> Reply:
        after = _number(call.query('after', '0'))
        wait_s = _number(call.header(names.LONG_POLL, '0')) / names.MS
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
        """Wait for news of a job; only its holder hears them early."""
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


def parse_items(raw: bytes) -> list[JobItem]:
    """Return the items of a submission; raise BadRequest."""
    message = wire.decode(raw)
    listed = message.get('items') if isinstance(message, dict) else None
    if not isinstance(listed, list) or not 0 < len(listed) <= MAX_ITEMS:
        raise BadRequest(f'items must be a list of 1 to {MAX_ITEMS}')
    items = [_item(entry) for entry in listed]
    if len({item.id for item in items}) != len(items):
        raise BadRequest('two items have the same id')
    return items


def _item(entry: Any) -> JobItem:
    try:
        item = JobItem(
            str(entry['id']),
            str(entry['path']),
            {str(name): str(text) for name, text in entry['headers'].items()},
            entry['body'],
            int(entry.get('tokens', 0)),
        )
        base64.b64decode(item.body, validate=True)
    except (LookupError, TypeError, AttributeError) as exc:
        raise BadRequest(f'not an item: {exc!r}') from exc
    except ValueError as unreadable:
        raise BadRequest(f'not an item: {unreadable}') from unreadable
    texts = (item.path, *item.headers, *item.headers.values())
    if any('\r' in text or '\n' in text for text in texts):
        raise BadRequest('a line break in a path or header of an item')
    return item


def _job_id(call: CallerRequest) -> str:
    """Return the id of the job that a request is about, checked."""
    found = BODY_PATH.fullmatch(call.path) or JOB_PATH.fullmatch(call.path)
    return _checked_id(found.group(1))


def _without_key(item: JobItem) -> JobItem:
    headers = without_key(list(item.headers.items()))
    return item._replace(headers=dict(headers))


def _result(result: Result) -> dict[str, str]:
    return {
        'id': result.id,
        'state': STATES[result.state],
        'output': result.output,
    }


def _bytes_reply(raw: bytes) -> Reply:
    headers = [
        ('Content-Type', 'application/octet-stream'),
        ('Content-Length', str(len(raw))),
    ]
    return Reply(HTTPStatus.OK, headers, [raw])


def _checked_id(job_id: str) -> str:
    if not SOUND_ID.fullmatch(job_id):
        raise BadRequest('not an id of a job')
    return job_id


def _number(text: str) -> int:
    if not text.isdecimal():
        raise BadRequest(f'{text!r} is no whole number')
    return int(text)
