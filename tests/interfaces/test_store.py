"""Contract of the store client, against the stand-in."""

import asyncio
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from gentiantrestle.config import Settings
from gentiantrestle.context import Context
from gentiantrestle.http.connection import ServerLimits
from gentiantrestle.http.server import Server
from gentiantrestle.models import Address
from gentiantrestle.store.client import (
    ABSENT,
    StoreClient,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    WriteConflict,
)
from standins.platform import PlatformStandin
from tests.utils.http import send
from tests.utils.ports import HOST, free_ports

scenarios('../features/store.feature')

NAME = 'conf/one'
OLD_VERSION = 999
FAULTS = {
    'none': {},
    'one lost answer': {'lose': 1},
    'two lost answers': {'lose': 2},
    'outage': {'outage': True},
    'server stopped': {},
}


def build_context(port: int) -> Context:
    """Build a context whose store is at a local port."""
    cfg = Settings.from_sources(
        {
            'instance': 'i0',
            'zone': 'a1',
            'region': 'a',
            'store': f'{HOST}:{port}',
            'store_timeout': '0.5',
        },
        {},
    )
    return Context.from_config(cfg)


@pytest.fixture
def world() -> dict[str, Any]:
    """State that the steps of one scenario share."""
    return {'port': free_ports(1)[0]}


@given(parsers.parse('a store with {before}'))
def _store(world: dict[str, Any], before: str) -> None:
    world['before'] = before


@given(parsers.parse('the fault is {fault}'))
def _fault(world: dict[str, Any], fault: str) -> None:
    world['fault'] = fault


@when(parsers.parse('a document is written if the version is {expected}'))
def _write(world: dict[str, Any], expected: str) -> None:
    asyncio.run(_run_write(world, expected))


@then(parsers.parse('the outcome is {outcome}'))
def _outcome(world: dict[str, Any], outcome: str) -> None:
    assert world['outcome'] == outcome


@then(parsers.parse('the store has the new document {count:d} times'))
def _document_count(world: dict[str, Any], count: int) -> None:
    assert world['count'] == count


async def _run_write(world: dict[str, Any], expected: str) -> None:
    standin = PlatformStandin()
    server = Server(standin.handle, ServerLimits())
    await server.start(HOST, world['port'])
    store = StoreClient(build_context(world['port']))
    version = ABSENT
    if world['before'] == 'a document':
        version = (await store.put(NAME, {'text': 'old'}, ABSENT)).version
    await send(
        Address(HOST, world['port']), 'POST', '/control', FAULTS[world['fault']]
    )
    expected_version = {
        'absent': ABSENT,
        'current': version,
        'old': OLD_VERSION,
    }[expected]
    if world['fault'] == 'server stopped':
        await server.stop(0)
        store.close()
    world['outcome'] = await _put(store, expected_version)
    await end_outage(world)
    world['count'] = await _count(store, world)
    await server.stop(0)


async def _put(store: StoreClient, expected: int) -> str:
    try:
        written = await store.put(NAME, {'text': 'new'}, expected)
    except StoreUnavailableError:
        return 'unavailable'
    except StoreOutcomeUnknownError:
        return 'unknown'
    return 'conflict' if isinstance(written, WriteConflict) else 'written'


async def end_outage(world: dict[str, Any]) -> None:
    """End the outage if the stand-in is still running."""
    if world['fault'] != 'server stopped':
        address = Address(HOST, world['port'])
        await send(address, 'POST', '/control', {'outage': False})


async def _count(store: StoreClient, world: dict[str, Any]) -> int:
    if world['fault'] == 'server stopped':
        return 0
    found = await store.get(NAME)
    return int(found is not None and found.document['text'] == 'new')
