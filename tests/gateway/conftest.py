"""Fixture of a small gateway fleet for tests with real processes."""

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.gateway.fleet import ENTRIES, UPSTREAMS, GatewayFleet


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Start a small fleet; kill its processes after the test."""
    started = GatewayFleet(tmp_path, ENTRIES, UPSTREAMS)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()
