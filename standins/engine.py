"""Stand-in for a model engine that batches continuously."""

import asyncio
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

MAX_BODY = 16777216  # bytes
DEFAULT_TOKENS = 16
VOCABULARY = 1000
REPORT_LAG = 1.0  # seconds
OCCUPANCY_COST = 1.0
PREFIX_LENGTH = 64  # characters
DONE = b'data: [DONE]\n\n'
POISON = 'poison'
BROKEN = HTTPStatus.INTERNAL_SERVER_ERROR
OLD_FENCE = HTTPStatus.CONFLICT
COMPLETIONS = frozenset(('/v1/completions', '/v1/chat/completions'))


class EngineConfig(NamedTuple):
    """Size and speed of the engine."""

    slots: int = 16
    step: float = 0.005
    prefill: float = 0.00002
    cached_prefixes: int = 256
    checks_fencing: bool = True


class Report(NamedTuple):
    """Load at a time, told only after a while."""

    at: float
    load: dict[str, int]


class Stream:
    """One request inside the engine."""

    def __init__(self, body: Mapping[str, Any]) -> None:
        """Take prompt and length; resume after the tokens that are known."""
        self.prompt = _prompt(body)
        self.wanted = int(body.get('max_tokens', DEFAULT_TOKENS))
        self.produced = int(body.get('resume_from', 0))
        self.ready = float(0)
        self.cancelled = False
        self.tokens: asyncio.Queue[int | None] = asyncio.Queue()

    def step(self) -> bool:
        """Make one token; tell whether the stream goes on."""
        if self.cancelled:
            return False
        if self.produced < self.wanted:
            self.tokens.put_nowait(self.produced)
            self.produced += 1
        if self.produced >= self.wanted:
            self.tokens.put_nowait(None)
            return False
        return True


class EngineStandin:
    """Admits requests as they come and steps all of them together."""

    def __init__(self, cfg: EngineConfig) -> None:
        """Start with an empty batch and a cold cache."""
        self._cfg = cfg
        self._slow = 1.0
        self._running: list[Stream] = []
        self._waiting: deque[Stream] = deque()
        self._arrived = asyncio.Event()
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._reports: deque[Report] = deque()
        self._runs: Counter[str] = Counter()
        self._fence = 0
        self._made = 0
        self._refused = 0
        self._orders: list[dict[str, Any]] = []
        self._cut_after: int | None = None
        self._leaving: int | None = None

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
        """Step the running batch for ever."""
        while True:
            if not self._running and not self._waiting:
                self._arrived.clear()
                await self._arrived.wait()
            self._admit()
            share = len(self._running) / self._cfg.slots
            pace = self._cfg.step * (1 + OCCUPANCY_COST * share)
            await asyncio.sleep(pace * self._slow)
            now = time.monotonic()
            self._made += len(self._running)
            self._running = [
                stream
                for stream in self._running
                if stream.ready > now or stream.step()
            ]
            self._report(now)

    async def handle(self, req: Request) -> Response:
        """Answer one call."""
        if req.path in COMPLETIONS:
            chat = req.path.startswith('/v1/chat')
            return await self._complete(await req.read_json(MAX_BODY), chat)
        if req.path == '/control':
            return await self._control(req)
        if req.path == '/orders':
            return self._order(await req.read_json(MAX_BODY))
        if req.path == '/load':
            return json_response(self._lagging_load())
        return json_response(
            {
                'runs': self._runs,
                'orders': self._orders,
                'made': self._made,
                'refused': self._refused,
            }
        )

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._cfg.slots:
            stream = self._waiting.popleft()
            if not stream.cancelled:
                stream.ready = time.monotonic() + self._prefill(stream)
                self._running.append(stream)

    def _prefill(self, stream: Stream) -> float:
        prefix = xxhash.xxh64_intdigest(
            stream.prompt[:PREFIX_LENGTH].encode(),
        )
        known = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self._cfg.cached_prefixes:
            self._prefixes.popitem(last=False)
        return 0 if known else self._cfg.prefill * len(stream.prompt)

    async def _complete(
        self,
        body: Mapping[str, Any],
        chat: bool,
    ) -> Response:
        if self._leaving is not None:
            self._refused += 1
            mark = (('X-Leaving', str(self._leaving)),)
            return Response(
                HTTPStatus.SERVICE_UNAVAILABLE,
                b'{}',
                headers=mark,
            )
        stream = Stream(body)
        self._runs[stream.prompt] += 1
        if POISON in stream.prompt:
            return json_response({'error': 'this prompt never works'}, BROKEN)
        self._waiting.append(stream)
        self._arrived.set()
        if body.get('stream'):
            return Response(
                HTTPStatus.OK, self._events(stream, chat), EVENT_STREAM
            )
        text = [part async for part in _texts(stream)]
        return json_response(_describe(''.join(text), len(text), chat))

    async def _events(
        self,
        stream: Stream,
        chat: bool,
    ) -> AsyncIterator[bytes]:
        sent = 0
        try:
            async for text in _texts(stream):
                if sent == self._cut_after:
                    raise ConnectionResetError('cut as asked')
                sent += 1
                chunk = msgspec.json.encode(_describe(text, 1, chat, 'delta'))
                yield b'data: %b\n\n' % chunk
            yield DONE
        finally:
            stream.cancelled = True

    async def _control(self, req: Request) -> Response:
        body = await req.read_json(MAX_BODY)
        self._slow = float(body.get('slow', self._slow))
        self._cut_after = body.get('cut_after', self._cut_after)
        self._leaving = body.get('leaving', self._leaving)
        return json_response({'slow': self._slow})

    def _order(self, order: dict[str, Any]) -> Response:
        fence = int(order['fence'])
        if self._cfg.checks_fencing and fence < self._fence:
            return json_response({'error': 'old fencing number'}, OLD_FENCE)
        self._fence = fence
        self._orders.append(order)
        return json_response({'accepted': True})

    def _report(self, now: float) -> None:
        load = {'running': len(self._running), 'waiting': len(self._waiting)}
        self._reports.append(Report(now, load))

    def _lagging_load(self) -> dict[str, int]:
        horizon = time.monotonic() - REPORT_LAG
        load = {'running': 0, 'waiting': 0}
        while self._reports and self._reports[0].at <= horizon:
            load = self._reports.popleft().load
        return load


async def _texts(stream: Stream) -> AsyncIterator[str]:
    while True:
        index = await stream.tokens.get()
        if index is None:
            return
        yield token_text(stream.prompt, index)


def token_text(prompt: str, index: int) -> str:
    """Return the token at ``index`` of the answer to ``prompt``."""
    word = xxhash.xxh32_intdigest(f'{index}/{prompt}'.encode())
    word %= VOCABULARY
    return f' w{word}'


def _prompt(body: Mapping[str, Any]) -> str:
    texts = [message['content'] for message in body.get('messages', ())]
    return '\n'.join([str(body.get('prompt', '')), *texts]).strip()


def _describe(
    text: str,
    count: int,
    chat: bool,
    field: str = 'message',
) -> dict[str, Any]:
    choice: dict[str, Any] = {'index': 0, 'finish_reason': None}
    if chat:
        choice[field] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {'choices': [choice], 'usage': {'completion_tokens': count}}
