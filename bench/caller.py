"""A client that sends online requests and times their tokens."""

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
PROMPT_WORD = 'satır '


class Caller:
    """Calls entries in turn, as callers behind a load balancer do."""

    def __init__(self, entries: list[Address]) -> None:
        """Create a client that calls ``entries``."""
        self._entries = entries
        self._clients = Clients(2, 30)
        self._turn = 0

    def send(self, event: Event, trace_start: float) -> Answer:
        """Stream one response and return its times.

        ``trace_start`` is the start of the trace in monotonic seconds.
        """
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
        return Answer(sent - trace_start, first_s, gaps, outcome)

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
    """Return the request body; its prompt has the prefix of its group."""
    prefix = f'group {event.group} '.ljust(600, '.')
    own = f'{event.at} {PROMPT_WORD * (event.prompt_tokens // 6)}'
    return {
        'model': 'yazman',
        'messages': [{'role': 'user', 'content': f'{prefix}{own}'}],
        'max_tokens': event.tokens,
        'stream': True,
    }
