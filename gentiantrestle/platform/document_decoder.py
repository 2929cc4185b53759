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
# Requests that a storage machine be emptied, by its name.
RETIREMENT_KIND = 'retirements'
RETIRED = MappingProxyType({'state': 'completed'})
KINDS = {
    'safe': RouteKind.SAFE,
    'unsafe': RouteKind.UNSAFE,
    'streaming': RouteKind.STREAM,
    'batch': RouteKind.BATCH,
}
STATES = {'ready': False, 'draining': True}
UNFIT = (LookupError, TypeError, ValueError, AttributeError)
MS = 0.001  # seconds


class StoreDocumentDecoder:
    """Decodes the platform's kinds; what can't be read is logged."""

    def read_table(self, stored: StoredObject) -> RoutingTable | None:
        """Decode the configuration; None where it can't be read."""
        try:
            return _table(stored.content)
        except UNFIT as exc:
            events.emit(
                events.ENTRY_UNREADABLE, name=stored.name, error=repr(exc)
            )
            return None

    def read_upstream(self, stored: StoredObject) -> Upstream | None:
        """Decode a server's entry; None where it names no usable one."""
        try:
            return _upstream(stored.name, stored.content)
        except UNFIT as exc:
            events.emit(
                events.ENTRY_UNREADABLE, name=stored.name, error=repr(exc)
            )
            return None


def _table(told: Mapping[str, Any]) -> RoutingTable:
    limits = told['limits']
    return RoutingTable(
        version=int(told['version']),
        routes=tuple(_route(one) for one in told['routes']),
        services={
            one['name']: Service(one['name'], 'engine' in one)
            for one in told['services']
        },
        limits=CallerLimits(
            int(limits['max-header-bytes']),
            int(limits['max-body-bytes']),
            limits['header-timeout-ms'] * MS,
            limits['idle-timeout-ms'] * MS,
        ),
    )


def _route(told: Mapping[str, Any]) -> Route:
    split = told.get('split') or ({'service': told.get('service')},)
    return Route(
        name=told['name'],
        host=told['hostname'].lower(),
        prefix=told['path-prefix'],
        kind=KINDS[told['route-kind']],
        timeout=told['timeout-ms'] * MS,
        latency_target=told['latency-target-ms'] * MS,
        priority=int(told.get('priority', 0)),
        shares=tuple(
            Share(one['service'], float(one.get('weight', 1))) for one in split
        ),
        max_attempts=int(told.get('max-attempts', 1)),
        resumable=bool(told.get('resumable')),
        completion_target=told.get('completion-target-ms', 0) * MS,
        retention=float(told.get('retention-s', 0)),
        # On a batch route the count is of tokens, over all its jobs.
        max_tokens=int(told.get('max-count', 0)),
    )


def _upstream(name: str, told: Mapping[str, Any]) -> Upstream:
    return Upstream(
        id=name,
        service=_text(told['service']),
        address=Address.parse(_text(told['address'])),
        zone=_text(told['zone']),
        slots=_whole(told['slots']),
        draining=STATES[told['state']],
        incarnation=_whole(told.get('born', 0)),
    )


def _text(told: Any) -> str:
    if not isinstance(told, str):
        raise TypeError(f'{told!r} is not a text')
    return told


def _whole(told: Any) -> int:
    if not isinstance(told, int) or isinstance(told, bool) or told < 0:
        raise TypeError(f'{told!r} is not a whole number')
    return told
