"""Stand-in for a model engine with continuous batching."""

import asyncio
import os
import time
from collections import Counter, OrderedDict, deque
from collections.abc import AsyncIterator, Mapping
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec
import xxhash

from gentiantrestle.http.messages import (
    EVENT_STREAM,
    Request,
    Response,
    json_response,
)
from standins.engine_bodies import (
    completion_document,
    endless_body,
    read_prompt,
    trickled_event,
)

MAX_BODY = 16777216  # bytes
DEFAULT_TOKENS = 16
VOCABULARY = 1000
LOAD_LAG = 1.0  # seconds until /load shows a sample
# Extra time of a step with all slots in use, as a share of an empty step.
OCCUPANCY_COST = 1.0
PREFIX_LENGTH = 64  # characters
DONE = b'data: [DONE]\n\n'
POISON = 'poison'  # a prompt with it fails
CRASH = 'crash'  # a prompt with it ends the engine
CRASH_DELAY = 0.02  # seconds
ENGINE_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR
STALE_TOKEN = HTTPStatus.CONFLICT
COMPLETIONS = frozenset(('/v1/completions', '/v1/chat/completions'))


class EngineConfig(NamedTuple):
    """Size and speed of the engine.

    ``slots`` is the number of requests that run at once, and
    ``cached_prefixes`` the number of prefixes that the cache keeps. ``step``
    is the time of a step with an empty batch, and ``prefill`` the time for
    each character of a prompt whose prefix isn't cached, both in seconds.
    With ``checks_fencing``, orders with a stale fencing token are refused.
    """

    slots: int = 16
    step: float = 0.005
    prefill: float = 0.00002
    cached_prefixes: int = 256
    checks_fencing: bool = True


class LoadSample(NamedTuple):
    """Load at a monotonic time; ``/load`` shows it ``LOAD_LAG`` later."""

    sampled_at: float
    load: dict[str, int]


class Stream:
    """One request inside the engine."""

    def __init__(self, body: Mapping[str, Any]) -> None:
        """Read the body; ``resume_from`` is the index of the first token."""
        self.prompt = read_prompt(body)
        self.max_tokens = int(body.get('max_tokens', DEFAULT_TOKENS))
        self.produced = int(body.get('resume_from', 0))
        self.ready_at = float(0)
        self.cancelled = False
        self.tokens: asyncio.Queue[int | None] = asyncio.Queue()

    def step(self) -> bool:
        """Produce one token; return whether more are to come."""
        if self.cancelled:
            return False
        if self.produced < self.max_tokens:
            self.tokens.put_nowait(self.produced)
            self.produced += 1
        if self.produced >= self.max_tokens:
            self.tokens.put_nowait(None)
            return False
        return True


class EngineStandin:
    """Queues requests for free slots and steps the running ones together.

    ``POST /control`` sets the faults: ``slow`` multiplies the time of a step,
    ``cut_after`` cuts each stream after so many tokens and ``cut_inside`` bytes
    of the next event, ``leaving``, an incarnation, makes the engine refuse
    requests with ``X-Leaving``. ``endless`` makes it send errors without end,
    and ``trickle`` events without end, a byte now and then.
    """

    def __init__(self, cfg: EngineConfig) -> None:
        """Start with an empty batch and a cold cache."""
        self._cfg = cfg
        self._slowdown = 1.0
        self._running: list[Stream] = []
        self._waiting: deque[Stream] = deque()
        self._arrived = asyncio.Event()
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._load_samples: deque[LoadSample] = deque()
        self._runs: Counter[str] = Counter()
        self._fencing_token = 0
        self._stream_steps = 0
        self._refused = 0
        self._orders: list[dict[str, Any]] = []
        self._cut_after: int | None = None
        self._cut_inside = 0
        self._leaving_incarnation: int | None = None
        self._endless = False
        self._trickle = False

    @classmethod
    def from_config(cls, cfg: Mapping[str, str]) -> 'EngineStandin':
        """Read ``slots=``, ``step=``, ``prefill=`` and the like."""
        return cls(
            msgspec.convert(
                [
                    msgspec.convert(
                        cfg.get(name, default),
                        type(default),
                        strict=False,
                    )
                    for name, default in EngineConfig()._asdict().items()
                ],
                EngineConfig,
            )
        )

    async def run(self) -> None:
        """Step the running batch until cancelled."""
        while True:
            if not self._running and not self._waiting:
                self._arrived.clear()
                await self._arrived.wait()
            self._admit()
            occupancy = len(self._running) / self._cfg.slots
            step_time = self._cfg.step * (1 + OCCUPANCY_COST * occupancy)
            await asyncio.sleep(step_time * self._slowdown)
            now = time.monotonic()
            self._stream_steps += len(self._running)
            self._running = [
                stream
                for stream in self._running
                if stream.ready_at > now or stream.step()
            ]
            self._add_load_sample(now)

    async def handle(self, req: Request) -> Response:
        """Answer one request."""
        if req.path in COMPLETIONS:
            chat = req.path.startswith('/v1/chat')
            return await self._complete(await req.read_json(MAX_BODY), chat)
        if req.path == '/control':
            return await self._control(req)
        if req.path == '/orders':
            return self._accept_order(await req.read_json(MAX_BODY))
        if req.path == '/load':
            return json_response(self._delayed_load())
        return json_response(
            {
                'runs': self._runs,
                'orders': self._orders,
                'made': self._stream_steps,
                'refused': self._refused,
            }
        )

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._cfg.slots:
            stream = self._waiting.popleft()
            if not stream.cancelled:
                stream.ready_at = time.monotonic() + self._prefill(stream)
                self._running.append(stream)

    def _prefill(self, stream: Stream) -> float:
        prefix = xxhash.xxh64_intdigest(
            stream.prompt[:PREFIX_LENGTH].encode(),
        )
        cached = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self._cfg.cached_prefixes:
            self._prefixes.popitem(last=False)
        return 0 if cached else self._cfg.prefill * len(stream.prompt)

    async def _complete(
        self,
        body: Mapping[str, Any],
        chat: bool,
    ) -> Response:
        if self._leaving_incarnation is not None:
            self._refused += 1
            leaving_header = (('X-Leaving', str(self._leaving_incarnation)),)
            return Response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                b'{}',
                headers=leaving_header,
            )
        if self._endless:
            return Response(ENGINE_ERROR, endless_body())
        if self._trickle:
            return Response(HTTPStatus.OK, trickled_event(), EVENT_STREAM)
        stream = Stream(body)
        self._runs[stream.prompt] += 1
        if POISON in stream.prompt:
            return json_response(
                {'error': 'prompt contains the word poison'}, ENGINE_ERROR
            )
        if CRASH in stream.prompt:
            asyncio.get_running_loop().call_later(CRASH_DELAY, os._exit, 1)
        self._waiting.append(stream)
        self._arrived.set()
        if body.get('stream'):
            return Response(
                HTTPStatus.OK, self._events(stream, chat), EVENT_STREAM
            )
        texts = [text async for text in _token_texts(stream)]
        return json_response(
            completion_document(''.join(texts), len(texts), chat)
        )

    async def _events(
        self,
        stream: Stream,
        chat: bool,
    ) -> AsyncIterator[bytes]:
        sent = 0
        try:
            async for text in _token_texts(stream):
                chunk = msgspec.json.encode(
                    completion_document(text, 1, chat, 'delta')
                )
                if sent == self._cut_after:
                    yield (b'data: %b' % chunk)[: self._cut_inside]
                    raise ConnectionResetError(
                        'stream cut by the cut_after fault'
                    )
                sent += 1
                yield b'data: %b\n\n' % chunk
            yield DONE
        finally:
            stream.cancelled = True

    async def _control(self, req: Request) -> Response:
        body = await req.read_json(MAX_BODY)
        self._slowdown = float(body.get('slow', self._slowdown))
        self._cut_after = body.get('cut_after', self._cut_after)
        self._cut_inside = body.get('cut_inside', self._cut_inside)
        self._leaving_incarnation = body.get(
            'leaving', self._leaving_incarnation
        )
        self._endless = body.get('endless', self._endless)
        self._trickle = body.get('trickle', self._trickle)
        return json_response({'slow': self._slowdown})

    def _accept_order(self, order: dict[str, Any]) -> Response:
        fencing_token = int(order['fence'])
        if self._cfg.checks_fencing and fencing_token < self._fencing_token:
            return json_response({'error': 'stale fencing token'}, STALE_TOKEN)
        self._fencing_token = fencing_token
        self._orders.append(order)
        return json_response({'accepted': True})

    def _add_load_sample(self, now: float) -> None:
        load = {'running': len(self._running), 'waiting': len(self._waiting)}
        self._load_samples.append(LoadSample(now, load))

    def _delayed_load(self) -> dict[str, int]:
        cutoff = time.monotonic() - LOAD_LAG
        load = {'running': 0, 'waiting': 0}
        while self._load_samples and self._load_samples[0].sampled_at <= cutoff:
            load = self._load_samples.popleft().load
        return load


async def _token_texts(stream: Stream) -> AsyncIterator[str]:
    while True:
        index = await stream.tokens.get()
        if index is None:
            return
        yield token_text(stream.prompt, index)


def token_text(prompt: str, index: int) -> str:
    """Return token ``index`` of the answer to ``prompt``, always the same."""
    word = xxhash.xxh32_intdigest(f'{index}/{prompt}'.encode())
    word %= VOCABULARY
    return f' w{word}'
