"""Entries restart while the store is slow, and clients submit batch jobs."""

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
    MAX_WAIT_S,
    NOT_FOUND,
    SERVICE,
    Item,
    JobClient,
    configuration,
)
from bed.record import Record
from bed.replica import Replica
from bed.store import Store

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# What the store's steady clock shows at the start of the case: it has another
# start than those of the machines.
CLOCK_START_S = 2_592_000
ENTRIES = 5
REPLICAS = 3
SLOTS = 8
ROUNDS = 4
# At most what the pages name: platform_slow, x 60 for 4.5 s; node_kill, one.
SLOW_X = 60.0
SLOW_S = 4.5
KILL_AFTER_S = 0.4
CLIENTS = 3
CLIENT_GAP_S = 0.06
ITEMS = 2
WORK = MappingProxyType({'events': 20, 'bytes': 60, 'ms': 10})
# Over contact_ms: all machines are in touch again.
CALM_S = 4.5
READ_GAP_S = 0.5


class Case:
    """The deployment, its clients and what they have seen."""

    def __init__(self, record: Record) -> None:
        """Create the deployment without starting it."""
        self.broken: list[str] = []
        # When each accepted job was first sent.
        self.accepted: dict[str, float] = {}
        self._record = record
        self._store = Store(CLOCK_START_S)
        self._fleet = Fleet(self._store)
        self._client = JobClient(record)
        self._replicas = [
            Replica(self._store, f'i-{number}', SERVICE, SLOTS)
            for number in range(REPLICAS)
        ]

    async def run(self) -> None:
        """Play all rounds and check every accepted job."""
        self._store.put(('op', '', 'config'), configuration(1, BATCH_ROUTE))
        for replica in self._replicas:
            await replica.start('127.0.0.1')  # noqa: WPS476
        await self._fleet.start(ENTRIES)
        await asyncio.sleep(CALM_S)
        for number in range(ROUNDS):
            await self._play(number)  # noqa: WPS476
        await asyncio.gather(*map(self._check, self.accepted))
        self._record.add_runs(self._replicas)

    def close(self) -> None:
        """End everything that was started."""
        self._fleet.close()
        for replica in self._replicas:
            replica.close()
        self._store.close()

    async def _play(self, number: int) -> None:
        """Slow the store, restart an entry and submit jobs to it."""
        entry = self._fleet.entries[number % ENTRIES]
        end_at = time.monotonic() + SLOW_S
        if TROUBLE:
            self._slow_down()
            await asyncio.sleep(KILL_AFTER_S)
            self._record.add(f'{entry.name} is killed and started again')
            entry.kill()
            entry.start()
        await entry.wait_listening()
        self._record.add(f'{entry.name} takes connections')
        clients = (self._submit(number, each) for each in range(CLIENTS))
        await asyncio.gather(*clients)
        await asyncio.sleep(max(0, end_at - time.monotonic()) + CALM_S)

    def _slow_down(self) -> None:
        """Slow the store for SLOW_S, however long an entry takes to start."""
        self._record.add(f'the store is {SLOW_X:.0f} times slower')
        self._store.slow = SLOW_X
        asyncio.get_running_loop().call_later(SLOW_S, self._speed_up)

    def _speed_up(self) -> None:
        self._store.slow = 1.0
        self._record.add('the store is as fast as usual')

    async def _submit(self, number: int, each: int) -> None:
        """Submit a job; after a refusal once more, at another entry."""
        await asyncio.sleep(each * CLIENT_GAP_S)
        job = f'job{number}x{each}'
        items = [
            Item(f'{job}-{item}', f'/lots/{job}/{item}', WORK)
            for item in range(ITEMS)
        ]
        first = number % ENTRIES
        entries = [
            entry
            for entry in self._fleet.entries[first:]
            + self._fleet.entries[:first]
            if self._fleet.takes_callers(entry)
        ]
        sent_at = time.monotonic()
        if await self._client.submit(entries, job, items):
            self.accepted[job] = sent_at

    async def _check(self, job: str) -> None:
        """Read a job until it is listed in full, and judge its results."""
        end_at = time.monotonic() + FINISH_S
        entry = self._fleet.entries[0]
        while time.monotonic() < end_at:
            page = await self._client.read(entry, job, 0)  # noqa: WPS476
            if page.status == NOT_FOUND:
                self._fail(f'LOST: {job}, which got 202, gets 404')
                return
            if len(page.results) == ITEMS:
                self._judge(job, page.results)
                return
            await asyncio.sleep(READ_GAP_S)  # noqa: WPS476
        self._fail(f'LOST: {job}, which got 202, is not listed in full')

    def _judge(self, job: str, results: list[dict[str, str]]) -> None:
        """Check that no item was given up: none has failed or is old."""
        age_s = time.monotonic() - self.accepted[job]
        ran = {run.request_id for each in self._replicas for run in each.runs}
        for found in results:
            if found['state'] == 'completed' or age_s > MAX_WAIT_S:
                continue
            runs = 'ran' if found['id'] in ran else 'never reached a replica'
            self._fail(
                f'MIXED: {found["id"]} is {found["state"]} {age_s:.1f} s after'
                f' its job was sent; it {runs}, no replica answered 422 or'
                f' 500, and max_wait_s is {MAX_WAIT_S}'
            )

    def _fail(self, text: str) -> None:
        self.broken.append(text)
        self._record.add(text)


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
    return 1 if case.broken else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
