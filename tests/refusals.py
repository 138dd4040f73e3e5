"""Checks that requests reported as not run were not executed."""

from collections.abc import Iterable
from typing import Any

from tests.served import Answer, Served, prompt_of


class Refusals:
    """Records the requests of a test that were refused as not run."""

    def __init__(self) -> None:
        """Start without recorded requests."""
        self._refused: list[tuple[str, bytes]] = []

    def note(self, path: str, raw: bytes, answer: Answer) -> None:
        """Record a request if its error has ``not_run`` set."""
        error = (
            answer.body.get('error') if hasattr(answer.body, 'get') else None
        )
        if isinstance(error, dict) and error['not_run']:
            self._refused.append((path, raw))

    def ran(self, engines: Iterable[Served], plain: Any) -> list[bytes]:
        """Return the bodies of recorded requests that an upstream executed.

        Each recorded request was reported as not run, so the list must be
        empty.
        """
        calls = {call['body'] for call in plain.calls}
        prompts = {
            each['prompt']
            for engine in engines
            for each in engine.subject.executions
        }
        return [
            raw
            for path, raw in self._refused
            if (path.startswith('/services') and raw.decode() in calls)
            or (path.startswith('/v1/chat') and prompt_of(raw) in prompts)
        ]
