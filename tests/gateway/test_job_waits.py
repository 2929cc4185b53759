"""What is logged of jobs that can't be run yet, or are said not to exist."""

from typing import Any

import pytest

from gentiantrestle import events
from gentiantrestle.gateway.batch.job_index import JobIndex
from gentiantrestle.gateway.batch.job_waits import (
    BODILESS,
    NO_ROOM,
    UNREAD,
    JobWaits,
)
from gentiantrestle.gateway.batch.records import JobRecord
from gentiantrestle.gateway.ports import StoredObject
from tests.gateway.samples import make_job


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[tuple[int, dict[str, Any]]]:
    """Return the events that are logged, as number and fields."""
    found: list[tuple[int, dict[str, Any]]] = []
    monkeypatch.setattr(
        events,
        'emit',
        lambda event, **fields: found.append((event.code, fields)),
    )
    return found


def test_job_that_waits_is_counted_and_logged_once_for_each_cause(
    logged: list[tuple[int, dict[str, Any]]],
) -> None:
    entry = JobIndex().put(
        JobRecord(make_job(count=3), StoredObject('job1', 1, {}))
    )
    waits = JobWaits()
    for cause in (UNREAD, UNREAD, NO_ROOM, NO_ROOM, BODILESS):
        waits.update([(entry, cause)])
        assert waits.count(cause) == 3
    assert [fields['cause'] for _, fields in logged] == [
        UNREAD,
        NO_ROOM,
        BODILESS,
    ]
    waits.update([])
    assert not any(map(waits.count, (UNREAD, NO_ROOM, BODILESS)))
