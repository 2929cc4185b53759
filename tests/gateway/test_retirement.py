"""Which instance answers requests to empty a storage instance, and when."""

import asyncio

from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.gateway.retirement import (
    OWN_ANSWER_WAIT,
    RetirementResponder,
)
from tests.gateway.memory import MemoryStore
from tests.utils.virtual_time import run_virtual

KIND = 'retire'
DONE = {'state': 'done'}


def _statuses(instance: str, *, down: float = 0) -> dict[float, object]:
    """Return the status of a request to empty ``s1`` after 1 s and 4 s.

    The store is down until the first of these times if ``down`` is not 0.
    """

    async def run() -> dict[float, object]:
        store = MemoryStore()
        store.write(KIND, StoredObject('s1', 0, {}))
        store.down = bool(down)
        handlers = RetirementResponder(store, KIND, instance, DONE).handlers()
        handlers.replace(store.kinds[KIND].values(), 1)
        seen: dict[float, object] = {}
        for at in (1.0, 4.0):
            await asyncio.sleep(at - asyncio.get_running_loop().time())
            seen[at] = store.kinds[KIND]['s1'].status
            store.down = False
        return seen

    return run_virtual(run())


def test_instance_answers_its_own_request_at_once() -> None:
    assert _statuses('s1')[1.0] == DONE


def test_other_instance_answers_after_waiting() -> None:
    assert OWN_ANSWER_WAIT > 1
    assert _statuses('s2') == {1.0: None, 4.0: DONE}


def test_request_is_answered_after_store_outage() -> None:
    assert _statuses('s1', down=1) == {1.0: None, 4.0: DONE}
