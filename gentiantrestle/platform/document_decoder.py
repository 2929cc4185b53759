"""Decodes what the operator and the servers write into the store."""

import re
from collections.abc import Callable, Mapping
from ipaddress import ip_address
from types import MappingProxyType
from typing import Any, TypeVar

from gentiantrestle import events
from gentiantrestle.gateway.model import (
    CallerLimits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Share,
    Upstream,
)
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.models import MAX_INT32, MAX_INT64, MAX_PORT, Address

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
SERVER_KIND = 'servers'
# Requests to empty a storage instance; each is named after the instance.
RETIREMENT_KIND = 'retirements'
RETIRED_STATUS = MappingProxyType({'state': 'completed'})
ROUTE_KINDS = {
    'safe': RouteKind.SAFE,
    'unsafe': RouteKind.UNSAFE,
    'streaming': RouteKind.STREAM,
    'batch': RouteKind.BATCH,
}
DRAINING_BY_STATE = {'ready': False, 'draining': True}
DECODE_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)
MS = 0.001  # seconds
MAX_TEXT = 128  # characters of a name, zone or service
MAX_SLOTS = 65535
# Times travel between instances as ms in integers of 32 bits.
MAX_TIME = 1e6  # seconds
MAX_ERROR = 200  # characters of an error that are logged
# Sent as the value of a header field.
ID_PATTERN = re.compile(r'[!-~]{1,128}')
PORT_PATTERN = re.compile('[0-9]{1,5}')
Decoded = TypeVar('Decoded')


class StoreDocumentDecoder:
    """Decodes objects of the platform's kinds; logs unreadable ones."""

    def read_table(self, stored: StoredObject) -> RoutingTable | None:
        """Decode the configuration; None if it is unreadable."""
        return _read(stored, _decode_table)

    def read_upstream(self, stored: StoredObject) -> Upstream | None:
        """Decode a server's entry; None if it is unreadable."""
        return _read(
            stored, lambda document: _decode_upstream(stored.name, document)
        )


def _read(
    stored: StoredObject, decode: Callable[[Any], Decoded]
) -> Decoded | None:
    try:
        return decode(stored.require_content())
    except DECODE_ERRORS as exc:
        error = repr(exc)[:MAX_ERROR]
        events.emit(events.ENTRY_UNREADABLE, name=stored.name, error=error)
        return None


def _decode_table(document: Mapping[str, Any]) -> RoutingTable:
    limits = document['limits']
    return RoutingTable(
        version=_checked_count(int(document['version'])),
        routes=tuple(_decode_route(entry) for entry in document['routes']),
        services={
            entry['name']: Service(entry['name'], 'engine' in entry)
            for entry in document['services']
        },
        limits=CallerLimits(
            int(limits['max-header-bytes']),
            int(limits['max-body-bytes']),
            _seconds(limits['header-timeout-ms']),
            _seconds(limits['idle-timeout-ms']),
        ),
    )


def _decode_route(document: Mapping[str, Any]) -> Route:
    split = document.get('split') or ({'service': document.get('service')},)
    return Route(
        name=document['name'],
        host=document['hostname'].lower(),
        prefix=document['path-prefix'],
        kind=ROUTE_KINDS[document['route-kind']],
        timeout=_seconds(document['timeout-ms']),
        latency_target=_seconds(document['latency-target-ms']),
        priority=_checked_count(int(document.get('priority', 0)), MAX_INT32),
        shares=tuple(
            Share(share['service'], float(share.get('weight', 1)))
            for share in split
        ),
        max_attempts=int(document.get('max-attempts', 1)),
        resumable=bool(document.get('resumable')),
        completion_target=_seconds(document.get('completion-target-ms', 0)),
        retention=float(document.get('retention-s', 0)),
        # On a batch route, max-count limits the tokens of all its jobs.
        max_tokens=int(document.get('max-count', 0)),
    )


def _decode_upstream(name: str, document: Mapping[str, Any]) -> Upstream:
    return Upstream(
        id=_checked_id(name),
        service=_checked_text(document['service']),
        address=_decode_address(document['address']),
        zone=_checked_text(document['zone']),
        slots=_checked_count(document['slots'], MAX_SLOTS),
        draining=DRAINING_BY_STATE[document['state']],
        incarnation=_checked_count(document.get('born', 0)),
        version=_checked_text(document.get('version', ''), shortest=0),
    )


def _decode_address(raw: Any) -> Address:
    host, _, port = _checked_text(raw).rpartition(':')
    if not PORT_PATTERN.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'{raw!r} has no valid port')
    return Address(str(ip_address(host)), int(port))


def _seconds(milliseconds: float) -> float:
    seconds = float(milliseconds) * MS
    if not 0 <= seconds <= MAX_TIME:
        raise ValueError(f'{seconds} s is not a valid time')
    return seconds


def _checked_id(raw: str) -> str:
    if not ID_PATTERN.fullmatch(raw):
        raise ValueError(f'{raw!r} is not a valid id')
    return raw


def _checked_text(raw: Any, shortest: int = 1) -> str:
    if not isinstance(raw, str):
        raise TypeError(f'{raw!r} is not a string')
    if not shortest <= len(raw) <= MAX_TEXT:
        raise ValueError(f'a text has {len(raw)} characters')
    return raw


def _checked_count(raw: Any, limit: int = MAX_INT64) -> int:
    if not isinstance(raw, int) or isinstance(raw, bool):
        raise TypeError(f'{raw!r} is not an integer')
    if not 0 <= raw <= limit:
        raise ValueError(f'{raw!r} is not between 0 and {limit}')
    return raw
