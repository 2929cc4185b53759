"""Burn rates over windows, and the prediction of jobs at risk."""

import pytest

from gentiantrestle.daemon.report.burn import (
    AVAILABILITY,
    FIRST_TOKEN,
    BurnCounter,
    ObjectiveKey,
    Row,
    predict_end,
    sum_rows,
)

CHAT = ObjectiveKey('chat', AVAILABILITY)


def _rows(counter: BurnCounter, now: float) -> dict[int, Row]:
    return {row.window: row for row in counter.rows(now)}


def test_events_expire_from_short_windows_first() -> None:
    counter = BurnCounter()
    counter.record(CHAT, 0, good=False)
    counter.record(CHAT, 400, good=True)
    rows = _rows(counter, 400)
    assert (rows[300].good, rows[300].bad) == (1, 0)
    assert (rows[3600].good, rows[3600].bad) == (1, 1)
    assert _rows(counter, 30000)[21600].good == 0


@pytest.mark.parametrize(
    ('good', 'bad', 'burn'),
    [(0, 0, 0), (999, 1, 1), (990, 10, 10), (0, 5, 1000)],
)
def test_burn_rate_is_bad_share_over_allowed_share(
    good: int, bad: int, burn: float
) -> None:
    assert Row('e', AVAILABILITY, 300, good, bad).burn == pytest.approx(burn)


@pytest.mark.parametrize(('seconds', 'good'), [(1.7, 1), (1.71, 0)])
def test_duration_is_good_up_to_its_bound(seconds: float, good: int) -> None:
    counter = BurnCounter()
    counter.record_duration(ObjectiveKey('e', FIRST_TOKEN), seconds, 0)
    assert _rows(counter, 0)[300].good == good


def test_rows_of_instances_are_summed() -> None:
    rows = [
        Row('e', AVAILABILITY, 300, 5, 1),
        Row('e', AVAILABILITY, 300, 2, 0),
    ]
    assert sum_rows(rows) == [Row('e', AVAILABILITY, 300, 7, 1)]


@pytest.mark.parametrize(
    ('share', 'wall', 'expected'),
    [
        (0.5, 50, (100, False)),
        (0.25, 50, (200, True)),
        (0, 10, (None, False)),
        (0, 80, (None, True)),
    ],
)
def test_predicted_end_and_risk_of_a_job(
    share: float,
    wall: float,
    expected: tuple[float | None, bool],
) -> None:
    assert predict_end(0, 100, share, wall) == expected
