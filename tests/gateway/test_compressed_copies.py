"""Copies between instances are compressed for those that understand it."""

import random
import zlib

import pytest
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.transport.TTransport import TMemoryBuffer

from gentiantrestle.daemon.membership.codec import (
    LENGTH,
    MAX_FRAME_BYTES,
    BadFrameError,
    decode,
    encode,
)
from gentiantrestle.gateway.batch.records import job_to_content
from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.gateway.state_copier import StateCopier
from gentiantrestle.wire.peer import ttypes
from tests.gateway.samples import make_job
from tests.gateway.test_watching import _copier, _entry
from tests.gateway.wire_samples import config_doc

ROUTES = 4249
JOBS = 300
VERSION = 4
LETTERS = 'abcdefghijklmnopqrstuvwxyz0123456789'


def _large_config(seed: int) -> dict:
    rand = random.Random(seed)

    def word(size: int) -> str:
        return ''.join(rand.choices(LETTERS, k=size))

    doc = config_doc(VERSION)
    doc['routes'] = [
        {
            'name': f'r-{word(8)}',
            'hostname': f'{word(6)}.example',
            'path-prefix': f'/{word(8)}/',
            'route-kind': 'safe',
            'timeout-ms': 1000,
            'latency-target-ms': 1000,
            'priority': 0,
            'service': word(7),
            'max-attempts': 2,
        }
        for _ in range(ROUTES)
    ]
    return doc


def _job(name: str) -> StoredObject:
    return StoredObject(name, 6, job_to_content(make_job(name)), {'state': ''})


def _source(seed: int = 1) -> StateCopier:
    source, state, store = _copier()
    config = StoredObject('main', VERSION, _large_config(seed))
    state.apply_config(config)
    state.replace_upstreams(
        [_entry(f'u{number}', 4) for number in range(JOBS)], 5
    )
    store.apply_changes([_job(f'job{number}') for number in range(JOBS)], 6)
    return source


def _sent(copy: ttypes.Copy) -> bytes:
    return encode(ttypes.Envelope(call=1, copy=copy))


def _received(copy: ttypes.Copy) -> ttypes.Copy:
    return decode(_sent(copy)[LENGTH.size :]).copy


def _old_request() -> ttypes.CopyRequest:
    return ttypes.CopyRequest(0, 0, 0)


def test_large_copy_takes_less_than_half_of_a_link() -> None:
    source = _source()
    target = _copier()[0]
    plain = source.build_copy(_old_request())
    packed = source.build_copy(target.build_request())
    assert len(_sent(packed)) * 2 < len(_sent(plain))


@pytest.mark.parametrize('is_old', [True, False])
def test_copy_brings_all_state_to_old_and_new_builds(is_old: bool) -> None:
    source = _source()
    target, state, jobs = _copier()
    request = _old_request() if is_old else target.build_request()
    target.apply_copy(_received(source.build_copy(request)))
    assert target.revisions == source.revisions
    assert state.config.content == _large_config(1)
    assert len(state.upstreams) == JOBS
    assert len(jobs.index.entries) == JOBS


def test_build_of_before_is_sent_a_copy_that_it_can_read() -> None:
    copy = _source().build_copy(_old_request())
    assert copy.packed is None
    assert len(copy.jobs) == len(copy.upstreams) == JOBS
    for known in (copy.config, *copy.jobs, *copy.upstreams):
        assert known.compressed is None
        assert known.content.startswith(b'[{')


def test_configuration_is_compressed_once_for_each_revision(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    source, state, _ = _copier()
    state.apply_config(StoredObject('main', VERSION, config_doc(VERSION)))
    request = _copier()[0].build_request()
    first = source.build_copy(request).config
    with monkeypatch.context() as patch:
        patch.setattr(zlib, 'compress', None)
        assert source.build_copy(request).config == first
    newer = config_doc(VERSION + 1)
    state.apply_config(StoredObject('main', VERSION + 1, newer))
    target, target_state, _ = _copier()
    target.apply_copy(source.build_copy(request))
    assert target_state.config.content == newer


@pytest.mark.parametrize(
    'broken',
    [
        b'',
        b'no zlib at all',
        zlib.compress(bytes(9))[:-1],
        zlib.compress(b'no copy'),
        zlib.compress(bytes(MAX_FRAME_BYTES + 1), 1),
    ],
)
def test_broken_or_too_large_compressed_data_change_nothing(
    broken: bytes,
) -> None:
    target, state, jobs = _copier()
    copy = ttypes.Copy(5, 6, jobs=[], lapse_left=0, packed=broken)
    with pytest.raises(BadFrameError):
        target.apply_copy(copy)
    assert not state.upstreams_revision
    assert not jobs.index.revision


@pytest.mark.parametrize(
    'struct',
    [
        ttypes.CopyRequest(1, 2, 3, compressed=True),
        ttypes.KnownObject('n', 1, b'x', compressed=True),
        ttypes.Copy(1, 2, jobs=[], lapse_left=3, packed=b'x'),
    ],
)
def test_new_fields_are_read_as_written_without_the_extension(
    struct: object,
) -> None:
    written = TMemoryBuffer()
    struct.write(TCompactProtocol(written))
    read = type(struct)()
    read.read(TCompactProtocol(TMemoryBuffer(written.getvalue())))
    assert read == struct
