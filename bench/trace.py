"""The trace format and its files of JSON lines, one event per line."""

from pathlib import Path
from typing import NamedTuple

from cactusridge import wire


class Event(NamedTuple):
    """An event ``at`` seconds after the start of the trace.

    ``kind`` is ``online`` (a streamed request), ``job`` (a batch job of
    ``items``) or the name of a fault at the replica number ``target``.
    """

    at: float
    kind: str = 'online'
    group: int = 0
    prompt_tokens: int = 100
    tokens: int = 32
    deadline_s: float = 10
    repeatable: bool = True
    items: int = 0
    due_s: int = 0
    target: int = 0


class Trace(NamedTuple):
    """A named trace: its length, its events and the fleet it needs."""

    name: str
    seconds: float
    events: tuple[Event, ...]
    replicas: int = 4
    slow_replica: bool = False
    objective: str = ''


def save_trace(trace: Trace, folder: Path) -> Path:
    """Write the events as JSON lines and return the path."""
    path = folder / f'{trace.name}.jsonl'
    lines = [wire.encode(event._asdict()) for event in trace.events]
    path.write_bytes(b'\n'.join(lines))
    return path


def load_trace(path: Path, trace: Trace) -> Trace:
    """Return a copy of ``trace`` with the events in ``path``."""
    lines = path.read_bytes().splitlines()
    events = tuple(Event(**wire.decode(line)) for line in lines)
    return trace._replace(events=events)
