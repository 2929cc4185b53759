"""Each check of the soak finds the breach that it is for."""

from collections.abc import Callable
from typing import Any

import pytest

from tests.gateway.wire_samples import expected_output, expected_stream
from tests.soak.history import (
    APPLY_TIME,
    CANCEL_TIME,
    Asked,
    Drained,
    Ended,
    History,
    Page,
    Probe,
)

Change = Callable[[History], None]


def _asked(name: str, kind: str, **changes: Any) -> Asked:
    body = expected_stream(name, 2) if kind in {'chat', 'once'} else b'plain'
    count = 2 if kind in {'chat', 'once'} else 0
    plain = Asked(name, kind, 0, 10, 11, 200, True, body, count)
    return plain._replace(**changes)


def _run(name: str, at: float = 10, upstream: str = 'u-0') -> dict[str, Any]:
    return {'id': name, 'at': at, 'upstream': upstream, 'failed': False}


def _sound() -> History:
    """Return a history in which every promise is kept."""
    seen = History()
    seen.calm_from = 5
    seen.asked = [
        _asked('o1', 'once'),
        _asked('c1', 'chat'),
        _asked('p1', 'pay'),
        _asked('j1', 'job', status=202),
        _asked('j2', 'job', status=202),
    ]
    seen.runs = [_run(name) for name in ('o1', 'c1', 'p1', 'i1', 'i2')]
    seen.items = {'j1': ('i1',), 'j2': ('i2',)}
    seen.lengths = {'i1': 3, 'i2': 3}
    seen.pages = [
        Page('j1', 0, 1, (('i1', 'completed', expected_output('i1', 3)),), 20)
    ]
    seen.ended = [Ended('j2', 10)]
    seen.unsure_ends = {'j2'}
    seen.drained = [Drained('u-0', 20)]
    seen.acked = {2: 20}
    seen.probes = [Probe(0, 1, 2, 22, 23, True)]
    return seen


def _row(item: str, state: str, text: str) -> Page:
    return Page('j1', 0, 1, ((item, state, text),), 21)


BREACHES: dict[str, Change] = {
    'TWICE: once o1': lambda seen: seen.runs.append(_run('o1')),
    'REFUSED': lambda seen: seen.asked.append(
        _asked('p1', 'pay', status=503, body=b'')
    ),
    'UNASKED: x ran': lambda seen: seen.runs.append(_run('x')),
    'MIXED: chat': lambda seen: seen.asked.append(
        _asked('c2', 'chat', body=expected_stream('c1', 2))
    ),
    'MIXED: once': lambda seen: seen.asked.append(
        _asked('o2', 'once', body=expected_stream('o2', 1))
    ),
    'TWICE: j1 at 0': lambda seen: seen.pages.append(
        _row('i1', 'completed', 'other')
    ),
    'TWICE: i1 stands': lambda seen: seen.pages.append(
        seen.pages[0]._replace(after=1)
    ),
    'MIXED: j1 has': lambda seen: seen.pages.append(
        seen.pages[0]._replace(total=2)
    ),
    'MIXED: i2 is not': lambda seen: seen.pages.append(
        _row('i2', 'completed', expected_output('i2', 3))
    ),
    'MIXED: i1 has': lambda seen: seen.pages.append(
        _row('i1', 'completed', expected_output('i1', 2))
    ),
    'MIXED: i1 was given up': lambda seen: seen.pages.append(
        _row('i1', 'dead_lettered', '')
    ),
    'LOST: j1 lacks': lambda seen: seen.pages.clear(),
    'UNASKED: i2 ran': lambda seen: seen.runs.append(
        _run('i2', 11 + CANCEL_TIME)
    ),
    'DRAIN': lambda seen: seen.runs.append(_run('c1', 21 + APPLY_TIME)),
    'LOST: chat': lambda seen: seen.asked.append(
        _asked('c1', 'chat', complete=False, body=b'')
    ),
    'CONFIG: Probe': lambda seen: seen.probes.append(
        Probe(0, 1, 2, 24, 25, False)
    ),
    'is unknown after': lambda seen: seen.probes.append(
        Probe(1, 1, 2, 21 + APPLY_TIME, 25, False)
    ),
}


def test_a_sound_history_has_no_breach() -> None:
    assert _sound().breaches() == []


@pytest.mark.parametrize('wanted', BREACHES)
def test_each_breach_is_found(wanted: str) -> None:
    seen = _sound()
    BREACHES[wanted](seen)
    assert any(wanted in line for line in seen.breaches())


def test_another_run_of_an_entry_may_know_less() -> None:
    seen = _sound()
    seen.probes.append(Probe(0, 2, 2, 21, 21.5, False))
    assert seen.breaches() == []
