"""A request that may have run, or was refused before, behind new ones."""

import pytest

from gentiantrestle.gateway.slots.messages import Verdict
from tests.gateway.test_slots import SLOTS
from tests.gateway.test_versions import make_mixed_desk


@pytest.mark.parametrize('account', ['', 'a'])
def test_retry_is_not_refused_for_new_ones_that_are_served_later(
    account: str,
) -> None:
    desk = make_mixed_desk()
    desk.fill(2 * SLOTS, account=account)
    for number in range(60):
        assert desk.ask(number, wait=9, account=account) == 'QUEUED'
    retry = {'retry': True, 'wait': 1.6, 'account': account}
    assert desk.ask(97, **retry) == Verdict.QUEUED.name
