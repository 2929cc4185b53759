"""Limits of transfers, and tasks that outlive the call that began them."""

import asyncio

import pytest

from gentiantrestle.http.progress import note_progress, transfer_timeout
from tests.utils.virtual_time import run_virtual, virtual_now

STALL = 1.0  # seconds


async def _receive(times: int) -> None:
    for _ in range(times):
        await asyncio.sleep(STALL / 2)
        note_progress()


def test_progress_of_a_task_that_outlives_its_call_does_no_harm() -> None:
    async def main() -> None:
        async with transfer_timeout(STALL, STALL):
            task = asyncio.create_task(_receive(4))
        await task

    run_virtual(main())


def test_limit_around_a_limit_is_not_reached_during_progress() -> None:
    async def main() -> float:
        with pytest.raises(TimeoutError):
            async with (
                transfer_timeout(STALL, STALL),
                transfer_timeout(STALL * 2, STALL * 2),
            ):
                await _receive(6)
                await asyncio.sleep(60)
        return virtual_now()

    assert run_virtual(main()) == pytest.approx(4 * STALL)
