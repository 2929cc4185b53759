"""Streams whose version is about to leave."""

import pytest

from gentiantrestle.gateway.model import Upstream
from gentiantrestle.gateway.roster import DRAIN_MARGIN, Roster
from tests.gateway.samples import ENGINES, make_upstream

DRAIN_TIME = 2.5  # seconds
OLD = make_upstream('u-old', version='v1')
NEW = make_upstream('u-new', version='v1.1')


@pytest.fixture
def roster() -> Roster:
    """Return a roster with an upstream of each version."""
    started = Roster(DRAIN_TIME)
    started.put(OLD)
    started.put(NEW)
    return started


def _drain(roster: Roster, upstream: Upstream, now: float) -> None:
    draining = upstream._replace(draining=True)
    roster.note_draining(draining, now)
    roster.put(draining)


def _names(roster: Roster, now: float, version: str) -> list[str]:
    found = roster.usable_upstreams(ENGINES, now, version)
    return [upstream.id for upstream in found]


def test_stream_goes_on_while_the_last_of_its_version_drain(
    roster: Roster,
) -> None:
    _drain(roster, OLD, now=10)
    _drain(roster, OLD, now=10.5)
    last = 10 + DRAIN_TIME - DRAIN_MARGIN

    assert _names(roster, last - 0.1, 'v1') == ['u-old']
    assert not _names(roster, last, 'v1')


def test_new_work_never_goes_to_draining_upstreams(roster: Roster) -> None:
    _drain(roster, OLD, now=10)
    _drain(roster, NEW, now=10)

    assert not _names(roster, 10, '')


def test_draining_upstreams_are_not_used_beside_others_of_their_version(
    roster: Roster,
) -> None:
    roster.put(make_upstream('u-old2', version='v1'))
    _drain(roster, OLD, now=10)

    assert _names(roster, 10, 'v1') == ['u-old2']


def test_upstream_that_drained_before_it_was_seen_is_not_used(
    roster: Roster,
) -> None:
    unseen = make_upstream('u-unseen', version='v7')
    _drain(roster, unseen, now=10)
    restarted = OLD._replace(incarnation=2)
    _drain(roster, restarted, now=10)

    assert not _names(roster, 10, 'v7')
    assert not _names(roster, 10, 'v1')
