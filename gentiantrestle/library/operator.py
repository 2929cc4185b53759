"""Calls of operators: configurations, reports and status."""

from collections.abc import Mapping
from typing import Any

import msgspec

from gentiantrestle.library.connection import Connection
from gentiantrestle.library.draft import Draft
from gentiantrestle.models import FleetDoc


class Operator:
    """Administers a fleet through any of its entry instances."""

    def __init__(self, conn: Connection) -> None:
        """Use a connection with the key of an administrator."""
        self._conn = conn

    @classmethod
    def connect(cls, address: str, key: str) -> 'Operator':
        """Use an instance at ``IP:PORT`` and an administrator's key."""
        return cls(Connection(address, key))

    def config(self) -> FleetDoc:
        """Return the configuration in force."""
        return self._conn.call('GET', '/admin/config')

    def draft(self) -> Draft:
        """Start a draft from the configuration in force."""
        return Draft(self.config())

    def check(self, document: Mapping[str, Any]) -> list[dict[str, str]]:
        """Return every problem of a configuration without applying it."""
        body = msgspec.json.encode(document)
        return self._conn.call('POST', '/admin/check', body)['problems']

    def apply(self, draft: Draft) -> int:
        """Apply a draft and return the new revision.

        Raise ``Failure`` if the configuration in force is no longer the one
        that the draft was made from.
        """
        body = msgspec.json.encode(draft.document)
        return self._conn.call('PUT', '/admin/config', body)['revision']

    def recall(self, revision: int) -> FleetDoc:
        """Return the configuration of an earlier revision."""
        return self._conn.call('GET', f'/admin/history/{revision}')

    def report(self, scope: str) -> dict[str, Any]:
        """Return the burn rates of a scope: fleet, zone or instance."""
        return self._conn.call('GET', f'/admin/report?scope={scope}')

    def status(self) -> dict[str, Any]:
        """Return the status of the fleet as the instance sees it."""
        return self._conn.call('GET', '/admin/status')
