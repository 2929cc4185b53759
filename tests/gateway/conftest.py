"""A small fleet of the gateway for tests with real processes."""

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.gateway.fleet import ENTRIES, UPSTREAMS, GatewayFleet


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Start a small fleet; all its processes are ended after the test."""
    started = GatewayFleet(tmp_path, ENTRIES, UPSTREAMS)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()
