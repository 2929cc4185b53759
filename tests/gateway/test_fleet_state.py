"""Answers of the store that arrive after newer state was copied."""

from gentiantrestle.gateway.fleet_state import FleetState
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.platform.document_decoder import StoreDocumentDecoder
from tests.gateway.odd_entries import ENTRY
from tests.gateway.wire_samples import SERVICE, config_doc

COPIED = 10  # revision


def _entry(name: str, revision: int, state: str = 'ready') -> StoredObject:
    return StoredObject(name, revision, {**ENTRY, 'state': state})


def _copied() -> FleetState:
    """Return a state with two upstreams, one of which was registered again."""
    state = FleetState(StoreDocumentDecoder(), 'main', lambda: 0)
    state.replace_upstreams([_entry('a', 3), _entry('b', 9)], COPIED)
    return state


def _usable(state: FleetState) -> list[str]:
    found = state.roster.usable_upstreams(SERVICE, 0)
    return sorted(upstream.id for upstream in found)


def test_older_list_of_upstreams_does_not_replace_a_newer_copy() -> None:
    state = _copied()
    state.upstream_handlers().replace([_entry('a', 3), _entry('c', 4)], 8)
    assert _usable(state) == ['a', 'b']
    assert state.upstreams_revision == COPIED


def test_older_removal_of_an_upstream_does_not_undo_a_newer_copy() -> None:
    state = _copied()
    gone = StoredObject('b', 6, None, deleted=True)
    state.upstream_handlers().change([gone], 6)
    assert _usable(state) == ['a', 'b']
    assert state.upstreams_revision == COPIED


def test_upstream_known_from_a_copy_does_not_start_again_by_older_changes() -> (
    None
):
    state = _copied()
    started: list[str] = []
    state.on_start = started.append
    gone = StoredObject('b', 6, None, deleted=True)
    changes = [gone, _entry('b', 9), _entry('c', 11)]
    state.upstream_handlers().change(changes, COPIED + 1)
    assert _usable(state) == ['a', 'b', 'c']
    assert started == ['c']


def test_upstream_that_has_left_does_not_come_back_with_older_changes() -> None:
    state = _copied()
    state.replace_upstreams([_entry('b', 9)], COPIED + 1)
    state.upstream_handlers().change([_entry('a', 4)], 6)
    assert _usable(state) == ['b']


def test_newer_changes_of_upstreams_apply() -> None:
    state = _copied()
    drained = _entry('a', 11, 'draining')
    state.upstream_handlers().change([drained], COPIED + 1)
    assert _usable(state) == ['b']
    assert state.upstreams_revision == COPIED + 1


def _config(version: int) -> StoredObject:
    return StoredObject('main', version, config_doc(version))


def test_older_configuration_does_not_replace_a_newer_one() -> None:
    state = _copied()
    state.apply_config(_config(7))
    state.config_handlers().replace([_config(5)], 8)
    assert state.config_version == 7
