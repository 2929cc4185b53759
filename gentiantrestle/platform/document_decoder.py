"""Decodes what the operator and the servers write into the store."""

import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from ipaddress import ip_address
from types import MappingProxyType
from typing import Any, TypeVar

from gentiantrestle import events
from gentiantrestle.gateway.model import (
    CallerLimits,
    Route,
    RouteKind,
    RoutingTable,
    Share,
    Upstream,
)
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.models import MAX_INT32, MAX_INT64, MAX_PORT, Address
from gentiantrestle.platform.account_decoder import decode_accounts

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
MAX_ROUTE_TEXT = 8192  # characters of a route's name, host or path
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
    unreadable: set[str] = set()
    routes = tuple(_readable_routes(document['routes'], unreadable))
    return RoutingTable(
        version=_checked_count(int(document['version'])),
        routes=routes,
        limits=_decode_limits(document.get('limits') or {}),
        unreadable=frozenset(unreadable),
        accounts=decode_accounts(document.get('tenants')),
    )


def _readable_routes(
    documents: Iterable[Any], unreadable: set[str]
) -> Iterator[Route]:
    """Yield the routes that can be read; log the others, and add their names.

    A name that can't be read either is added as an empty one.
    """
    for document in documents:
        try:
            yield _decode_route(document)
        except DECODE_ERRORS as exc:
            name = document.get('name') if isinstance(document, dict) else ''
            unreadable.add(name if isinstance(name, str) else '')
            events.emit(
                events.ENTRY_UNREADABLE,
                name=str(document)[:MAX_TEXT],
                error=repr(exc)[:MAX_ERROR],
            )


def _decode_limits(document: Mapping[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        int(_optional(document, 'max-header-bytes', default.header_bytes)),
        int(_optional(document, 'max-body-bytes', default.body_bytes)),
        _seconds(
            _optional(
                document, 'header-timeout-ms', default.header_timeout / MS
            )
        ),
        _seconds(
            _optional(document, 'idle-timeout-ms', default.idle_timeout / MS)
        ),
    )


def _decode_route(document: Mapping[str, Any]) -> Route:
    split = document.get('split') or ({'service': document.get('service')},)
    priority = int(_optional(document, 'priority', 0))
    return Route(
        name=_checked_text(document['name'], MAX_ROUTE_TEXT),
        host=_checked_text(document['hostname'], MAX_ROUTE_TEXT).lower(),
        prefix=_checked_text(document['path-prefix'], MAX_ROUTE_TEXT),
        kind=ROUTE_KINDS[document['route-kind']],
        timeout=_seconds(document['timeout-ms']),
        latency_target=_seconds(_optional(document, 'latency-target-ms', 0)),
        priority=_checked_count(priority, MAX_INT32),
        shares=tuple(_decode_share(share) for share in split),
        max_attempts=int(_optional(document, 'max-attempts', 1)),
        resumable=bool(document.get('resumable')),
        completion_target=_seconds(
            _optional(document, 'completion-target-ms', 0)
        ),
        retention=float(_optional(document, 'retention-s', 0)),
        # On a batch route, max-count limits the tokens of all its jobs.
        max_tokens=int(_optional(document, 'max-count', 0)),
        anonymous=document.get('anonymous') is True,
    )


def _decode_share(document: Mapping[str, Any]) -> Share:
    weight = float(_optional(document, 'weight', 1))
    return Share(_checked_text(document['service']), weight)


def _optional(document: Mapping[str, Any], name: str, default: Any) -> Any:
    """Return a field, or the default if it is missing or null."""
    found = document.get(name)
    return default if found is None else found


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
    if not seconds >= 0:
        raise ValueError(f'{seconds} s is not a valid time')
    return min(seconds, MAX_TIME)


def _checked_id(raw: str) -> str:
    if not ID_PATTERN.fullmatch(raw):
        raise ValueError(f'{raw!r} is not a valid id')
    return raw


def _checked_text(raw: Any, longest: int = MAX_TEXT, shortest: int = 1) -> str:
    if not isinstance(raw, str):
        raise TypeError(f'{raw!r} is not a string')
    if not shortest <= len(raw) <= longest:
        raise ValueError(f'a text has {len(raw)} characters')
    return raw


def _checked_count(raw: Any, limit: int = MAX_INT64) -> int:
    if not isinstance(raw, int) or isinstance(raw, bool):
        raise TypeError(f'{raw!r} is not an integer')
    if not 0 <= raw <= limit:
        raise ValueError(f'{raw!r} is not between 0 and {limit}')
    return raw
