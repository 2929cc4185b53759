"""Liveness by silence, leaving, local pauses and rendezvous hashing."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentiantrestle.daemon.membership.rendezvous import owner, rank
from gentiantrestle.daemon.membership.view import Member, MembershipView, State

SILENCE = 2.0


def _member(name: str, **changes: object) -> Member:
    fields = {
        'instance': name,
        'incarnation': 1,
        'beat': 1,
        'zone': 'a1',
        'region': 'a',
        'host': '127.0.0.1',
        'peer_port': 1,
        'http_port': 2,
        'state': State.SERVING,
    }
    return Member(**{**fields, **changes})


def _view(*members: Member, now: float = 0) -> MembershipView:
    view = MembershipView(_member('me'), SILENCE)
    view.merge(members, now)
    return view


@pytest.mark.parametrize(
    ('now', 'alive'),
    [(0, True), (SILENCE, True), (SILENCE + 0.1, False)],
)
def test_member_is_lost_after_the_silence_timeout(
    now: float, alive: bool
) -> None:
    assert ('x' in _view(_member('x')).live_names(now)) is alive


def test_old_beat_does_not_revive_a_lost_member() -> None:
    view = _view(_member('x', beat=5))
    assert view.merge([_member('x', beat=5)], 9) == []
    assert view.merge([_member('x', beat=4)], 9) == []
    assert view.live_names(9) == ['me']
    assert view.merge([_member('x', beat=6)], 9) == ['x']


def test_leaving_lasts_until_a_new_incarnation() -> None:
    view = _view(_member('x', state=State.LEAVING))
    view.merge([_member('x', beat=2)], 1)
    assert view.live_names(1) == ['me']
    view.merge([_member('x', incarnation=2)], 1)
    assert view.live_names(1) == ['me', 'x']


def test_local_member_does_not_return_from_leaving() -> None:
    view = _view()
    view.update_local(state=State.LEAVING)
    view.update_local(state=State.SERVING)
    assert view.live_names(0) == []


def test_local_pause_does_not_make_members_lost() -> None:
    view = _view(_member('x'))
    view.tick(0.5)
    view.tick(60)
    assert view.live_names(60) == ['me', 'x']
    view.tick(60.1)
    assert view.live_names(60 + SILENCE + 0.2) == ['me']


def test_restart_ends_the_old_incarnation() -> None:
    view = _view(_member('x'))
    view.merge([_member('x', incarnation=2)], 1)
    assert not view.is_alive('x', 1, 1)
    assert view.is_alive('x', 2, 1)


@pytest.mark.parametrize(
    ('other_beats', 'missing'),
    [(True, True), (False, False)],
)
def test_instance_is_missing_only_if_its_zone_is_reachable(
    other_beats: bool,
    missing: bool,
) -> None:
    other_zone = {'zone': 'b1'}
    view = _view(_member('x', **other_zone), _member('y', **other_zone))
    now = SILENCE * 2 + 1
    if other_beats:
        view.merge([_member('y', beat=2, **other_zone)], now)
    assert view.is_missing('x', now) is missing


@given(st.lists(st.integers(1, 30), min_size=1), st.integers(0, 29))
@settings(derandomize=True, deadline=None)
def test_merge_in_any_order_keeps_the_newest(
    beats: list[int],
    split: int,
) -> None:
    members = [_member('x', beat=beat) for beat in beats]
    ordered, rotated = _view(), _view()
    ordered.merge(members, 1)
    rotated.merge(members[split:] + members[:split], 1)
    assert ordered.find('x') == rotated.find('x')
    assert ordered.find('x').beat == max(beats)


@given(st.sets(st.text(min_size=1), min_size=2), st.text())
@settings(derandomize=True, deadline=None)
def test_removed_name_moves_only_its_own_keys(
    names: set[str], key: str
) -> None:
    first, second, *_ = rank(key, names)
    assert owner(key, names) == first
    assert owner(key, names - {first}) == second
    assert owner(key, names - {second}) == first


def test_key_without_names_has_no_owner() -> None:
    assert owner('key', ()) is None
