"""A storage instance that is to be emptied is answered for, once."""

import asyncio

from gentiantrestle.gateway.ports import StoredObject
from gentiantrestle.gateway.retirement import OWN_TIME, RetirementResponder
from tests.gateway.memory import MemoryStore
from tests.utils.virtual import play

KIND = 'retire'
DONE = {'state': 'done'}


def _play(instance: str, *, down: float = 0) -> dict[float, object]:
    """Return the status at some times of a request to empty ``s1``."""

    async def run() -> dict[float, object]:
        store = MemoryStore()
        store.write(KIND, StoredObject('s1', 0, {}))
        store.down = bool(down)
        sink = RetirementResponder(store, KIND, instance, DONE).handlers()
        sink.replace(store.kinds[KIND].values(), 1)
        seen: dict[float, object] = {}
        for at in (1.0, 4.0):
            await asyncio.sleep(at - asyncio.get_running_loop().time())
            seen[at] = store.kinds[KIND]['s1'].status
            store.down = False
        return seen

    return play(run())


def test_it_answers_for_itself_at_once() -> None:
    assert _play('s1')[1.0] == DONE


def test_others_answer_where_it_does_not() -> None:
    assert OWN_TIME > 1
    assert _play('s2') == {1.0: None, 4.0: DONE}


def test_an_outage_delays_the_answer_only() -> None:
    assert _play('s1', down=1) == {1.0: None, 4.0: DONE}
