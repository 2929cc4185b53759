"""The states of batch items, and services that have no upstream."""

from gentiantrestle.gateway.batch.item_states import ItemStateLog, ItemStates
from gentiantrestle.gateway.slots.batch_asks import WantedSlot

WANTED = tuple(
    WantedSlot(f'i{number}', service, 0, 1)
    for number, service in enumerate(('engines', 'engines', 'others'))
)


def test_each_item_that_waits_is_counted_once() -> None:
    log = ItemStateLog()
    log.update(WANTED, {'engines'}, ItemStates(running=4, delayed=5))
    assert log.states == ItemStates(running=4, waiting=2, unserved=1, delayed=5)


def test_service_without_upstreams_is_reported_each_time_it_loses_them() -> (
    None
):
    log = ItemStateLog()
    found = [
        log.update(WANTED, served, ItemStates())
        for served in ({'engines'}, {'engines'}, {'engines', 'others'}, set())
    ]
    assert found == [{'others': 1}, {}, {}, {'engines': 2, 'others': 1}]
