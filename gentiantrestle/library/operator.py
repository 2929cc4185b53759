"""What operators do: read, check and apply configurations."""

from collections.abc import Mapping
from typing import Any

import msgspec

from gentiantrestle.library.connection import Connection
from gentiantrestle.library.draft import Draft
from gentiantrestle.models import FleetDoc


class Operator:
    """The administration of a fleet, through any of its instances."""

    def __init__(self, conn: Connection) -> None:
        """Use a connection whose key administers."""
        self._conn = conn

    @classmethod
    def connect(cls, address: str, key: str) -> 'Operator':
        """Connect to ``IP:PORT``."""
        return cls(Connection(address, key))

    def config(self) -> FleetDoc:
        """Read the configuration in force."""
        return self._conn.call('GET', '/admin/config')

    def draft(self) -> Draft:
        """Start a draft from the configuration in force."""
        return Draft(self.config())

    def check(self, document: Mapping[str, Any]) -> list[dict[str, str]]:
        """Return every problem of a configuration; change nothing."""
        body = msgspec.json.encode(document)
        return self._conn.call('POST', '/admin/check', body)['problems']

    def apply(self, draft: Draft) -> int:
        """Put a draft in force if its base still is; return the revision."""
        body = msgspec.json.encode(draft.document)
        return self._conn.call('PUT', '/admin/config', body)['revision']

    def recall(self, revision: int) -> FleetDoc:
        """Read an earlier configuration."""
        return self._conn.call('GET', f'/admin/history/{revision}')

    def report(self, scope: str) -> dict[str, Any]:
        """Read the burn of a scope: fleet, zone or instance."""
        return self._conn.call('GET', f'/admin/report?scope={scope}')

    def status(self) -> dict[str, Any]:
        """Read what the instance knows of the fleet."""
        return self._conn.call('GET', '/admin/status')
