# flake8: noqa: WPS432, WPS226, WPS210, WPS202, WPS214, E402
"""A small deployment on loopback addresses, for the cases of this review.

The processes are started with the command of the deploy file, on settings
rendered from its template. Store, servers and proxies are the stand-ins of the
project, in the process of the case.
"""

import base64
import contextlib
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

from cactusridge.http.client import Address
from standins.forwarder import Forwarder
from standins.machines.replica import MachineReplica
from standins.machines.site import HOST, MachineSite
from standins.waiting import NotReady, wait_for

FIELD = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')
SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
# The bounds of the small deployments, as the sheets state them.
BOUNDS = {
    'drain_ms': 2000,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'grace_s': 8,
    'config_apply_ms': 2000,
    'finish_s': 18,
    'status_s': 120,
    'cancel_ms': 3000,
    'settle_ms': 1000,
}


def _value(fields: dict[str, Any], path: str) -> Any:
    found: Any = fields
    for name in path.split('.'):
        if isinstance(found, list):
            found = found[int(name)]
        else:
            found = found.get(name)
    return found


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the template of the deploy file as DEPLOY.md describes it."""

    def section(found: re.Match[str]) -> str:
        return found[2] if _value(fields, found[1]) else ''

    def field(found: re.Match[str]) -> str:
        held = _value(fields, found[1])
        if found[2]:
            return json.dumps(held)
        return '' if held is None else str(held)

    return FIELD.sub(field, SECTION.sub(section, template))


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        """Begin an empty record."""
        self._file = path.open('w')
        self._begun_at = time.monotonic()

    def restart_clock(self) -> None:
        """Count the seconds from now on."""
        self._begun_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record, or its clock, was begun."""
        return time.monotonic() - self._begun_at

    def line(self, *words: object) -> None:
        """Write a line with the time."""
        text = ' '.join(map(str, words))
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


class RecordedReplica(MachineReplica):
    """A server that records what it runs."""

    record: Record

    def __init__(self, replica_id: str, slots: int) -> None:
        """Start without runs."""
        super().__init__(replica_id, slots)
        # The id, begin and end of each run, and whether it was whole.
        self.ended_runs: list[tuple[str, float, float, bool]] = []

    def _events(
        self, request_id: str, body: bytes, last: str, sock: Any
    ) -> Iterator[bytes]:
        begun = self.record.now()
        self.record.line(f'server {self.id}: runs {request_id} after {last}')
        whole = False
        try:
            yield from super()._events(request_id, body, last, sock)
            whole = True
        finally:
            run = (request_id, begun, self.record.now(), whole)
            self.ended_runs.append(run)
            how = 'whole' if whole else 'broken off'
            self.record.line(f'server {self.id}: {request_id} is {how}')


class Entry:
    """A process of the system, run with the command of the deploy file."""

    def __init__(self, name: str, settings: Path, folder: Path) -> None:
        """Start the process."""
        kept = ('PATH', 'HOME', 'LANG')
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['CACTUSRIDGE_CONFIG'] = str(settings)
        self.log = folder / f'{name}.log'
        with self.log.open('ab') as sink:
            self.process = subprocess.Popen(
                ['python3', '-S', '-m', 'cactusridge.platform'],
                stdout=sink,
                stderr=sink,
                env=env,
                cwd=ROOT,
            )

    def tail(self) -> str:
        """Return the end of the log."""
        return self.log.read_text(errors='replace')[-3000:]

    def kill(self) -> None:
        """Kill the process at once."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(20)

    def stop(self) -> int:
        """Send SIGTERM and wait for the end."""
        self.process.terminate()
        return self.process.wait(20)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)


class Deployment(MachineSite):
    """The stand-ins of the project, and processes as they are deployed."""

    bounds = BOUNDS

    def __init__(
        self, folder: Path, replicas: int, slots: int, record: Record
    ) -> None:
        """Create the stand-ins; ``record`` gets what the servers run."""
        super().__init__(folder, replicas, slots)
        for replica in self.replicas:
            replica.record = record  # type: ignore

    def make_replica(self, replica_id: str, slots: int) -> MachineReplica:
        """Return a server that records what it runs."""
        return RecordedReplica(replica_id, slots)

    def spawn_entry(self, name: str) -> None:
        """Start or restart a process without waiting for readiness."""
        path = self.folder / f'{name}.yaml'
        if name not in self.addresses:
            template = (ROOT / 'deploy' / 'entry.yaml').read_text()
            path.write_text(render(template, self._fields(name)))
        self.entries[name] = Entry(name, path, self.folder)  # type: ignore

    def ask(
        self,
        name: str,
        method: str,
        target: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        wait_s: float = 6,
    ) -> tuple[int, bytes]:
        """Call a process; the status is 0 without a complete answer."""
        conn = HTTPConnection(*self.addresses[name], timeout=wait_s)
        sent = {'Host': HOST, **(headers or {})}
        with contextlib.closing(conn):
            try:
                conn.request(method, target, body, sent)
                resp = conn.getresponse()
                return resp.status, resp.read()
            except (OSError, HTTPException):
                return 0, b''

    def submit_items(
        self, name: str, job_id: str, items: list[tuple[str, str]]
    ) -> int:
        """Submit a batch job of items with an id and a body."""
        listed = [
            {
                'id': item_id,
                'path': f'/lots/{job_id}/{number}',
                'headers': {'X-Model': 'm', 'X-Token-Usage': '540,400'},
                'body': base64.b64encode(body.encode()).decode(),
                'tokens': 940,
            }
            for number, (item_id, body) in enumerate(items)
        ]
        raw = json.dumps({'items': listed}).encode()
        headers = {'X-Attempt-Id': job_id, 'Content-Type': 'application/json'}
        return self.ask(name, 'POST', f'/lots/{job_id}', raw, headers)[0]

    def listed_results(self, name: str, job_id: str) -> dict[str, Any]:
        """Return the results by item id, read as a client reads them."""
        found: dict[str, Any] = {}
        while True:
            target = f'/api/lots/{job_id}?after={len(found)}'
            status, raw = self.ask(name, 'GET', target)
            page = json.loads(raw)['results'] if status == 200 else []
            if not page:
                return found
            found.update({each['id']: each for each in page})

    def events(self, name: str, *kinds: str) -> list[dict[str, Any]]:
        """Return the log lines of a process that are of certain kinds."""
        found = []
        for text in self.entries[name].log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                line = json.loads(text)
                if line.get('event') in kinds:
                    found.append(line)
        return found

    def _fields(self, name: str) -> dict[str, Any]:
        self.addresses[name] = self._ports.reserve()
        link = Forwarder(self._store_address)
        self.store_links[name] = link
        address: Address = link.start()
        ports = [self._ports.reserve().port for _ in range(2)]
        return {
            'node_name': name,
            'zone': 'z',
            'ip': '127.0.0.1',
            'listen': {
                'front': str(self.addresses[name]),
                'ready': str(self._ports.reserve()),
            },
            'internal_ports': ports,
            'bounds': self.bounds,
            'platform': {'address': str(address)},
        }


def run_case(
    play: Callable[[Deployment, Record], int],
    replicas: int,
    slots: int,
    where: str,
) -> None:
    """Play a case and exit with its verdict, or with CANNOT_RUN.

    ``where`` is the file of the case, beside which the record is written.
    """
    record = Record(Path(where).with_name('record.txt'))
    with tempfile.TemporaryDirectory() as folder:
        site = Deployment(Path(folder), replicas, slots, record)
        try:
            verdict = play(site, record)
        except NotReady as exc:
            sys.stderr.write(f'cannot run: {exc}\n')
            verdict = CANNOT_RUN
        finally:
            site.stop()
    record.line('verdict', verdict)
    sys.stdout.flush()
    os._exit(verdict)


__all__ = [
    'BROKEN',
    'CANNOT_RUN',
    'HELD',
    'HOST',
    'TROUBLE',
    'Deployment',
    'Record',
    'run_case',
    'wait_for',
]
