"""Bodies that a stand-in engine reads and sends."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from typing import Any

ENDLESS_PART = 65536  # bytes
ENDLESS_PAUSE = 0.001  # seconds
TRICKLE_PAUSE = 0.1  # seconds


def read_prompt(body: Mapping[str, Any]) -> str:
    """Return the prompt of a completion, or the joined chat messages."""
    texts = [message['content'] for message in body.get('messages', ())]
    return '\n'.join([str(body.get('prompt', '')), *texts]).strip()


def completion_document(
    text: str,
    count: int,
    chat: bool,
    field: str = 'message',
) -> dict[str, Any]:
    """Build an answer, or an event of a streamed one, with ``count`` tokens."""
    choice: dict[str, Any] = {'index': 0, 'finish_reason': None}
    if chat:
        choice[field] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {'choices': [choice], 'usage': {'completion_tokens': count}}


async def endless_body() -> AsyncIterator[bytes]:
    """Yield parts of a body that never ends."""
    while True:
        yield bytes(ENDLESS_PART)
        await asyncio.sleep(ENDLESS_PAUSE)


async def trickled_event() -> AsyncIterator[bytes]:
    """Yield an event that never ends, a byte now and then."""
    yield b'data: '
    while True:
        yield b' '
        await asyncio.sleep(TRICKLE_PAUSE)
