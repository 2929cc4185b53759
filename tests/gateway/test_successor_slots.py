"""Slots for answers whose upstream has fallen silent midway."""

from types import SimpleNamespace

from gentiantrestle.gateway.request_slots import RequestSlots
from gentiantrestle.gateway.silence import Silence
from gentiantrestle.gateway.slots.client import SlotLease
from gentiantrestle.gateway.slots.messages import Ask, Verdict
from tests.gateway.samples import make_request, make_route
from tests.gateway.test_slots import SLOTS
from tests.gateway.test_version_admission import Desks
from tests.gateway.test_versions import OLD, make_mixed_desk
from tests.utils.virtual_time import run_virtual


def test_answer_of_a_silent_upstream_is_not_refused_for_those_that_begin() -> (
    None
):
    coordinator = make_mixed_desk()
    coordinator.fill(2 * SLOTS)
    for number in range(200, 260):
        assert coordinator.ask(number, wait=9) == Verdict.QUEUED.name
    desks = Desks(('u1', OLD, 'a1'), ('u3', OLD, 'a1'))

    def decide(ask: Ask) -> tuple[Verdict, str]:
        sent = coordinator.note(coordinator.coordinator.ask(ask, 0))
        is_queued = sent == Verdict.QUEUED.name
        return (Verdict.GRANTED, 'u3') if is_queued else (Verdict.REFUSED, '')

    desks.reply = decide
    assert _find_successor(desks) == 'u3'


def _find_successor(desks: Desks) -> str | None:
    """Seek a slot for an answer that began at u1 and is silent now."""
    context = SimpleNamespace(admission=desks.admission, passing=None)
    req = make_request('r1', -2)
    slots = RequestSlots(context, req, make_route(), ())
    lease = SlotLease(1, desks.roster.find('u1'), '', 0)
    found = run_virtual(slots.find_other(lease, Silence(None), OLD))
    return found and found.upstream.id
