"""Drafts of a configuration: edit, compare, then apply."""

from collections.abc import Iterator
from typing import Any

import msgspec

from gentiantrestle.models import (
    ClientDoc,
    DeploymentDoc,
    EndpointDoc,
    FleetDoc,
    UpstreamDoc,
)

KINDS = ('upstreams', 'deployments', 'endpoints', 'clients')
INDENT = 2


class Draft:
    """An editable copy of a configuration.

    The methods that change it return the draft, so that calls can be chained.
    """

    def __init__(self, in_force: FleetDoc) -> None:
        """Copy a configuration; the draft applies only to its revision."""
        self._base = in_force
        self.document: dict[str, Any] = {
            kind: dict(in_force[kind]) for kind in KINDS
        }
        self.document['revision'] = in_force['revision']

    def upstream(self, name: str, **fields: Any) -> 'Draft':
        """Set an upstream; ``UpstreamDoc`` lists its fields."""
        return self.put('upstreams', name, UpstreamDoc(**fields))

    def deployment(self, name: str, **fields: Any) -> 'Draft':
        """Set a deployment: model, version, upstreams, adapters."""
        return self.put('deployments', name, DeploymentDoc(**fields))

    def endpoint(self, name: str, **fields: Any) -> 'Draft':
        """Set an endpoint: deployment, max_prompt, repeatable."""
        return self.put('endpoints', name, EndpointDoc(**fields))

    def client(self, name: str, **fields: Any) -> 'Draft':
        """Set a client account: key_hashes, admin, max_jobs."""
        return self.put('clients', name, ClientDoc(**fields))

    def put(self, kind: str, name: str, entry: Any) -> 'Draft':
        """Set one entry of a kind; see ``KINDS``."""
        self.document[kind][name] = entry
        return self

    def remove(self, kind: str, name: str) -> 'Draft':
        """Remove one entry of a kind, if it exists."""
        self.document[kind].pop(name, None)
        return self

    def difference(self) -> Iterator[str]:
        """Yield the changes: ``-`` lines removed, ``+`` lines added."""
        for kind in KINDS:
            before, after = self._base[kind], self.document[kind]
            for name in sorted(set(before) | set(after)):
                yield from _compare(
                    f'{kind}.{name}',
                    before.get(name),
                    after.get(name),
                )

    def __str__(self) -> str:
        """Return the draft as indented JSON."""
        text = msgspec.json.encode(self.document)
        return msgspec.json.format(text, indent=INDENT).decode()


def _compare(field: str, before: Any, after: Any) -> Iterator[str]:
    if before == after:
        return
    if before is not None:
        yield f'- {field} = {_show(before)}'
    if after is not None:
        yield f'+ {field} = {_show(after)}'


def _show(entry: Any) -> str:
    return msgspec.json.encode(entry).decode()
