"""Simulated timing of an engine that does continuous batching."""

from collections import OrderedDict, deque
from typing import Any, NamedTuple

import gevent
from gevent.event import Event
from gevent.queue import Queue

MAX_RETAINED = 256


class EngineSpeed(NamedTuple):
    """Timing of the engine in seconds, and its limits.

    A step takes ``step_s`` plus ``per_stream_s`` for each running stream,
    plus ``prefill_token_s`` for each prompt character to prefill.
    """

    slots: int = 8
    step_s: float = 0.004
    per_stream_s: float = 0.0005
    prefill_token_s: float = 0.00002
    cache_prefixes: int = 64
    prefix_chars: int = 256


class Stream:
    """One request in the engine; ``generated_tokens`` counts its tokens."""

    def __init__(self, stream_id: str, prompt: str, tokens: int) -> None:
        """Create a stream of ``tokens`` tokens for ``prompt``."""
        self.id = stream_id
        self.prompt = prompt
        self.tokens = tokens
        self.generated_tokens = 0
        self.out: Queue = Queue()
        self.ended = Event()


class ContinuousBatch:
    """Admits streams in arrival order; each step adds a token to each."""

    def __init__(self, speed: EngineSpeed) -> None:
        """Create an empty batch with the timing ``speed``."""
        self.speed = speed
        self.waiting: deque[Stream] = deque()
        self.running: list[Stream] = []
        self.retained: OrderedDict[str, int] = OrderedDict()
        self.prefixes: OrderedDict[str, None] = OrderedDict()
        self.hits = 0
        self.generated = 0
        self._work = Event()

    def add(self, stream: Stream, resume: bool) -> None:
        """Queue ``stream``; ``resume`` continues after its last token."""
        if resume:
            stream.generated_tokens = self.retained.pop(stream.id, 0)
        self.waiting.append(stream)
        self._work.set()

    def remove(self, stream: Stream) -> None:
        """End ``stream`` and remember its token count for a resumption."""
        stream.ended.set()
        self.retained[stream.id] = stream.generated_tokens
        if len(self.retained) > MAX_RETAINED:
            self.retained.popitem(last=False)

    def crash(self) -> None:
        """Drop all streams and caches, as an engine that crashes does."""
        for stream in (*self.running, *self.waiting):
            stream.ended.set()
        self.running = []
        self.waiting.clear()
        self.prefixes.clear()
        self.retained.clear()

    def run(self) -> None:
        """Run steps forever, and wait while there are no streams."""
        while True:
            if not self.running and not self.waiting:
                self._work.clear()
                self._work.wait()
            gevent.sleep(self._step_time(self._admit()))
            self._advance()

    def load(self) -> dict[str, Any]:
        """Return the counts of streams and of generated tokens."""
        return {
            'running': len(self.running),
            'waiting': len(self.waiting),
            'generated': self.generated,
        }

    def _admit(self) -> float:
        prefill_s = float(0)
        while self.waiting and len(self.running) < self.speed.slots:
            stream = self.waiting.popleft()
            if stream.ended.is_set():
                continue
            self.running.append(stream)
            prefill_s += self._prefill(stream)
        return prefill_s

    def _prefill(self, stream: Stream) -> float:
        if stream.generated_tokens:
            return 0
        prefix = stream.prompt[: self.speed.prefix_chars]
        length = len(stream.prompt)
        if prefix in self.prefixes:
            self.hits += 1
            length -= len(prefix)
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        if len(self.prefixes) > self.speed.cache_prefixes:
            self.prefixes.popitem(last=False)
        return length * self.speed.prefill_token_s

    def _step_time(self, prefill_s: float) -> float:
        streams_s = len(self.running) * self.speed.per_stream_s
        return self.speed.step_s + streams_s + prefill_s

    def _advance(self) -> None:
        self.running = [
            stream for stream in self.running if not stream.ended.is_set()
        ]
        for stream in self.running:
            stream.generated_tokens += 1
            self.generated += 1
            stream.out.put(stream.generated_tokens)
        self.running = [
            stream
            for stream in self.running
            if stream.generated_tokens < stream.tokens
        ]
