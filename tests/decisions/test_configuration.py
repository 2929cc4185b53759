"""Validation of configurations and settings, proposals and the mirror."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentiantrestle.config import Settings
from gentiantrestle.daemon.batch.parser import chunk_item_limit
from gentiantrestle.daemon.configuration.admin import Proposal, check_proposal
from gentiantrestle.daemon.configuration.document import validate
from gentiantrestle.daemon.configuration.mirror import Mirror, MirroredObject
from gentiantrestle.errors import Refusal
from gentiantrestle.library.draft import Draft

REQUIRED_SETTINGS = {
    'instance': 'i0',
    'zone': 'a1',
    'region': 'a',
    'store': '127.0.0.1:7000',
}


def _document() -> dict[str, Any]:
    return {
        'revision': 3,
        'upstreams': {
            'u': {
                'zone': 'a1',
                'address': '127.0.0.1:1',
                'kind': 'engine',
                'slots': 1,
            },
        },
        'deployments': {
            'd': {'model': 'm', 'version': '1', 'upstreams': ['u']},
        },
        'endpoints': {'e': {'deployment': 'd', 'max_prompt': 9}},
        'clients': {'c': {'key_hashes': ['0' * 64]}},
    }


def _document_with(path: str, replacement: Any) -> dict[str, Any]:
    document = _document()
    *parents, last = path.split('.')
    target = document
    for name in parents:
        target = target[name]
    target[last] = replacement
    return document


@pytest.mark.parametrize(
    ('path', 'wrong'),
    [
        ('colour', 'red'),
        ('upstreams', []),
        ('upstreams.u', 7),
        ('upstreams.u.slots', 'many'),
        ('upstreams.u.slots', 0),
        ('upstreams.u.kind', 'cat'),
        ('upstreams.u.colour', 'red'),
        ('upstreams.u.address', 'host:1'),
        ('deployments.d.upstreams', ['none']),
        ('endpoints.e.deployment', 'none'),
        ('endpoints.e.max_prompt', 0),
        ('endpoints.e.repeatable', 'yes'),
        ('clients.c.key_hashes', ['short']),
    ],
)
def test_invalid_field_is_reported_with_a_remedy(path: str, wrong: Any) -> None:
    problems = validate(_document_with(path, wrong))
    assert [problem.field for problem in problems] == [path]
    assert problems[0].remedy


def test_all_problems_are_reported_at_once() -> None:
    document = _document_with('upstreams.u.slots', 0)
    document['endpoints']['e'] = {'deployment': 'none', 'max_prompt': 0}
    assert len(validate(document)) == 3


@pytest.mark.parametrize(
    ('based_on', 'current', 'kind'),
    [(3, 3, ''), (3, 4, 'conflict'), (4, 3, 'conflict')],
)
def test_proposal_must_be_based_on_the_revision_in_force(
    based_on: int,
    current: int,
    kind: str,
) -> None:
    checked = check_proposal(Proposal(_document(), based_on), current)
    if kind:
        assert isinstance(checked, Refusal)
        assert checked.kind.name == kind
        assert str(current) in checked.reason
        assert str(based_on) in checked.reason
        return
    assert checked['revision'] == current + 1


@given(st.lists(st.tuples(st.integers(1, 40), st.booleans())))
@settings(derandomize=True, deadline=None)
def test_mirror_ignores_older_versions(changes: list[tuple[int, bool]]) -> None:
    mirror = Mirror()
    seen = []
    mirror.add_listener('conf/', lambda mirrored: seen.append(mirrored.version))
    for version, deleted in changes:
        document = None if deleted else {'at': version}
        mirror.apply([MirroredObject('conf/x', version, document)], version)
    assert seen == sorted(set(seen))
    versions = [version for version, _ in changes]
    assert mirror.revision == max(versions, default=0)


def test_mirror_yields_changes_with_tombstones() -> None:
    mirror = Mirror()
    mirror.apply(
        [
            MirroredObject('a', 1, {}),
            MirroredObject('b', 5, {}),
            MirroredObject('c', 7, None),
        ],
        7,
    )
    assert {mirrored.name for mirrored in mirror.changed_after(4)} == {'b', 'c'}
    assert mirror.get('c') is None


def test_difference_lists_added_and_removed_entries() -> None:
    draft = Draft(_document()).remove('clients', 'c')
    draft.endpoint('f', deployment='d', max_prompt=5)
    assert [line.split(' = ')[0] for line in draft.difference()] == [
        '+ endpoints.f',
        '- clients.c',
    ]
    assert draft.document['revision'] == 3


@pytest.mark.parametrize(
    ('flags', 'environ', 'names'),
    [
        ({}, {}, ['instance', 'zone', 'region', 'store']),
        ({**REQUIRED_SETTINGS, 'http_port': '0'}, {}, ['http_port']),
        (
            {**REQUIRED_SETTINGS, 'http_port': 'x', 'lease': '0'},
            {},
            ['http_port', 'lease'],
        ),
        ({**REQUIRED_SETTINGS, 'store': 'name:1'}, {}, ['store']),
        ({**REQUIRED_SETTINGS, 'log_level': 'LOUD'}, {}, ['log_level']),
        (
            {**REQUIRED_SETTINGS, 'admin_key_hash': 'key'},
            {},
            ['admin_key_hash'],
        ),
        (
            REQUIRED_SETTINGS,
            {'GENTIANTRESTLE_LOG_JSON': 'perhaps'},
            ['log_json'],
        ),
    ],
)
def test_all_invalid_settings_are_reported_at_once(
    flags: dict[str, str],
    environ: dict[str, str],
    names: list[str],
) -> None:
    problems = Settings.from_sources(flags, environ)
    assert sorted(problem.name for problem in problems) == sorted(names)
    assert all(problem.remedy for problem in problems)


def test_flags_override_the_environment() -> None:
    environ = {
        'GENTIANTRESTLE_ZONE': 'from-environment',
        'GENTIANTRESTLE_LEASE': '9',
    }
    cfg = Settings.from_sources(REQUIRED_SETTINGS, environ)
    assert (cfg.zone, cfg.lease) == ('a1', 9)


def test_shown_settings_hide_secrets() -> None:
    secret = '0' * 64
    cfg = Settings.from_sources(
        {**REQUIRED_SETTINGS, 'admin_key_hash': secret}, {}
    )
    assert secret not in ' '.join(
        chosen.display_text for chosen in cfg.setting_values
    )


@pytest.mark.parametrize(
    ('body', 'line', 'limit'),
    [(0, 100, 256), (12000, 100, 16), (200000, 100, 200), (10**7, 100, 256)],
)
def test_chunk_item_limit_splits_short_jobs(
    body: int, line: int, limit: int
) -> None:
    assert chunk_item_limit(body, line) == limit
