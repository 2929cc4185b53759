"""Documents of another writer in the daemons' store."""

from types import MappingProxyType

import pytest

from tests.utils.fleet import Fleet
from tests.utils.http import until

DEPTH = 100000
ODD_DOCUMENTS = MappingProxyType(
    {
        'nested': b'{"a":' + b'[' * DEPTH + b']' * DEPTH + b'}',
        'digits': b'{"revision":' + b'1' * 10000 + b'}',
        'exponent': b'{"revision":1e999}',
        'bytes': b'{"state":"\xff"}',
        'another shape': b'{"state":[],"upstreams":{"e1":7}}',
        'no object': b'[7]',
    }
)
NAMES = ('live/a1', 'jobs/odd', 'conf/odd')


async def assert_change_arrives(fleet: Fleet, revision: int) -> None:
    """Assert that each daemon applies the next configuration."""
    changed = await fleet.apply(fleet.config_document(revision))
    assert changed.status == 200
    for index in range(3):
        await until(
            lambda number=index: fleet.has_revision(number, revision + 1), 5
        )


@pytest.mark.parametrize('kind', ODD_DOCUMENTS)
async def test_odd_documents_keep_no_daemon_from_following_the_store(
    start_fleet, kind: str
) -> None:
    fleet = await start_fleet()
    for name in NAMES:
        await fleet.write_object(name, ODD_DOCUMENTS[kind])
    await assert_change_arrives(fleet, 1)
    await fleet.daemons[2].end()
    await fleet.start_daemon(2)
    await until(lambda: fleet.is_ready(2))
    await assert_change_arrives(fleet, 2)
