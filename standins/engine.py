"""The engine stand-in: OpenAI-compatible HTTP over simulated batching."""

import contextlib
import hashlib
from collections.abc import Callable, Iterator
from typing import Any

import gevent
from gevent.queue import Empty

from cactusridge import wire
from cactusridge.errors import BadRequest, CactusridgeError, Conflict
from cactusridge.http.app import App, route
from cactusridge.http.exchange import Reply, Req, json_reply
from standins.close_connection import close_connection
from standins.engine_messages import chunk, completion, event, last_chunk
from standins.fault_control import FaultControl
from standins.faults import Fault, FaultKind, Faults, wait_out
from standins.model import ContinuousBatch, EngineSpeed, Stream

MAX_BODY = 1 << 26
BODY_TIMEOUT_S = 60
DEFAULT_TOKENS = 16
DIGEST_CHARS = 12
TOKEN_POLL_S = 0.05
CRASH_DELAY_S = 0.001
POISON = 'POISON'
ENDLESS = 'ENDLESS'
ENDLESS_TOKENS = 1 << 40
REFUSE = 'REFUSE'


class EngineCrashed(CactusridgeError):
    """The engine died while it worked on this request."""


class EngineStandIn:
    """Serves completions and records every execution that it starts."""

    def __init__(
        self,
        model: str,
        speed: EngineSpeed,
        checks_fencing: bool = False,
    ) -> None:
        """Serve ``model``; optionally reject outdated fencing numbers."""
        self.model = model
        self.batch = ContinuousBatch(speed)
        self.checks_fencing = checks_fencing
        self.faults = Faults()
        self.executions: list[dict[str, Any]] = []
        self.fences: dict[str, int] = {}
        self.streams: dict[str, Stream] = {}
        self.crashes = 0
        # Called when a prompt has crashed the engine.
        self.on_crash: Callable[[], None] | None = None
        gevent.spawn(self.batch.run)
        self.app = App(
            [
                route('POST', '/v1/chat/completions', self.complete),
                route('POST', '/v1/completions', self.complete),
                route('GET', '/v1/models', self.models),
                route('POST', '/v1/streams/(?P<name>.+)/cancel', self.cancel),
                route('GET', '/load', self.load),
                route('GET', '/control/executions', self.list_executions),
                *FaultControl(self.faults).routes(),
            ],
            MAX_BODY,
            BODY_TIMEOUT_S,
        )

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Serve one request, following the WSGI protocol."""
        return self.app(environ, start_response)

    def complete(self, req: Req) -> Reply:
        """Respond to a completion request, streamed or in one body."""
        raw = req.body()
        fault = self.faults.take(raw.decode())
        if fault is not None and fault.kind == FaultKind.cut:
            close_connection(req)
            raise EngineCrashed
        message = wire.decode(raw)
        self._check_fence(req)
        stream = self._stream(req, message)
        if fault is not None and fault.kind == FaultKind.slow:
            wait_out(fault)
        self.streams[stream.id] = stream
        self.batch.add(stream, bool(req.header('X-Resume')))
        if POISON in stream.prompt:
            gevent.spawn_later(CRASH_DELAY_S, self._crash)
        headers = [('X-Request-Id', self._response_id(stream, fault))]
        if message.get('stream'):
            headers.append(('Content-Type', 'text/event-stream'))
            events = self._events(req, stream, message, fault)
            return Reply(200, headers, events)
        return self._complete_reply(req, stream, message, fault, headers)

    def models(self, req: Req) -> Reply:
        """Return the list of models, which has one entry."""
        entry = {'id': self.model, 'object': 'model', 'owned_by': 'stand-in'}
        return json_reply({'object': 'list', 'data': [entry]})

    def cancel(self, req: Req, name: str) -> Reply:
        """Cancel a stream."""
        stream = self.streams.pop(name, None)
        if stream is not None:
            self.batch.remove(stream)
        return json_reply({'cancelled': stream is not None})

    def load(self, req: Req) -> Reply:
        """Return counts of streams, generated tokens and prefix cache hits."""
        return json_reply({**self.batch.load(), 'hits': self.batch.hits})

    def list_executions(self, req: Req) -> Reply:
        """Return a record of every execution that was started."""
        return json_reply({'executions': self.executions})

    def text(self, stream: Stream, number: int) -> str:
        """Return token ``number`` of the completion of the stream's prompt."""
        return f'{self.digest(stream.prompt)}-{number} '

    def digest(self, prompt: str) -> str:
        """Return the prefix of each token in the completion of ``prompt``."""
        whole = hashlib.sha256(prompt.encode()).hexdigest()
        return whole[:DIGEST_CHARS]

    def _crash(self) -> None:
        """Drop all streams and caches, as an engine that crashes does."""
        self.crashes += 1
        if self.on_crash is not None:
            self.on_crash()
        self.batch.crash()

    def _stream(self, req: Req, message: Any) -> Stream:
        prompt = self._prompt(message)
        if REFUSE in prompt:
            raise BadRequest('the engine does not take this prompt')
        tokens = message.get('max_tokens') or DEFAULT_TOKENS
        if ENDLESS in prompt:
            tokens = ENDLESS_TOKENS
        stream = Stream(req.header('X-Request-Id'), prompt, tokens)
        self._record(stream, req)
        return stream

    def _record(self, stream: Stream, req: Req) -> None:
        entry = {
            'id': stream.id,
            'prompt': stream.prompt,
            'resumed': bool(req.header('X-Resume')),
            'finished': False,
        }
        self.executions.append(entry)

    def _prompt(self, message: Any) -> str:
        if not isinstance(message, dict):
            raise BadRequest('the body is no object')
        parts = message.get('messages')
        if parts is not None:
            return ''.join(str(part.get('content')) for part in parts)
        return str(message.get('prompt', ''))

    def _check_fence(self, req: Req) -> None:
        resource = req.header('X-Fencing-Resource')
        if not (self.checks_fencing and resource):
            return
        number = int(req.header('X-Fencing-Number'))
        if number < self.fences.get(resource, 0):
            raise Conflict('an old fencing number')
        self.fences[resource] = number

    def _response_id(self, stream: Stream, fault: Fault | None) -> str:
        if fault is not None and fault.kind == FaultKind.cross:
            # Returns the complete response and the id of another request.
            stream.prompt = 'of another'
            return 'another'
        return stream.id

    def _tokens(self, req: Req, stream: Stream) -> Iterator[int]:
        try:
            while True:
                number = self._next_token(req, stream)
                yield number
                if number >= stream.tokens:
                    self._mark_finished(stream)
                    return
        finally:
            self.streams.pop(stream.id, None)
            if stream.generated_tokens < stream.tokens:
                self.batch.remove(stream)

    def _next_token(self, req: Req, stream: Stream) -> int:
        number = None
        while number is None:
            if stream.ended.is_set() or req.caller_disconnected():
                close_connection(req)
                raise EngineCrashed
            with contextlib.suppress(Empty):
                number = stream.out.get(timeout=TOKEN_POLL_S)
        return number

    def _mark_finished(self, stream: Stream) -> None:
        for entry in reversed(self.executions):
            if entry['id'] == stream.id:
                entry['finished'] = True
                return

    def _events(
        self,
        req: Req,
        stream: Stream,
        message: dict[str, Any],
        fault: Fault | None,
    ) -> Iterator[bytes]:
        for number in self._tokens(req, stream):
            yield event(chunk(message, self.text(stream, number)))
            _apply_response_fault(req, fault)
            if fault is not None and fault.kind == FaultKind.short:
                return
        if (message.get('stream_options') or {}).get('include_usage'):
            yield event(last_chunk(message, stream))
        yield b'data: [DONE]\n\n'

    def _complete_reply(
        self,
        req: Req,
        stream: Stream,
        message: dict[str, Any],
        fault: Fault | None,
        headers: list[tuple[str, str]],
    ) -> Reply:
        for _ in self._tokens(req, stream):
            gevent.sleep(0)
        numbers = range(1, stream.tokens + 1)
        text = ''.join(self.text(stream, number) for number in numbers)
        _apply_response_fault(req, fault)
        reply = json_reply(completion(message, text, stream))
        reply.headers.extend(headers)
        return reply


def _apply_response_fault(req: Req, fault: Fault | None) -> None:
    """Stall, or close the connection and raise EngineCrashed, by fault."""
    if fault is not None and fault.kind == FaultKind.lose_answer:
        close_connection(req)
        raise EngineCrashed
    if fault is not None and fault.kind == FaultKind.stall:
        gevent.sleep(fault.seconds)
