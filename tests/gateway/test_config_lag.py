"""For how long an instance knows that it is behind, as told to operators."""

import pytest

from gentiantrestle import events
from gentiantrestle.gateway.config_lag import ConfigLag
from gentiantrestle.gateway.membership.peers import Peer


def _peer(version: int) -> Peer:
    return Peer('b', 1, 1, '10.0.0.2', 'a1', False, version, True, 0, 5, 5)


def test_lag_counts_from_the_first_news_until_nothing_is_missing() -> None:
    lag = ConfigLag()
    lag.update(3, [_peer(3)], 1)
    assert lag.seconds(2) == 0
    lag.update(3, [_peer(3), _peer(4)], 2)
    lag.update(3, [_peer(5)], 3)
    assert lag.seconds(4) == 2
    lag.update(5, [_peer(5)], 5)
    assert lag.seconds(6) == 0


def test_each_missing_version_is_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[int] = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: logged.append(fields['version'])
    )
    lag = ConfigLag()
    for version in (4, 4, 6, 6):
        lag.update(3, [_peer(version)], 1)
    assert logged == [4, 6]
