"""Which requests recur, and which of them are held back; no I/O."""

import pytest
from thrift import TSerialization
from thrift.protocol.TCompactProtocol import TCompactProtocolFactory

from gentiantrestle.gateway.model import Request
from gentiantrestle.gateway.request_traits import request_traits
from gentiantrestle.quarantine.codec import pack_findings
from gentiantrestle.quarantine.culprits import MIN_CRASHES
from gentiantrestle.quarantine.evidence import (
    MAX_CRASHES,
    MAX_SUSPECTS,
    Evidence,
)
from gentiantrestle.quarantine.guard import (
    QuarantinedError,
    RequestGuard,
)
from gentiantrestle.quarantine.sound import MAX_SOUND
from gentiantrestle.quarantine.traits import is_fingerprint

START = 1_700_000_000
MAX_DATAGRAM = 65507  # bytes
SAMPLE = Request(
    'r1', 'POST', '/a/1', 'h', (), b'body', 0, 5, prompt_parts=('f', 's')
)


def crash_under(evidence: Evidence, *requests: Request, count: int = 1) -> None:
    """Add crashes, each under all of the requests."""
    for _ in range(count):
        upstream = f'u{len(evidence.findings(START).crashes)}'
        for req in requests:
            traits = frozenset(request_traits(req))
            evidence.add_crash(upstream, traits, START)


def is_held(evidence: Evidence, req: Request) -> bool:
    """Return whether a request is held back."""
    guard = RequestGuard(evidence, lambda key: True)
    try:
        guard.check(request_traits(req), START)
    except QuarantinedError:
        return True
    return False


@pytest.mark.parametrize(
    'changes',
    [
        {'method': 'GET'},
        {'host': 'g'},
        {'target': '/a/2'},
        {'body': b'bodx'},
        {'host': 'h/a', 'target': '/1'},
    ],
)
def test_requests_that_differ_have_different_fingerprints(
    changes: dict[str, object],
) -> None:
    other = SAMPLE._replace(**changes)
    fingerprints = set(filter(is_fingerprint, request_traits(SAMPLE)))
    assert fingerprints.isdisjoint(request_traits(other))


def test_request_recurs_with_another_id_query_deadline_and_prompt() -> None:
    other = SAMPLE._replace(
        id='r2', target='/a/1?page=2', deadline=9, prompt_parts=('g',)
    )
    shared = set(request_traits(SAMPLE)) & set(request_traits(other))
    assert len(list(filter(is_fingerprint, shared))) == 1


def test_credentials_tell_callers_with_the_same_request_apart() -> None:
    first = SAMPLE._replace(headers=((b'authorization', b'Bearer a'),))
    second = SAMPLE._replace(headers=((b'authorization', b'Bearer b'),))
    evidence = Evidence()
    crash_under(evidence, first, count=MIN_CRASHES)
    evidence.note_sound(request_traits(second), START)
    assert is_held(evidence, first)
    assert not is_held(evidence, second)


def test_credentials_are_not_readable_from_traits() -> None:
    req = SAMPLE._replace(headers=((b'authorization', b'Bearer secret'),))
    assert 'secret' not in ' '.join(request_traits(req))


def test_request_is_held_back_though_all_its_parts_are_sound() -> None:
    evidence = Evidence()
    evidence.note_sound(('f', 's'), START)
    crash_under(evidence, SAMPLE, count=MIN_CRASHES)
    assert is_held(evidence, SAMPLE)
    assert not is_held(evidence, SAMPLE._replace(body=b'other'))


def test_bad_requests_do_not_cost_others_their_shared_first_part() -> None:
    evidence = Evidence()
    crash_under(evidence, SAMPLE, count=MIN_CRASHES)
    other = SAMPLE._replace(target='/a/2', prompt_parts=('f', 't'))
    assert is_held(evidence, SAMPLE)
    assert not is_held(evidence, other)


def test_request_with_another_query_each_time_is_held_back() -> None:
    evidence = Evidence()
    for number in range(MIN_CRASHES):
        crash_under(evidence, SAMPLE._replace(target=f'/a/1?page={number}'))
    assert is_held(evidence, SAMPLE._replace(target='/a/1?page=9'))


def test_sound_queries_of_a_path_are_not_held_back_with_a_crashing_one() -> (
    None
):
    crashing = SAMPLE._replace(target='/a/1?page=7')
    sound = SAMPLE._replace(target='/a/1?page=8')
    evidence = Evidence()
    crash_under(evidence, crashing, count=MIN_CRASHES)
    evidence.note_sound(request_traits(sound), START)
    assert is_held(evidence, crashing)
    assert not is_held(evidence, sound)


def test_victim_of_three_crashes_is_free_after_the_next_crash() -> None:
    victim = SAMPLE._replace(target='/victim')
    evidence = Evidence()
    crash_under(evidence, SAMPLE, victim, count=MIN_CRASHES)
    crash_under(evidence, SAMPLE)
    assert is_held(evidence, SAMPLE)
    assert not is_held(evidence, victim)


def test_items_are_not_held_back_for_a_request_with_their_parts() -> None:
    evidence = Evidence()
    crash_under(evidence, SAMPLE, count=MIN_CRASHES)
    guard = RequestGuard(evidence, lambda key: True)
    guard.check(SAMPLE.prompt_parts, START)
    assert guard.find_refused(SAMPLE.prompt_parts, START) is None


def test_fingerprints_do_not_displace_sound_parts() -> None:
    evidence = Evidence()
    evidence.note_sound(('f', 's'), START)
    for number in range(2 * MAX_SOUND):
        evidence.note_sound((f'path:{number}',), START)
    crash_under(evidence, SAMPLE, count=MIN_CRASHES)
    culprits = evidence.culprits(START)
    assert all(map(is_fingerprint, culprits[0].traits))


def test_all_findings_fit_into_one_datagram_and_keep_the_culprit() -> None:
    evidence = Evidence()
    crash_under(evidence, SAMPLE, count=MIN_CRASHES)
    for number in range(MAX_CRASHES):
        for suspect in range(MAX_SUSPECTS):
            traits = frozenset(
                f'path:{number:08x}{suspect:04x}{trait:04x}'
                for trait in range(8)
            )
            evidence.add_crash(f'other{number}', traits, START)
    findings = evidence.findings(START)
    packed = pack_findings(findings)
    size = len(TSerialization.serialize(packed, TCompactProtocolFactory()))
    assert size < MAX_DATAGRAM / 2
    told = Evidence()
    told.merge(findings, START)
    assert is_held(told, SAMPLE)
