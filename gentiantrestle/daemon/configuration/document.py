"""Validate a whole configuration and list all of its problems."""

import ipaddress
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple, TypeAlias, TypedDict, get_type_hints

import msgspec

from gentiantrestle.models import (
    ClientDoc,
    DeploymentDoc,
    EndpointDoc,
    FleetDoc,
    UpstreamDoc,
)

KINDS: dict[str, type] = {
    'upstreams': UpstreamDoc,
    'deployments': DeploymentDoc,
    'endpoints': EndpointDoc,
    'clients': ClientDoc,
}
UPSTREAM_KINDS = frozenset(('engine', 'service'))
MAX_SLOTS = 4096
MAX_PROMPT_LENGTH = 16777216  # characters
SHA256_HEX_LENGTH = 64  # characters
MAX_NAME_LENGTH = 128  # characters


class Problem(NamedTuple):
    """An invalid field, the reason, and how to correct it."""

    field: str
    reason: str
    remedy: str


Check: TypeAlias = Callable[
    [str, Mapping[str, Any], FleetDoc], Iterator[Problem]
]
CHECKS: dict[str, Check] = {}


def register_check(kind: str) -> Callable[[Check], Check]:
    """Return a decorator that registers the check of one kind of entry."""

    def register(check: Check) -> Check:
        CHECKS[kind] = check
        return check

    return register


def validate(document: Mapping[str, Any]) -> list[Problem]:
    """Return all problems of a configuration; an empty list means valid.

    References and ranges are checked only if all fields have valid types.
    """
    problems = list(_schema_problems(document))
    if problems:
        return problems
    return list(_semantic_problems(document))


def _schema_problems(document: Mapping[str, Any]) -> Iterator[Problem]:
    for name in sorted(set(document) - set(KINDS) - {'revision'}):
        yield Problem(name, 'unknown field', f'Use one of {sorted(KINDS)}.')
    for kind, schema in KINDS.items():
        entries = document.get(kind)
        if not isinstance(entries, dict):
            yield Problem(
                kind, 'is not an object', f'Use an object with {kind} by name.'
            )
            continue
        for name, entry in entries.items():
            yield from _entry_problems(f'{kind}.{name}', entry, schema)


def _entry_problems(
    field: str,
    entry: Any,
    schema: type,
) -> Iterator[Problem]:
    known = get_type_hints(schema)
    if not isinstance(entry, dict):
        yield Problem(
            field,
            'is not an object',
            f'Use an object with the fields {sorted(known)}.',
        )
        return
    for name in sorted(set(entry) - set(known)):
        yield Problem(
            f'{field}.{name}',
            'unknown field',
            f'Use one of {sorted(known)}.',
        )
    for name in sorted(schema.__required_keys__ - set(entry)):
        yield Problem(f'{field}.{name}', 'is missing', 'Add this field.')
    for name in sorted(set(entry) & set(known)):
        yield from _type_problems(f'{field}.{name}', entry[name], schema, name)


def _type_problems(
    field: str,
    given: Any,
    schema: type,
    name: str,
) -> Iterator[Problem]:
    single = TypedDict('single', {name: get_type_hints(schema)[name]})
    try:
        msgspec.convert({name: given}, single)
    except msgspec.ValidationError as exc:
        reason = str(exc).partition(' - at')[0]
        yield Problem(field, reason, 'Use a value of the expected type.')


def _semantic_problems(document: FleetDoc) -> Iterator[Problem]:
    for kind, check in CHECKS.items():
        for name, entry in document[kind].items():
            if not name or len(name) > MAX_NAME_LENGTH or '/' in name:
                yield Problem(
                    f'{kind}.{name}',
                    'invalid name',
                    f'Use 1 to {MAX_NAME_LENGTH} characters without "/".',
                )
            yield from check(f'{kind}.{name}', entry, document)


@register_check('upstreams')
def _check_upstream(
    field: str,
    entry: UpstreamDoc,
    document: FleetDoc,
) -> Iterator[Problem]:
    if entry['kind'] not in UPSTREAM_KINDS:
        yield Problem(
            f'{field}.kind',
            'unknown kind',
            f'Use one of {sorted(UPSTREAM_KINDS)}.',
        )
    if not 0 < entry['slots'] <= MAX_SLOTS:
        yield Problem(f'{field}.slots', 'out of range', f'1 to {MAX_SLOTS}.')
    host, _, port = entry['address'].rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        port = ''
    if not port.isdigit():
        yield Problem(f'{field}.address', 'no IP:PORT', 'Use the form IP:PORT.')


@register_check('deployments')
def _check_deployment(
    field: str,
    entry: DeploymentDoc,
    document: FleetDoc,
) -> Iterator[Problem]:
    for upstream in entry['upstreams']:
        if upstream not in document['upstreams']:
            yield Problem(
                f'{field}.upstreams',
                f'no upstream {upstream!r}',
                'Add the upstream or remove its name.',
            )


@register_check('endpoints')
def _check_endpoint(
    field: str,
    entry: EndpointDoc,
    document: FleetDoc,
) -> Iterator[Problem]:
    if entry['deployment'] not in document['deployments']:
        yield Problem(
            f'{field}.deployment',
            'no such deployment',
            'Add the deployment or name another.',
        )
    if not 0 < entry['max_prompt'] <= MAX_PROMPT_LENGTH:
        yield Problem(
            f'{field}.max_prompt',
            'out of range',
            f'1 to {MAX_PROMPT_LENGTH} characters.',
        )


@register_check('clients')
def _check_client(
    field: str,
    entry: ClientDoc,
    document: FleetDoc,
) -> Iterator[Problem]:
    for key_hash in entry['key_hashes']:
        if len(key_hash) != SHA256_HEX_LENGTH:
            yield Problem(
                f'{field}.key_hashes',
                'not a SHA-256 in hex',
                'Hash the key; never store the key itself.',
            )
