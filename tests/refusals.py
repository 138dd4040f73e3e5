"""Checks that what was said not to have run has not run."""

from collections.abc import Iterable
from typing import Any

from tests.served import Answer, Served, prompt_of


class Refusals:
    """Remembers what was refused as not run, over a whole test."""

    def __init__(self) -> None:
        """Start with none."""
        self._refused: list[tuple[str, bytes]] = []

    def note(self, path: str, raw: bytes, answer: Answer) -> None:
        """Remember a request that was said not to have run."""
        error = (
            answer.body.get('error') if hasattr(answer.body, 'get') else None
        )
        if isinstance(error, dict) and error['not_run']:
            self._refused.append((path, raw))

    def ran(self, engines: Iterable[Served], plain: Any) -> list[bytes]:
        """Return requests said not to have run that the upstreams have."""
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
