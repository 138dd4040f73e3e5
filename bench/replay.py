"""Replays a trace through real processes under a policy."""

import tempfile
import time
from pathlib import Path
from types import MappingProxyType
from typing import Any, NamedTuple

import gevent

from bench.caller import Caller
from bench.outcomes import Answer, Outcome
from bench.trace import Event, Trace
from standins.fleet_plan import FleetPlan
from standins.local_fleet import ADMIN, YAZMAN, LocalFleet
from tests.jobs_client import submit_to

TOKEN = MappingProxyType({'Authorization': 'Bearer demo'})
SAMPLE_S = 0.5
SLOW_SPEED = MappingProxyType({'step_s': 0.03})
GRACE_S = 3
UNLIMITED_CALLS = 1_000_000


class Policy(NamedTuple):
    """A named set of start settings and of event kinds to replay."""

    name: str
    entry: dict[str, Any]
    sidecar: dict[str, Any]
    batch: bool = True
    online: bool = True


NAIVE_ENTRY = MappingProxyType(
    {
        'picker': 'round_robin',
        'retries': 'thrice',
        'outliers': 'trust',
        'spans': 'first_come',
    },
)
OURS = Policy('ours', {}, {})
NAIVE = Policy('naive', dict(NAIVE_ENTRY), {'batch': 'fill', 'limit': 'fixed'})
NO_BATCH = Policy('ours, no batch', {}, {}, batch=False)
NO_ONLINE = Policy('ours, no online', {}, {}, online=False)


class Replay:
    """Starts a fleet, replays a trace and collects the outcome."""

    def __init__(self, trace: Trace, policy: Policy) -> None:
        """Create a replay of ``trace`` under ``policy``."""
        self.trace = trace
        self.policy = policy
        self._answers: list[Answer] = []
        self._jobs: list[tuple[Event, str, float]] = []
        self._curve: list[tuple[float, int]] = []

    def run(self) -> Outcome:
        """Run the replay and return its outcome."""
        with tempfile.TemporaryDirectory() as folder:
            fleet = LocalFleet(Path(folder), self._plan())
            try:
                fleet.start()
                return self._play(fleet)
            finally:
                fleet.kill_all()

    def _plan(self) -> FleetPlan:
        slow = {1: dict(SLOW_SPEED)} if self.trace.slow_replica else {}
        return FleetPlan(
            sidecars=self.trace.replicas,
            entry_extra={
                'policy': self.policy.entry,
                'batch': {'chunk_items': 16, 'scan_s': 0.25, 'lease_s': 5},
            },
            sidecar_extra={'policy': self.policy.sidecar},
            engine_speeds=slow,
        )

    def _play(self, fleet: LocalFleet) -> Outcome:
        names = fleet.names_of_kind('entry')
        caller = Caller([fleet.addresses[name] for name in names])
        before = self._counters(fleet)
        began = time.monotonic()
        sampler = gevent.spawn(self._sample, fleet, began)
        played = [
            gevent.spawn_later(
                event.at, self._handle_event, fleet, caller, event
            )
            for event in self.trace.events
            if self._wanted(event)
        ]
        self._began = began
        gevent.sleep(self.trace.seconds)
        seconds = time.monotonic() - began
        after = self._counters(fleet)
        tokens = self._batch_tokens(fleet)
        sampler.kill()
        gevent.joinall(played, timeout=GRACE_S + 10)
        met, missed = self._count_due(fleet)
        return Outcome(
            trace=self.trace.name,
            policy=self.policy.name,
            answers=tuple(self._answers),
            batch_tokens=tokens,
            generated=after['generated'] - before['generated'],
            attempts=self._attempts(fleet),
            redone=self._redone(fleet),
            due_met=met,
            due_missed=missed,
            seconds=seconds,
            batch_curve=tuple(self._curve),
        )

    def _wanted(self, event: Event) -> bool:
        if event.kind == 'job':
            return self.policy.batch
        return event.kind != 'online' or self.policy.online

    def _handle_event(
        self, fleet: LocalFleet, caller: Caller, event: Event
    ) -> None:
        if event.kind == 'online':
            self._answers.append(caller.send(event, self._began))
            return
        handlers = {
            'job': self._submit,
            'lose': _kill_replica,
            'return': _restart_replica,
            'cut': _add_cut_fault,
            'mend': _clear_faults,
        }
        handlers[event.kind](fleet, event)

    def _submit(self, fleet: LocalFleet, event: Event) -> None:
        texts = [f'{event.at} {number}' for number in range(event.items)]
        window = f'{event.due_s}s' if event.due_s else '24h'
        job = submit_to(
            f'{fleet.url("entry-0")}/v1',
            texts,
            event.tokens,
            window,
        )
        self._jobs.append((event, job, time.time()))

    def _sample(self, fleet: LocalFleet, began: float) -> None:
        while True:
            gevent.sleep(SAMPLE_S)
            found = self._counters(fleet)['generated']
            self._curve.append((time.monotonic() - began, found))

    def _counters(self, fleet: LocalFleet) -> dict[str, int]:
        total = 0
        for name in fleet.names_of_kind('engine'):
            try:
                found = fleet.call(name, '/load', method='GET')[1]
            except OSError:
                continue
            total += found['generated']
        return {'generated': total}

    def _redone(self, fleet: LocalFleet) -> float:
        """Return the share of executions that repeat a prompt."""
        begun = 0
        prompts = set()
        for name in fleet.names_of_kind('engine'):
            path = '/control/executions'
            found = fleet.call(name, path, method='GET')[1]['executions']
            fresh = [each for each in found if not each['resumed']]
            begun += len(fresh)
            prompts.update(each['prompt'] for each in fresh)
        return 1 - len(prompts) / max(1, begun)

    def _batch_tokens(self, fleet: LocalFleet) -> int:
        total = 0
        for event, job, _ in self._jobs:
            counts = self._get_job(fleet, job)['request_counts']
            total += event.tokens * counts['completed']
        return total

    def _get_job(self, fleet: LocalFleet, job: str) -> Any:
        path = f'/v1/batches/{job}'
        return fleet.call('entry-0', path, None, TOKEN, 'GET')[1]

    def _count_due(self, fleet: LocalFleet) -> tuple[int, int]:
        met = 0
        missed = 0
        for event, job, accepted in self._jobs:
            if not event.due_s:
                continue
            details = self._get_job(fleet, job)
            finished = details['completed_at']
            in_time = finished and finished <= accepted + event.due_s
            met += int(bool(in_time))
            missed += int(not in_time)
        return met, missed

    def _attempts(self, fleet: LocalFleet) -> float:
        """Return the mean number of dispatches per online request."""
        attempts = float(0)
        retries = float(0)
        for name in fleet.names_of_kind('entry'):
            raw = fleet.http.send(
                fleet.addresses[name],
                '/metrics',
                b'',
                dict(ADMIN),
                'GET',
            ).read()
            attempts += _counter(raw, b'cr_requests_total')
            retries += _counter(raw, b'cr_retries_total')
        return 1 + retries / max(1, attempts)


def _kill_replica(fleet: LocalFleet, event: Event) -> None:
    for name in (f'sidecar-{event.target}', f'engine-{event.target}'):
        fleet.processes[name].kill()


def _restart_replica(fleet: LocalFleet, event: Event) -> None:
    fleet.start_engine(event.target)
    fleet.start_sidecar(event.target)


def _add_cut_fault(fleet: LocalFleet, event: Event) -> None:
    fault = {'kind': 'cut', 'match': '', 'count': UNLIMITED_CALLS}
    fleet.call(f'engine-{event.target}', '/control/faults', fault)


def _clear_faults(fleet: LocalFleet, event: Event) -> None:
    name = f'engine-{event.target}'
    fleet.call(name, '/control/faults', method='DELETE')


def _counter(raw: bytes, name: bytes) -> float:
    lines = [line for line in raw.splitlines() if line.startswith(name)]
    wanted = [line for line in lines if YAZMAN.encode() in line]
    return sum(float(line.rpartition(b' ')[-1]) for line in wanted)
