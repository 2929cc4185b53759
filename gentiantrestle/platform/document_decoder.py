"""Decodes what the operator and the servers write into the store."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

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
from gentiantrestle.models import Address

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
DECODE_ERRORS = (LookupError, TypeError, ValueError, AttributeError)
MS = 0.001  # seconds


class StoreDocumentDecoder:
    """Decodes objects of the platform's kinds; logs unreadable ones."""

    def read_table(self, stored: StoredObject) -> RoutingTable | None:
        """Decode the configuration; None if it is unreadable."""
        try:
            return _decode_table(stored.content)
        except DECODE_ERRORS as exc:
            events.emit(
                events.ENTRY_UNREADABLE, name=stored.name, error=repr(exc)
            )
            return None

    def read_upstream(self, stored: StoredObject) -> Upstream | None:
        """Decode a server's entry; None if it is unreadable."""
        try:
            return _decode_upstream(stored.name, stored.content)
        except DECODE_ERRORS as exc:
            events.emit(
                events.ENTRY_UNREADABLE, name=stored.name, error=repr(exc)
            )
            return None


def _decode_table(document: Mapping[str, Any]) -> RoutingTable:
    limits = document['limits']
    return RoutingTable(
        version=int(document['version']),
        routes=tuple(_decode_route(entry) for entry in document['routes']),
        services={
            entry['name']: Service(entry['name'], 'engine' in entry)
            for entry in document['services']
        },
        limits=CallerLimits(
            int(limits['max-header-bytes']),
            int(limits['max-body-bytes']),
            limits['header-timeout-ms'] * MS,
            limits['idle-timeout-ms'] * MS,
        ),
    )


def _decode_route(document: Mapping[str, Any]) -> Route:
    split = document.get('split') or ({'service': document.get('service')},)
    return Route(
        name=document['name'],
        host=document['hostname'].lower(),
        prefix=document['path-prefix'],
        kind=ROUTE_KINDS[document['route-kind']],
        timeout=document['timeout-ms'] * MS,
        latency_target=document['latency-target-ms'] * MS,
        priority=int(document.get('priority', 0)),
        shares=tuple(
            Share(share['service'], float(share.get('weight', 1)))
            for share in split
        ),
        max_attempts=int(document.get('max-attempts', 1)),
        resumable=bool(document.get('resumable')),
        completion_target=document.get('completion-target-ms', 0) * MS,
        retention=float(document.get('retention-s', 0)),
        # On a batch route, max-count limits the tokens of all its jobs.
        max_tokens=int(document.get('max-count', 0)),
    )


def _decode_upstream(name: str, document: Mapping[str, Any]) -> Upstream:
    return Upstream(
        id=name,
        service=_checked_text(document['service']),
        address=Address.parse(_checked_text(document['address'])),
        zone=_checked_text(document['zone']),
        slots=_checked_count(document['slots']),
        draining=DRAINING_BY_STATE[document['state']],
        incarnation=_checked_count(document.get('born', 0)),
        version=_checked_text(document.get('version', '')),
    )


def _checked_text(raw: Any) -> str:
    if not isinstance(raw, str):
        raise TypeError(f'{raw!r} is not a string')
    return raw


def _checked_count(raw: Any) -> int:
    if not isinstance(raw, int) or isinstance(raw, bool) or raw < 0:
        raise TypeError(f'{raw!r} is not a non-negative integer')
    return raw
