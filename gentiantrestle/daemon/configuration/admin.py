"""Validate new configurations and write them if their base is current."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from gentiantrestle.context import Context
from gentiantrestle.daemon.configuration.document import KINDS, validate
from gentiantrestle.daemon.configuration.service import (
    FLEET_OBJECT,
    Configuration,
)
from gentiantrestle.errors import (
    BAD_SETTINGS,
    CONFLICT,
    NOT_FOUND,
    STORE_OUTCOME_UNKNOWN,
    STORE_UNAVAILABLE,
    Refusal,
    refuse,
)
from gentiantrestle.models import EMPTY_FLEET, FleetDoc
from gentiantrestle.store.client import (
    ABSENT,
    StoreClient,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    VersionedDocument,
)

RETRY_AFTER = 2  # seconds
HISTORY_PREFIX = 'history/fleet/'


class Proposal(NamedTuple):
    """A proposed configuration, and the revision that it is based on."""

    document: Mapping[str, Any]
    based_on: int


def check_proposal(proposal: Proposal, current: int) -> FleetDoc | Refusal:
    """Return the next configuration, or a refusal.

    Refused are invalid configurations and those whose base is not the
    ``current`` revision.
    """
    problems = validate(proposal.document)
    if problems:
        listed = '; '.join(
            f'{problem.field}: {problem.reason} ({problem.remedy})'
            for problem in problems
        )
        return Refusal(BAD_SETTINGS, listed)
    if proposal.based_on != current:
        return Refusal(
            CONFLICT,
            f'Revision {current} is in force, the change was made from '
            f'revision {proposal.based_on}',
        )
    kinds = {kind: proposal.document[kind] for kind in KINDS}
    return FleetDoc(revision=current + 1, **kinds)


class Admin:
    """Applies configurations and reads earlier ones."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        configuration: Configuration,
    ) -> None:
        """Write to the store, and update the local mirror with the result."""
        self._ctx = ctx
        self._store = store
        self._configuration = configuration

    async def apply(self, proposal: Proposal) -> FleetDoc | Refusal:
        """Put a configuration in force if its base is still in force.

        Store failures are returned as refusals, not raised.
        """
        try:
            return await self._apply(proposal)
        except StoreUnavailableError:
            return Refusal(
                STORE_UNAVAILABLE,
                'The store does not answer; nothing was changed',
                RETRY_AFTER,
            )
        except StoreOutcomeUnknownError:
            return Refusal(
                STORE_OUTCOME_UNKNOWN,
                'The store did not say whether the change was made; read '
                'the revision in force',
                RETRY_AFTER,
            )

    async def read_revision(self, revision: int) -> FleetDoc:
        """Return an earlier configuration, or the one in force.

        Raises ``RefusedError`` if the revision is unknown or the store does not
        answer.
        """
        try:
            found = await self._store.get(_history_name(revision))
        except StoreUnavailableError:
            raise refuse(
                STORE_UNAVAILABLE,
                'The store does not answer',
                RETRY_AFTER,
            ) from None
        in_force = self._configuration.fleet
        if found is None and in_force['revision'] == revision:
            return in_force
        if found is None:
            raise refuse(NOT_FOUND, f'There is no revision {revision}')
        return _to_fleet_doc(found.document)

    async def _apply(self, proposal: Proposal) -> FleetDoc | Refusal:
        found = await self._store.get(FLEET_OBJECT)
        current = found or VersionedDocument(ABSENT, dict(EMPTY_FLEET))
        checked = check_proposal(proposal, current.document['revision'])
        if isinstance(checked, Refusal):
            return checked
        await self._archive(current.document)
        written = await self._store.put(
            FLEET_OBJECT, dict(checked), current.version
        )
        if isinstance(written, VersionedDocument):
            self._configuration.update_mirror(
                FLEET_OBJECT, written.version, written.document
            )
            return checked
        found = await self._store.get(FLEET_OBJECT)
        return check_proposal(proposal, found.document['revision'])

    async def _archive(self, document: Mapping[str, Any]) -> None:
        """Store the configuration that is about to be replaced as history."""
        name = _history_name(document['revision'])
        await self._store.put(name, dict(_to_fleet_doc(document)), ABSENT)


def _history_name(revision: int) -> str:
    return f'{HISTORY_PREFIX}{revision}'


def _to_fleet_doc(document: Mapping[str, Any]) -> FleetDoc:
    kinds = {kind: document[kind] for kind in KINDS}
    return FleetDoc(revision=document['revision'], **kinds)
