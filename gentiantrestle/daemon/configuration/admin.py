"""Accept configurations: checked as a whole, written under a condition."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from gentiantrestle.context import Context
from gentiantrestle.daemon.configuration.document import KINDS, validate
from gentiantrestle.daemon.configuration.service import FLEET, Configuration
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
    StoreUnavailableError,
    StoreUnsureError,
    Versioned,
)

RETRY_AFTER = 2  # seconds
HISTORY = 'history/fleet/'


class Proposal(NamedTuple):
    """A configuration, and the revision that it was made from."""

    document: Mapping[str, Any]
    based_on: int


def decide(proposal: Proposal, current: int) -> FleetDoc | Refusal:
    """Return the next configuration, or why there is none."""
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
    """Reads, accepts and recalls configurations."""

    def __init__(
        self,
        ctx: Context,
        store: StoreClient,
        configuration: Configuration,
    ) -> None:
        """Write through the store; copy what is written."""
        self._ctx = ctx
        self._store = store
        self._configuration = configuration

    async def apply(self, proposal: Proposal) -> FleetDoc | Refusal:
        """Put a configuration in force if its base is still in force."""
        try:
            return await self._apply(proposal)
        except StoreUnavailableError:
            return Refusal(
                STORE_UNAVAILABLE,
                'The store does not answer; nothing was changed',
                RETRY_AFTER,
            )
        except StoreUnsureError:
            return Refusal(
                STORE_OUTCOME_UNKNOWN,
                'The store did not say whether the change was made; read '
                'the revision in force',
                RETRY_AFTER,
            )

    async def recall(self, revision: int) -> FleetDoc:
        """Read an earlier configuration."""
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
        return _clean(found.document)

    async def _apply(self, proposal: Proposal) -> FleetDoc | Refusal:
        found = await self._store.get(FLEET)
        current = found or Versioned(ABSENT, dict(EMPTY_FLEET))
        wanted = decide(proposal, current.document['revision'])
        if isinstance(wanted, Refusal):
            return wanted
        await self._keep(current.document)
        written = await self._store.put(FLEET, dict(wanted), current.version)
        if isinstance(written, Versioned):
            self._configuration.take(FLEET, written.version, written.document)
            return wanted
        found = await self._store.get(FLEET)
        return decide(proposal, found.document['revision'])

    async def _keep(self, document: Mapping[str, Any]) -> None:
        """Keep the configuration that is about to be replaced."""
        name = _history_name(document['revision'])
        await self._store.put(name, dict(_clean(document)), ABSENT)


def _history_name(revision: int) -> str:
    return f'{HISTORY}{revision}'


def _clean(document: Mapping[str, Any]) -> FleetDoc:
    kinds = {kind: document[kind] for kind in KINDS}
    return FleetDoc(revision=document['revision'], **kinds)
