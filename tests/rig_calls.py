"""Calls of callers and operators to a fleet in one process."""

from typing import Any

import yaml

from cactusridge import wire
from cactusridge.http.client import Clients
from standins.local_fleet import DEMO
from tests.refusals import Refusals
from tests.served import Answer, Served

TOKEN = {'Authorization': 'Bearer demo'}
ADMIN = {'Authorization': 'Bearer admin'}


class RigCalls:
    """Sends calls to entries and records replies that report no run."""

    http: Clients
    refusals: Refusals
    entries: list[Served]
    engines: list[Served]
    plain: Served

    def seed(self) -> None:
        """Store the settings of the demo's teams and services."""
        nodes = yaml.safe_load((DEMO / 'settings.yaml').read_text())
        for path, raw in nodes.items():
            answer = self.set(path, raw, 0)
            assert answer.status == 200, answer

    def set(self, path: str, raw: Any, if_version: int) -> Answer:
        """Set the settings at ``path`` through the first entry."""
        message = {'raw': raw, 'if_version': if_version}
        url = f'/admin/settings{path}'
        return self.call(self.entries[0], url, message, ADMIN, 'PUT')

    def update(self, path: str, **fields: Any) -> Answer:
        """Change ``fields`` of the settings at ``path``."""
        url = f'/admin/settings{path}'
        found = self.call(self.entries[0], url, None, ADMIN, 'GET')
        assert found.status == 200, found
        raw = {**found.body['raw'], **fields}
        return self.set(path, raw, found.body['version'])

    def call(
        self,
        served: Served,
        path: str,
        message: Any = None,
        headers: Any = None,
        method: str = 'POST',
    ) -> Answer:
        """Send one call and return its status and body."""
        raw = message if isinstance(message, bytes) else wire.encode(message)
        sent = {**TOKEN, **(headers or {})}
        with self.http.send(served.address, path, raw, sent, method) as resp:
            body = resp.read()
            kind = resp.get('content-type') or ''
            found = wire.decode(body) if kind == 'application/json' else body
            answer = Answer(resp.status_code, found)
        self.refusals.note(path, raw, answer)
        return answer

    def ran_though_refused(self) -> list[bytes]:
        """Return requests that ran although a reply reported no run."""
        return self.refusals.ran(self.engines, self.plain.subject)

    def chat(
        self,
        text: str,
        entry: int = 0,
        headers: Any = None,
        **fields: Any,
    ) -> Answer:
        """Send one chat completion."""
        message = {
            'model': 'yazman',
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': 4,
            **fields,
        }
        path = '/v1/chat/completions'
        return self.call(self.entries[entry], path, message, headers)

    def executions(self, text: str) -> list[dict[str, Any]]:
        """Return the engines' executions of prompts with ``text``."""
        return [
            each
            for engine in self.engines
            for each in engine.subject.executions
            if text in each['prompt']
        ]
