"""Sends one online request and times its tokens."""

import time
from types import MappingProxyType
from typing import Any

from geventhttpclient.response import HTTPParseError

from bench.outcomes import Answer
from bench.trace import Event
from cactusridge import wire
from cactusridge.http.client import Address, Clients

IO_ERRORS = (OSError, HTTPParseError)
TOKEN = MappingProxyType({'Authorization': 'Bearer demo'})
PATH = '/v1/chat/completions'
WORDS = 'satır '


class Caller:
    """Calls entries in turn, as callers behind a balancer do."""

    def __init__(self, entries: list[Address]) -> None:
        """Call ``entries``."""
        self._entries = entries
        self._clients = Clients(2, 30)
        self._turn = 0

    def send(self, event: Event, began: float) -> Answer:
        """Stream one answer; return its times."""
        self._turn += 1
        address = self._entries[self._turn % len(self._entries)]
        sent = time.monotonic()
        stamps: list[float] = []
        try:
            outcome = self._stream(address, event, stamps)
        except IO_ERRORS:
            outcome = 'broken'
        first_s = stamps[0] - sent if stamps else 0
        gaps = tuple(
            after - before
            for before, after in zip(stamps, stamps[1:], strict=False)
        )
        return Answer(sent - began, first_s, gaps, outcome)

    def _stream(
        self,
        address: Address,
        event: Event,
        stamps: list[float],
    ) -> str:
        headers = {**TOKEN, 'X-Deadline-S': str(event.deadline_s)}
        raw = wire.encode(message_of(event))
        resp = self._clients.send(address, PATH, raw, headers)
        if resp.status_code != 200:
            resp.read()
            return str(resp.status_code)
        while line := resp.readline(b'\n\n'):
            if line.startswith(b'data: [DONE]'):
                resp.read()
                return 'whole'
            if line.startswith(b'data: {"error'):
                return 'error'
            if line.startswith(b'data: '):
                stamps.append(time.monotonic())
        return 'short'


def message_of(event: Event) -> dict[str, Any]:
    """Return a request whose prompt begins as its group's does."""
    prefix = f'group {event.group} '.ljust(600, '.')
    own = f'{event.at} {WORDS * (event.prompt_tokens // 6)}'
    return {
        'model': 'yazman',
        'messages': [{'role': 'user', 'content': f'{prefix}{own}'}],
        'max_tokens': event.tokens,
        'stream': True,
    }
