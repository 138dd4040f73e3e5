"""Checks each part of the demo once and prints the results."""

import json
import time
import uuid
from types import MappingProxyType
from typing import TextIO

from openai import OpenAI

from standins.local_fleet import ADMIN, YAZMAN, LocalFleet
from standins.waiting import wait_for

ITEMS = 200
TOKENS = 8
APPLY_LIMIT_S = 7
TOKEN = MappingProxyType({'Authorization': 'Bearer demo'})


class Missed(Exception):
    """A check got an unexpected result."""


def run_check(fleet: LocalFleet, out: TextIO) -> int:
    """Run every check, print the results and return the failure count."""
    failures = 0
    for check in (streamed, whole, plain, batch, settings):
        started_at = time.monotonic()
        try:
            result = check(fleet)
        except Exception as exc:
            failures += 1
            result = f'MISSED: {exc!r}'
        elapsed_s = time.monotonic() - started_at
        out.write(f'{check.__name__}: {result} ({elapsed_s:.1f} s)\n')
    return failures


def client(fleet: LocalFleet, name: str) -> OpenAI:
    """Return a standard OpenAI client that calls the entry ``name``."""
    return OpenAI(api_key='demo', base_url=f'{fleet.url(name)}/v1')


def expect(wanted: object, found: object) -> None:
    """Raise Missed unless ``wanted`` and ``found`` are equal."""
    if wanted != found:
        raise Missed(f'wanted {wanted!r}, found {found!r}')


def streamed(fleet: LocalFleet) -> str:
    """Stream one chat completion and check the number of tokens."""
    chunks = list(
        client(fleet, 'entry-0').chat.completions.create(
            model='yazman',
            messages=[{'role': 'user', 'content': 'satır bir'}],
            max_tokens=TOKENS,
            stream=True,
        ),
    )
    expect(TOKENS, len(chunks))
    return f'{len(chunks)} tokens'


def whole(fleet: LocalFleet) -> str:
    """Request one chat completion without streaming; return its text."""
    answer = client(fleet, 'entry-1').chat.completions.create(
        model='yazman',
        messages=[{'role': 'user', 'content': 'satır iki'}],
        max_tokens=TOKENS,
    )
    expect(TOKENS, len(answer.choices[0].message.content.split()))
    return answer.choices[0].message.content.strip()


def plain(fleet: LocalFleet) -> str:
    """Call the plain service and return the request line it received."""
    status, reply = fleet.call(
        'entry-0',
        '/services/defter/registers/7?line=3',
        {'reading': 'x'},
        TOKEN,
    )
    expect((200, '/registers/7'), (status, reply['path']))
    return f'{reply["method"]} {reply["path"]}?{reply["query"]}'


def batch(fleet: LocalFleet) -> str:
    """Submit a job to one entry and read its results from the other."""
    run = uuid.uuid4().hex
    lines = [_line(run, number) for number in range(ITEMS)]
    first, other = client(fleet, 'entry-0'), client(fleet, 'entry-1')
    sent = first.files.create(
        file=('lines.jsonl', '\n'.join(lines).encode()),
        purpose='batch',
    )
    job = first.batches.create(
        input_file_id=sent.id,
        endpoint='/v1/chat/completions',
        completion_window='24h',
    )
    done = wait_for('the batch', lambda: _completed(other, job.id))
    expect(
        (ITEMS, 0), (done.request_counts.completed, done.request_counts.failed)
    )
    text = other.files.content(done.output_file_id).text
    ids = {json.loads(line)['custom_id'] for line in text.splitlines()}
    expect(ITEMS, len(ids))
    return f'{len(ids)} items, each with one result'


def settings(fleet: LocalFleet) -> str:
    """Change one setting and check that every process applies it.

    Raises Missed if that takes more than ``APPLY_LIMIT_S`` seconds.
    """
    path = f'/admin/settings{YAZMAN}'
    old = fleet.call('entry-0', path, None, ADMIN, 'GET')[1]
    raw = {**old['raw'], 'batch_share': 0.7}
    message = {'raw': raw, 'if_version': old['version']}
    started_at = time.monotonic()
    status, change = fleet.call('entry-1', path, message, ADMIN, 'PUT')
    expect(200, status)
    version = change['version']
    wait_for('the version in force', lambda: _is_applied(fleet, version))
    elapsed_s = time.monotonic() - started_at
    if elapsed_s > APPLY_LIMIT_S:
        raise Missed(f'in force only after {elapsed_s:.1f} s')
    count = len(fleet.names_of_kind('entry')) + len(
        fleet.names_of_kind('sidecar')
    )
    return f'version {version} in force on {count} processes'


def _line(run: str, number: int) -> str:
    return json.dumps(
        {
            'custom_id': f'line-{number}',
            'method': 'POST',
            'url': '/v1/chat/completions',
            'body': {
                'model': 'yazman',
                'messages': [{'role': 'user', 'content': f'{run} {number}'}],
                'max_tokens': TOKENS,
            },
        },
    )


def _completed(api: OpenAI, name: str) -> object | None:
    job = api.batches.retrieve(name)
    return job if job.status == 'completed' else None


def _is_applied(fleet: LocalFleet, version: int) -> bool:
    found = fleet.call('entry-0', '/admin/status', None, ADMIN, 'GET')[1]
    reports = [*found['entries'].values(), *found['sidecars'].values()]
    wanted = len(fleet.names_of_kind('entry')) + len(
        fleet.names_of_kind('sidecar')
    )
    lowest = min(each.get('version', 0) for each in reports)
    return len(reports) == wanted and lowest >= version
