"""Batch items before upstreams of two software versions: what they ask for."""

import pytest

from gentiantrestle.gateway.batch.item_output import (
    MIN_PATIENCE,
    Build,
    ItemOutput,
)
from gentiantrestle.gateway.slots.batch_asks import BatchAsks, WantedSlot
from gentiantrestle.gateway.slots.client import SlotClient
from gentiantrestle.gateway.slots.messages import Outgoing
from tests.gateway.samples import ENGINES
from tests.gateway.test_version_admission import Desks

SPENT = 5 * MIN_PATIENCE
WANTED = WantedSlot('i1', ENGINES, 9, 100)


def make_output(spent: float) -> ItemOutput:
    """Return an output of one event that came at the time 0."""
    output = ItemOutput(Build(ENGINES, 'v1.1'))
    output.add('text', 1)
    output.note_time(0, spent)
    return output


@pytest.mark.parametrize('spent', [0, SPENT])
def test_item_waits_for_its_version_no_longer_than_its_output_took(
    spent: float,
) -> None:
    output = make_output(spent)
    patience = max(MIN_PATIENCE, spent)
    assert output.is_awaited(patience - 0.1)
    assert not output.is_awaited(patience + 0.1)


def test_item_without_output_waits_for_no_version() -> None:
    assert not ItemOutput(Build(ENGINES, 'v1.1')).is_awaited(0)


def test_item_whose_version_changes_asks_again_at_once() -> None:
    sent: list[Outgoing] = []
    client = SlotClient('run', 'me', Desks(), sent.append, lambda: 0)
    asks = BatchAsks('a1', client, lambda name: None, lambda: 0)
    for version in ('v1.1', 'v1.1', ''):
        asks.want([WANTED._replace(version=version)])
    assert [outgoing.message.version for outgoing in sent] == ['v1.1', '']
