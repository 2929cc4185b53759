"""What the operator and callers write, and what comes of it."""

import base64
from typing import Any

from standins.upstream import event

ROUTE_HOST = 'shop.example'
SERVICE = 'engines'


def route_doc(**changes: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    plain = {
        'name': 'chat',
        'hostname': ROUTE_HOST,
        'path-prefix': '/chat/',
        'route-kind': 'streaming',
        'timeout-ms': 5000,
        'latency-target-ms': 300,
        'priority': 0,
        'service': SERVICE,
        'max-attempts': 2,
        'resumable': True,
    }
    return plain | {
        name.replace('_', '-'): told for name, told in changes.items()
    }


def route_docs() -> list[dict[str, Any]]:
    """Return one route of each kind."""
    return [
        route_doc(),
        route_doc(name='once', path_prefix='/once/', resumable=False),
        route_doc(name='get', path_prefix='/get/', route_kind='safe'),
        route_doc(name='pay', path_prefix='/pay/', route_kind='unsafe'),
        route_doc(
            name='lists',
            path_prefix='/lists/',
            route_kind='batch',
            max_attempts=3,
            completion_target_ms=18000,
            retention_s=60,
            max_count=0,
        ),
    ]


def job_doc(name: str, count: int, events: int, **item: Any) -> dict[str, Any]:
    """Return a batch job as callers hand it in."""
    body = f'{{"events":{events}}}'.encode()
    return {
        'items': [
            {
                'id': f'{name}-{number}',
                'path': '/lists/x',
                'headers': {},
                'body': base64.b64encode(body).decode(),
                'token-count': 10,
                **item,
            }
            for number in range(count)
        ],
    }


def expected_output(item: str, events: int) -> str:
    """Return the whole output of an item."""
    return '\n'.join(f'{item}-{one + 1}' for one in range(events))


def expected_stream(request_id: str, events: int) -> bytes:
    """Return the whole stream of a request."""
    return b''.join(event(request_id, one + 1) for one in range(events))
