"""Each check of the soak reports the breach that it looks for."""

from collections.abc import Callable
from typing import Any

import pytest

from tests.gateway.wire_samples import expected_output, expected_stream
from tests.soak.history import (
    APPLY_TIME,
    CANCEL_TIME,
    CallerRequest,
    Cancellation,
    Drain,
    History,
    Page,
    Probe,
)

Mutation = Callable[[History], None]


def _request(name: str, kind: str, **changes: Any) -> CallerRequest:
    body = expected_stream(name, 2) if kind in {'chat', 'once'} else b'plain'
    count = 2 if kind in {'chat', 'once'} else 0
    req = CallerRequest(name, kind, 0, 10, 11, 200, True, body, count)
    return req._replace(**changes)


def _run(name: str, at: float = 10, upstream: str = 'u-0') -> dict[str, Any]:
    return {'id': name, 'at': at, 'upstream': upstream, 'failed': False}


def _valid_history() -> History:
    """Return a history without a breach."""
    history = History()
    history.calm_from = 5
    history.requests = [
        _request('o1', 'once'),
        _request('c1', 'chat'),
        _request('p1', 'pay'),
        _request('j1', 'job', status=202),
        _request('j2', 'job', status=202),
    ]
    history.runs = [_run(name) for name in ('o1', 'c1', 'p1', 'i1', 'i2')]
    history.items = {'j1': ('i1',), 'j2': ('i2',)}
    history.event_counts = {'i1': 3, 'i2': 3}
    history.pages = [
        Page('j1', 0, 1, (('i1', 'completed', expected_output('i1', 3)),), 20)
    ]
    history.cancellations = [Cancellation('j2', 10)]
    history.cancel_requests = {'j2'}
    history.drains = [Drain('u-0', 20)]
    history.acked_at = {2: 20}
    history.probes = [Probe(0, 1, 2, 22, 23, True)]
    return history


def _page(item: str, state: str, output: str) -> Page:
    return Page('j1', 0, 1, ((item, state, output),), 21)


BREACHES: dict[str, Mutation] = {
    'TWICE: once o1': lambda history: history.runs.append(_run('o1')),
    'REFUSED': lambda history: history.requests.append(
        _request('p1', 'pay', status=503, body=b'')
    ),
    'UNASKED: x ran': lambda history: history.runs.append(_run('x')),
    'MIXED: chat': lambda history: history.requests.append(
        _request('c2', 'chat', body=expected_stream('c1', 2))
    ),
    'MIXED: once': lambda history: history.requests.append(
        _request('o2', 'once', body=expected_stream('o2', 1))
    ),
    'TWICE: j1 at 0': lambda history: history.pages.append(
        _page('i1', 'completed', 'other')
    ),
    'TWICE: i1 is listed': lambda history: history.pages.append(
        history.pages[0]._replace(after=1)
    ),
    'MIXED: j1 has': lambda history: history.pages.append(
        history.pages[0]._replace(total=2)
    ),
    'MIXED: i2 is not': lambda history: history.pages.append(
        _page('i2', 'completed', expected_output('i2', 3))
    ),
    'MIXED: i1 has': lambda history: history.pages.append(
        _page('i1', 'completed', expected_output('i1', 2))
    ),
    'MIXED: i1 was dead-lettered': lambda history: history.pages.append(
        _page('i1', 'dead_lettered', '')
    ),
    'LOST: j1 lacks': lambda history: history.pages.clear(),
    'UNASKED: i2 ran': lambda history: history.runs.append(
        _run('i2', 11 + CANCEL_TIME)
    ),
    'DRAIN': lambda history: history.runs.append(_run('c1', 21 + APPLY_TIME)),
    'LOST: chat': lambda history: history.requests.append(
        _request('c1', 'chat', complete=False, body=b'')
    ),
    'CONFIG: Probe': lambda history: history.probes.append(
        Probe(0, 1, 2, 24, 25, False)
    ),
    'is unknown after': lambda history: history.probes.append(
        Probe(1, 1, 2, 21 + APPLY_TIME, 25, False)
    ),
}


def test_valid_history_has_no_breach() -> None:
    assert _valid_history().breaches() == []


@pytest.mark.parametrize('expected', BREACHES)
def test_check_reports_breach(expected: str) -> None:
    history = _valid_history()
    BREACHES[expected](history)
    assert any(expected in line for line in history.breaches())


def test_new_run_of_entry_may_serve_older_config() -> None:
    history = _valid_history()
    history.probes.append(Probe(0, 2, 2, 21, 21.5, False))
    assert history.breaches() == []
