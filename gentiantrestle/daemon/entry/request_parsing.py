"""Validate request bodies and build online requests from them."""

from typing import Any

import msgspec

from gentiantrestle.daemon.online.attempt import OnlineRequest
from gentiantrestle.daemon.upstreams.adapter import (
    CHAT,
    expected_tokens,
    prompt_text,
)
from gentiantrestle.errors import (
    BAD_REQUEST,
    NO_UPSTREAM,
    PROMPT_TOO_LONG,
    UNKNOWN_MODEL,
    refuse,
)
from gentiantrestle.http.messages import Request, decode_json_object
from gentiantrestle.models import DeploymentDoc, EndpointDoc, FleetDoc

MAX_TOKENS = 32768
RETRY_AFTER = 1  # seconds
SAFE_METHODS = frozenset(('GET', 'HEAD'))


def parse_completion(
    client: str,
    req: Request,
    raw: bytes,
    fleet: FleetDoc,
) -> OnlineRequest:
    """Validate a completion or chat request; raise ``RefusedError``."""
    body = decode_json_object(raw)
    endpoint = find_endpoint(fleet, body.get('model'))
    deployment = find_deployment(fleet, endpoint)
    prompt = _check_prompt(req.path, body, endpoint['max_prompt'])
    _check_max_tokens(body)
    streamed = bool(body.get('stream', False))
    name = body['model']
    body['model'] = deployment['model']
    return OnlineRequest(
        client=client,
        endpoint=name,
        deployment=deployment,
        target=req.path,
        body=msgspec.json.encode(body),
        prompt=prompt,
        streamed=streamed,
        repeatable=endpoint.get('repeatable', True),
        tokens=expected_tokens(body),
    )


def parse_service_call(
    client: str,
    req: Request,
    raw: bytes,
    fleet: FleetDoc,
    fields: dict[str, str],
) -> OnlineRequest:
    """Build the request for a service upstream; raise ``RefusedError``."""
    endpoint = find_endpoint(fleet, fields['endpoint'])
    safe = req.method in SAFE_METHODS
    return OnlineRequest(
        client=client,
        endpoint=fields['endpoint'],
        deployment=find_deployment(fleet, endpoint),
        target=f'/{fields["rest"]}',
        body=raw,
        method=req.method,
        content_type=req.headers.get('content-type', ''),
        repeatable=safe or endpoint.get('repeatable', False),
    )


def find_endpoint(fleet: FleetDoc, name: Any) -> EndpointDoc:
    """Return an endpoint by name; raise ``RefusedError`` if unknown."""
    if not isinstance(name, str) or not name:
        raise refuse(
            BAD_REQUEST, 'The field "model" is missing or not a string'
        )
    endpoint = fleet['endpoints'].get(name)
    if endpoint is None:
        raise refuse(UNKNOWN_MODEL, f'There is no endpoint {name!r}')
    return endpoint


def find_deployment(fleet: FleetDoc, endpoint: EndpointDoc) -> DeploymentDoc:
    """Return an endpoint's deployment.

    Raises ``RefusedError`` if the deployment has no upstreams.
    """
    deployment = fleet['deployments'][endpoint['deployment']]
    if not deployment['upstreams']:
        raise refuse(NO_UPSTREAM, 'The deployment has no upstream', RETRY_AFTER)
    return deployment


def _check_prompt(path: str, body: dict[str, Any], limit: int) -> str:
    if path == CHAT:
        _check_messages(body.get('messages'))
    elif not isinstance(body.get('prompt'), str):
        raise refuse(
            BAD_REQUEST, 'The field "prompt" is missing or not a string'
        )
    prompt = prompt_text(body)
    if not prompt:
        raise refuse(BAD_REQUEST, 'The prompt is empty')
    if len(prompt) > limit:
        raise refuse(
            PROMPT_TOO_LONG,
            f'The prompt has {len(prompt)} characters, the limit is {limit}',
        )
    return prompt


def _check_messages(messages: Any) -> None:
    valid = (
        isinstance(messages, list)
        and messages
        and all(
            isinstance(message, dict)
            and isinstance(message.get('content'), str)
            for message in messages
        )
    )
    if not valid:
        raise refuse(
            BAD_REQUEST,
            'The field "messages" is not a list of objects with "content"',
        )


def _check_max_tokens(body: dict[str, Any]) -> None:
    max_tokens = body.get('max_tokens', 1)
    if isinstance(max_tokens, bool) or not isinstance(max_tokens, int):
        raise refuse(BAD_REQUEST, 'The field "max_tokens" is not an integer')
    if not 0 < max_tokens <= MAX_TOKENS:
        raise refuse(
            BAD_REQUEST,
            f'The field "max_tokens" is not from 1 to {MAX_TOKENS}',
        )
