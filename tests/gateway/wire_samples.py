"""Sample routes and jobs, and the output that upstreams give for them."""

import base64
from typing import Any

from standins.upstream import encode_event

ROUTE_HOST = 'shop.example'
SERVICE = 'engines'
LIMITS = {
    'max-header-bytes': 16384,
    'max-body-bytes': 1048576,
    'header-timeout-ms': 1000,
    'idle-timeout-ms': 5000,
}


def route_doc(**changes: Any) -> dict[str, Any]:
    """Return a route as operators write it, with some settings changed.

    Names of ``changes`` have underscores for dashes.
    """
    defaults = {
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
    return defaults | {
        name.replace('_', '-'): setting for name, setting in changes.items()
    }


def route_docs() -> list[dict[str, Any]]:
    """Return routes of all kinds, streams both resumable and not."""
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


def config_doc(version: int) -> dict[str, Any]:
    """Return a version of the configuration with routes of all kinds."""
    return {
        'version': version,
        'routes': route_docs(),
        'services': [],
        'limits': LIMITS,
    }


def job_doc(
    name: str, count: int, events: int, **fields: Any
) -> dict[str, Any]:
    """Return a batch job as clients submit it.

    Each item makes ``events`` events; ``fields`` replaces fields of all items.
    """
    body = f'{{"events":{events}}}'.encode()
    return {
        'items': [
            {
                'id': f'{name}-{number}',
                'path': '/lists/x',
                'headers': {},
                'body': base64.b64encode(body).decode(),
                'token-count': 10,
                **fields,
            }
            for number in range(count)
        ],
    }


def expected_output(item_id: str, events: int) -> str:
    """Return the output of a completed item."""
    return '\n'.join(f'{item_id}-{index + 1}' for index in range(events))


def expected_stream(request_id: str, events: int) -> bytes:
    """Return the body of a complete event stream."""
    return b''.join(
        encode_event(request_id, index + 1) for index in range(events)
    )
