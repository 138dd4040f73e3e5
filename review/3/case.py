"""A new configuration adds a route below the prefix of a batch route."""

import asyncio
import os
import sys
import time
from pathlib import Path
from types import MappingProxyType

from bed.fleet import Fleet
from bed.jobs import (
    BATCH_ROUTE,
    FINISH_S,
    HOST,
    MAX_WAIT_S,
    SERVICE,
    Item,
    JobClient,
    configuration,
)
from bed.record import Record
from bed.replica import Replica, event_text
from bed.store import Store

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ENTRIES = 4
REPLICAS = 2
SLOTS = 8
JOBS = ('job1', 'job2')
# The largest job of the site.
ITEMS = 24
WORK = MappingProxyType({'events': 208, 'bytes': 65, 'ms': 10})
CHANGE_AFTER_S = 1.0
CALM_S = 4.5
READ_GAP_S = 0.5
OTHER_SERVICE = 'catalogue'
NEW_ROUTE = MappingProxyType(
    {
        'name': 'listing-desc',
        'host': HOST,
        'path_prefix': '/lots/a/',
        'kind': 'streaming',
        'service': OTHER_SERVICE,
        'timeout_ms': 5000,
        'target_latency_ms': 300,
        'max_attempts': 2,
        'priority': 0,
        'resumable': True,
    }
)
DONE = 'completed'


class Case:
    """The deployment, its client and what it has seen."""

    def __init__(self, record: Record) -> None:
        """Create the deployment without starting it."""
        self.broken: list[str] = []
        # When each accepted job was first sent, and the results read.
        self.accepted: dict[str, float] = {}
        self.results: dict[str, list[dict[str, str]]] = {}
        self._record = record
        self._store = Store()
        self._fleet = Fleet(self._store)
        self._client = JobClient(record)
        self._other = Replica(self._store, 'o-0', OTHER_SERVICE, SLOTS)
        self._replicas = [
            Replica(self._store, f'i-{number}', SERVICE, SLOTS)
            for number in range(REPLICAS)
        ]

    async def run(self) -> None:
        """Submit the jobs, change the configuration, read the results."""
        self._configure(BATCH_ROUTE)
        for replica in (self._other, *self._replicas):
            await replica.start('127.0.0.1')  # noqa: WPS476
        await self._fleet.start(ENTRIES)
        await asyncio.sleep(CALM_S)
        await asyncio.gather(*map(self._submit, JOBS))
        changes = (self._change(),) if TROUBLE else ()
        await asyncio.gather(*map(self._read, self.accepted), *changes)
        self._record.add_runs((self._other, *self._replicas))
        ran = len(self._other.runs)
        self._record.add(f'{ran} runs of items at {OTHER_SERVICE}')

    def close(self) -> None:
        """End everything that was started."""
        self._fleet.close()
        for replica in (self._other, *self._replicas):
            replica.close()
        self._store.close()

    async def _change(self) -> None:
        """Write the second configuration while the items run and wait."""
        await asyncio.sleep(CHANGE_AFTER_S)
        self._configure(BATCH_ROUTE, NEW_ROUTE)

    def _configure(self, *routes: MappingProxyType[str, object]) -> None:
        version = len(routes)
        names = ', '.join(str(route['path_prefix']) for route in routes)
        self._record.add(f'configuration {version} has the routes {names}')
        self._store.put(('op', '', 'config'), configuration(version, *routes))

    async def _submit(self, job: str) -> None:
        items = [
            Item(f'{job}-{number}', f'/lots/a/{job}-{number}', WORK)
            for number in range(ITEMS)
        ]
        sent_at = time.monotonic()
        if await self._client.submit(self._fleet.entries, job, items):
            self.accepted[job] = sent_at

    async def _read(self, job: str) -> None:
        """Read a job until it is listed in full, and check its results."""
        end_at = self.accepted[job] + FINISH_S + FINISH_S
        found = self.results.setdefault(job, [])
        while time.monotonic() < end_at and len(found) < ITEMS:
            entry = self._fleet.entries[len(found) % ENTRIES]
            page = await self._client.read(  # noqa: WPS476
                entry, job, len(found)
            )
            found.extend(page.results)
            await asyncio.sleep(READ_GAP_S)  # noqa: WPS476
        if len(found) < ITEMS:
            self._fail(f'LOST: {len(found)} of {ITEMS} items of {job} listed')
        self._judge(job, found)

    def _judge(self, job: str, found: list[dict[str, str]]) -> None:
        """Check that every item is completed with its whole output."""
        age_s = time.monotonic() - self.accepted[job]
        dead = [each['id'] for each in found if each['state'] != DONE]
        if dead and age_s < MAX_WAIT_S:
            self._fail(
                f'MIXED: {len(dead)} items of {job} are dead_letter'
                f' {age_s:.1f} s after it was sent; no replica answered 422 or'
                f' 500, max_wait_s is {MAX_WAIT_S}, and its route stands'
            )
        whole = _output()
        for each in found:
            if each['state'] == DONE and each['output'] != whole:
                self._fail(f'MIXED: {each["id"]} is not whole')

    def _fail(self, text: str) -> None:
        self.broken.append(text)
        self._record.add(text)


def _output() -> str:
    """Return the whole output of an item."""
    numbers = range(1, WORK['events'] + 1)
    return '\n'.join(event_text(number, WORK['bytes']) for number in numbers)


async def main() -> int:
    """Return 1 if a rule was broken, 0 if not, 2 if the case cannot run."""
    record = Record(Path(__file__).resolve().parent / 'record.txt')
    case = Case(record)
    try:
        await case.run()
    except OSError as exc:
        record.add(f'the case could not run: {exc!r}')
        return 2
    finally:
        case.close()
        record.close()
    for text in case.broken:
        sys.stdout.write(f'{text}\n')
    sys.stdout.write(f'{len(case.accepted)} jobs were accepted\n')
    if len(case.accepted) < len(JOBS):
        return 2
    return 1 if case.broken else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
