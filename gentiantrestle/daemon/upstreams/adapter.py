"""How engines and plain services are spoken to; replaced with them."""

from collections.abc import Mapping
from typing import Any

import msgspec

from gentiantrestle.http.client import ClientRequest, ClientResponse
from gentiantrestle.http.messages import JSON

DONE_MARK = b'data: [DONE]'
EVENT_END = b'\n\n'
EVENT_START = b'data: '
TAIL_LENGTH = 32  # bytes
DEFAULT_TOKENS = 16
COMPLETIONS = '/v1/completions'
CHAT = '/v1/chat/completions'


def build_call(
    target: str,
    body: bytes,
    attempt: str,
    *,
    method: str = 'POST',
    content_type: str = JSON,
) -> ClientRequest:
    """Build the call of one attempt; its id goes with it."""
    return ClientRequest(
        method,
        target,
        (('Content-Type', content_type), ('X-Attempt-Id', attempt)),
        body,
    )


def leaving_incarnation(answer: ClientResponse) -> int | None:
    """Return the incarnation that refuses work since it is leaving."""
    mark = answer.header('X-Leaving')
    return int(mark) if mark.isdigit() else None


def expected_tokens(body: Mapping[str, Any]) -> int:
    """Return how many tokens an answer may have."""
    wanted = body.get('max_tokens', DEFAULT_TOKENS)
    if isinstance(wanted, int) and wanted > 0:
        return wanted
    return DEFAULT_TOKENS


def build_stream_body(body: Mapping[str, Any], known_tokens: int) -> bytes:
    """Ask for a stream that goes on after the tokens already known."""
    asked = {**body, 'stream': True}
    if known_tokens:
        asked['resume_from'] = known_tokens
    return msgspec.json.encode(asked)


class WholeStream:
    """Watches a stream pass by and tells whether it came whole."""

    def __init__(self) -> None:
        """Start before the first byte."""
        self._tail = b''
        self.events = 0

    def feed(self, part: bytes) -> None:
        """Look at one part of the stream."""
        self.events += (self._tail[-1:] + part).count(EVENT_END)
        self._tail = (self._tail + part)[-TAIL_LENGTH:]

    @property
    def is_complete(self) -> bool:
        """Tell whether the last event was the mark of the end."""
        return self._tail.endswith(DONE_MARK + EVENT_END)


class TokenStreamReader:
    """Splits an engine's stream into tokens."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = b''
        self.is_complete = False

    def feed(self, part: bytes) -> list[str]:
        """Return the texts of the events that are complete."""
        lines = (self._buffer + part).split(EVENT_END)
        self._buffer = lines.pop()
        texts = []
        for line in lines:
            if line.startswith(DONE_MARK):
                self.is_complete = True
            elif line.startswith(EVENT_START):
                texts.append(event_text(line[len(EVENT_START) :]))
        return texts


def event_text(payload: bytes) -> str:
    """Read the text of one completion or chat event."""
    choice = msgspec.json.decode(payload)['choices'][0]
    delta = choice.get('delta', {})
    return choice.get('text', delta.get('content', ''))


def build_completion(
    target: str, texts: list[str], model: str
) -> dict[str, Any]:
    """Build the answer that a request without streaming would get."""
    text = ''.join(texts)
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'stop'}
    kind = 'text_completion'
    if target == CHAT:
        kind = 'chat.completion'
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'object': kind,
        'model': model,
        'choices': [choice],
        'usage': {'completion_tokens': len(texts)},
    }


def prompt_text(body: Mapping[str, Any]) -> str:
    """Return the text that the engine has to read."""
    prompt = body.get('prompt')
    if isinstance(prompt, str):
        return prompt
    messages = body.get('messages', ())
    return '\n'.join(str(message.get('content', '')) for message in messages)
