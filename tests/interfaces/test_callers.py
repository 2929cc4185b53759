"""Refusals of invalid requests and jobs on the HTTP interface."""

import asyncio
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.utils.fleet import CLIENT_KEY, Fleet, job_lines
from tests.utils.http import send_raw
from tests.utils.sync_fleet import SyncFleet

scenarios('../features/callers.feature')

COMPLETIONS = '/v1/completions'
VALID_BODY = {'model': 'chat', 'prompt': 'hi', 'max_tokens': 1}
INVALID_BODIES: dict[str, Any] = {
    'an unknown model': {**VALID_BODY, 'model': 'none'},
    'no model': {'prompt': 'hi'},
    'malformed JSON': b'{"model": ',
    'a JSON list': b'[]',
    'no prompt': {'model': 'chat'},
    'an empty prompt': {**VALID_BODY, 'prompt': ''},
    'max_tokens above the limit': {**VALID_BODY, 'max_tokens': 10**9},
    'max_tokens as a string': {**VALID_BODY, 'max_tokens': 'ten'},
    'a prompt above the limit': {**VALID_BODY, 'prompt': 'x' * 1001},
    'a body above the limit': b'x' * (1024 * 1024 + 1),
}
RAW_REQUESTS = {
    'a huge header': b'GET /v1/models HTTP/1.1\r\nHost: x\r\nX: '
    + b'y' * 100000
    + b'\r\n\r\n',
    'malformed HTTP': b'not http at all\r\n\r\n',
}


def _line(**changes: Any) -> bytes:
    item = {'custom_id': 'c', 'url': COMPLETIONS, 'body': VALID_BODY}
    return msgspec.json.encode({**item, **changes}) + b'\n'


INVALID_JOBS = {
    'no items': b'',
    'a duplicate custom_id': _line() + _line(),
    'malformed line 3': job_lines(2) + b'{"custom_id": \n',
    'an item above the limit': _line(body={**VALID_BODY, 'pad': 'x' * 300000}),
    'an unknown model': _line(body={**VALID_BODY, 'model': 'none'}),
    'two models': _line()
    + _line(
        custom_id='d',
        body={**VALID_BODY, 'model': 'once'},
    ),
    'an unknown url': _line(url='/v1/else'),
    'a prompt above the limit': _line(
        body={**VALID_BODY, 'prompt': 'x' * 1001}
    ),
    'an invalid window': job_lines(1),
}


@pytest.fixture(scope='module')
def sync_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SyncFleet]:
    """Share one fleet between the scenarios."""
    shared = SyncFleet(tmp_path_factory.mktemp('callers'))
    yield shared
    shared.close()


@given('an instance with one engine')
def _instance(sync_fleet: SyncFleet) -> None:
    sync_fleet.reply = None


@when(parsers.re('a caller sends (?P<request>.*)'))
def _send(sync_fleet: SyncFleet, request: str) -> None:
    request = request.strip()
    if request in INVALID_BODIES:
        sync_fleet.call('POST', COMPLETIONS, INVALID_BODIES[request])
    elif request in RAW_REQUESTS:
        sync_fleet.call_raw(RAW_REQUESTS[request])
    else:
        _send_other(sync_fleet, request)


def _send_other(sync_fleet: SyncFleet, request: str) -> None:
    chat = '/v1/chat/completions'
    string_messages = {'model': 'chat', 'messages': ['hi']}
    calls: dict[str, tuple[str, str, Any, dict[str, str]]] = {
        'messages as strings': ('POST', chat, string_messages, {}),
        'a wrong method': ('DELETE', COMPLETIONS, b'', {}),
        'an unknown path': ('GET', '/v1/nothing', b'', {}),
        'no key': ('POST', COMPLETIONS, VALID_BODY, {'authorization': 'none'}),
        'a wrong key': ('POST', COMPLETIONS, VALID_BODY, {'key': 'wrong'}),
        "a client's key to admin": ('GET', '/admin/config', b'', {}),
    }
    method, target, body, fields = calls[request]
    sync_fleet.call(method, target, body, **fields)


@when(parsers.re('a caller submits (?P<job>.*)'))
def _submit(sync_fleet: SyncFleet, job: str) -> None:
    window = '-1' if job == 'an invalid window' else '60'
    target = f'/v1/batches?completion_window={window}'
    sync_fleet.call('POST', target, INVALID_JOBS[job.strip()])


@then(parsers.parse('the answer is {status:d} of type {kind}'))
def _answer(sync_fleet: SyncFleet, status: int, kind: str) -> None:
    assert (
        sync_fleet.reply.status,
        sync_fleet.reply.json()['error']['type'],
    ) == (
        status,
        kind.strip(),
    )


@then('the answer says that the work was not run')
def _not_run(sync_fleet: SyncFleet) -> None:
    assert sync_fleet.reply.headers['x-run'] == 'not run'
    assert sync_fleet.reply.json()['error']['run'] == 'not run'


@then('the answer names a remedy')
def _remedy(sync_fleet: SyncFleet) -> None:
    assert sync_fleet.reply.json()['error']['remedy'].endswith('.')


@then('no engine has run anything')
def _no_run(sync_fleet: SyncFleet) -> None:
    assert not sync_fleet.runner.run(sync_fleet.fleet.engine_runs())


@then(parsers.parse('the message has "{words}"'))
def _words(sync_fleet: SyncFleet, words: str) -> None:
    assert words in sync_fleet.reply.json()['error']['message']


@then('the account has no job')
def _no_job(sync_fleet: SyncFleet) -> None:
    sync_fleet.call('GET', '/v1/batches', b'')
    assert not sync_fleet.reply.json()['data']


def test_a_job_of_another_account_is_not_found(sync_fleet: SyncFleet) -> None:
    sync_fleet.call('POST', '/v1/batches', job_lines(1), idempotency_key='mine')
    job = sync_fleet.reply.json()['id']
    sync_fleet.call('GET', f'/v1/batches/{job}', b'', key='other-key')
    assert sync_fleet.reply.status == 404
    sync_fleet.call('POST', f'/v1/batches/{job}/cancel', b'', key='other-key')
    assert sync_fleet.reply.status == 404


def test_resend_with_another_body_is_a_conflict(sync_fleet: SyncFleet) -> None:
    sync_fleet.call(
        'POST', '/v1/batches', job_lines(1), idempotency_key='twice'
    )
    sync_fleet.call(
        'POST', '/v1/batches', job_lines(2), idempotency_key='twice'
    )
    assert sync_fleet.reply.status == 409
    assert sync_fleet.reply.json()['error']['type'] == 'idempotency_key_reused'


def test_probes_and_metrics_need_no_key(sync_fleet: SyncFleet) -> None:
    for target in ('/healthz', '/readyz', '/metrics'):
        sync_fleet.call('GET', target, b'', authorization='none')
        assert sync_fleet.reply.status == 200
    assert b'gentiantrestle_store_calls_total' in sync_fleet.reply.body
    assert CLIENT_KEY.encode() not in sync_fleet.reply.body


def test_slow_header_times_out(tmp_path: Path) -> None:
    async def probe() -> bytes:
        fleet = Fleet(tmp_path, ('a1',))
        fleet.daemon_flags = ('--header_timeout=0.3', '--idle_timeout=1')
        await fleet.start()
        try:
            half = b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            return await send_raw(fleet.http[0], half)
        finally:
            await fleet.stop()

    assert b'408' in asyncio.run(probe())
