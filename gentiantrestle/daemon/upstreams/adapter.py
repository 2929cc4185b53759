"""Protocol of the upstreams: engines and plain services; no I/O."""

from collections.abc import Mapping
from typing import Any

import msgspec

from gentiantrestle.http.client import ClientRequest, ClientResponse
from gentiantrestle.http.messages import JSON

DONE_MARK = b'data: [DONE]'
EVENT_END = b'\n\n'
EVENT_START = b'data: '
TAIL_LENGTH = 32  # bytes
MAX_EVENT = 1048576  # bytes
EVENT_ERRORS = (msgspec.DecodeError, LookupError, TypeError, AttributeError)
DEFAULT_TOKENS = 16  # for requests without a valid max_tokens
COMPLETIONS = '/v1/completions'
CHAT = '/v1/chat/completions'


def build_call(
    target: str,
    body: bytes,
    attempt_id: str,
    *,
    method: str = 'POST',
    content_type: str = JSON,
) -> ClientRequest:
    """Build the call of one attempt, with its id in ``X-Attempt-Id``."""
    return ClientRequest(
        method,
        target,
        (('Content-Type', content_type), ('X-Attempt-Id', attempt_id)),
        body,
    )


def leaving_incarnation(answer: ClientResponse) -> int | None:
    """Return the incarnation of a leaving upstream that refused a request.

    Return None if the answer is not such a refusal.
    """
    incarnation = answer.header('X-Leaving')
    return int(incarnation) if incarnation.isdigit() else None


def expected_tokens(body: Mapping[str, Any]) -> int:
    """Return the most tokens that the answer to a request may have."""
    max_tokens = body.get('max_tokens', DEFAULT_TOKENS)
    if isinstance(max_tokens, int) and max_tokens > 0:
        return max_tokens
    return DEFAULT_TOKENS


def build_stream_body(body: Mapping[str, Any], received_tokens: int) -> bytes:
    """Build the body that asks for a stream from the next token on."""
    request = {**body, 'stream': True}
    if received_tokens:
        request['resume_from'] = received_tokens
    return msgspec.json.encode(request)


class NoTokenError(Exception):
    """An event of a stream is no token of a completion."""


class StreamMonitor:
    """Splits a relayed stream into whole events and detects its end."""

    def __init__(self) -> None:
        """Start before the first byte of the stream."""
        self._partial = b''
        self._tail = b''
        self.event_count = 0

    def feed(self, part: bytes) -> bytes:
        """Take the next part of the stream, split anywhere.

        Return the events that it completes; a part of one is held back, since
        another event can't follow it.
        """
        received = self._partial + part
        last_end = received.rfind(EVENT_END)
        size = last_end + len(EVENT_END) if last_end >= 0 else 0
        self._partial = received[size:]
        whole = received[:size]
        self.event_count += whole.count(EVENT_END)
        self._tail = (self._tail + whole)[-TAIL_LENGTH:]
        return whole

    @property
    def is_overlong(self) -> bool:
        """Tell whether the event that is being received is too long."""
        return len(self._partial) > MAX_EVENT

    @property
    def is_complete(self) -> bool:
        """Tell whether the stream has ended with the end marker."""
        return self._tail.endswith(DONE_MARK + EVENT_END)


class TokenStreamReader:
    """Parses an engine's stream into the texts of its tokens."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = b''
        self.is_complete = False

    @property
    def is_overlong(self) -> bool:
        """Tell whether the event that is being received is too long."""
        return len(self._buffer) > MAX_EVENT

    def feed(self, part: bytes) -> list[str]:
        """Take the next part, split anywhere; return the texts it completes.

        Raises ``NoTokenError``; then none of them is returned.
        """
        stream_events = (self._buffer + part).split(EVENT_END)
        self._buffer = stream_events.pop()
        texts = []
        for stream_event in stream_events:
            if stream_event.startswith(DONE_MARK):
                self.is_complete = True
            elif stream_event.startswith(EVENT_START):
                texts.append(event_text(stream_event[len(EVENT_START) :]))
        return texts


def event_text(payload: bytes) -> str:
    """Return the text of one completion or chat event.

    Raises ``NoTokenError``, also for an error in place of a token.
    """
    try:
        choice = msgspec.json.decode(payload)['choices'][0]
        delta = choice.get('delta', {})
        text = choice.get('text', delta.get('content', ''))
    except EVENT_ERRORS as exc:
        raise NoTokenError(repr(exc)) from exc
    if not isinstance(text, str | None):
        raise NoTokenError(f'{type(text)} instead of a text')
    return text or ''


def build_completion(
    target: str, texts: list[str], model: str
) -> dict[str, Any]:
    """Build the non-streamed answer from the texts of a stream's tokens."""
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
    """Return the prompt of a completion, or the joined chat messages."""
    prompt = body.get('prompt')
    if isinstance(prompt, str):
        return prompt
    messages = body.get('messages', ())
    return '\n'.join(str(message.get('content', '')) for message in messages)
