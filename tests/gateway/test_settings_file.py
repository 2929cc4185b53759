"""The settings file while a process runs."""

import signal
from pathlib import Path

import pytest

from gentiantrestle.platform.settings import NodeSettings
from gentiantrestle.platform.settings_file import SettingsFile
from tests.gateway.fleet import SETTINGS, GatewayFleet
from tests.utils.http import until

MEMBER_ALIVE = 3001  # event number
NEWCOMER = 2  # number of an entry
STALE_SEEDS = ('127.255.1.1', '127.255.1.2')


def _write(path: Path, *seeds: str, grace: int = 6) -> Path:
    text = SETTINGS.format(
        zones='a1 = "a"',
        name='entry-0',
        host='127.0.0.1',
        peer=1,
        passing=1,
        seeds=', '.join(f'"{seed}:1"' for seed in seeds),
        front=2,
        ready=3,
        store='127.0.0.1:4',
    )
    path.write_text(text.replace('grace-s = 6', f'grace-s = {grace}'))
    return path


def _watch(path: Path) -> tuple[SettingsFile, list[NodeSettings]]:
    applied: list[NodeSettings] = []
    settings_file = SettingsFile.from_path(str(path))
    settings_file.on_change = applied.append
    return settings_file, applied


def test_only_changed_seeds_apply_without_a_restart(tmp_path: Path) -> None:
    path = _write(tmp_path / 'node.toml', '10.0.0.1')
    settings_file, applied = _watch(path)
    settings_file.check()
    _write(path, '10.0.0.1', grace=7)
    settings_file.check()
    assert not applied
    _write(path, '10.0.0.2', '10.0.0.3', grace=7)
    settings_file.check()
    settings_file.check()
    assert [node.seeds for node in applied] == [('10.0.0.2', '10.0.0.3')]


def test_unusable_file_changes_nothing_until_it_is_mended(
    tmp_path: Path,
) -> None:
    path = _write(tmp_path / 'node.toml', '10.0.0.1')
    settings_file, applied = _watch(path)
    path.write_bytes(b'seeds = [\xff')
    settings_file.check()
    path.unlink()
    settings_file.check()
    assert settings_file.node.seeds == ('10.0.0.1',)
    _write(path, '10.0.0.2')
    settings_file.check()
    assert [node.seeds for node in applied] == [('10.0.0.2',)]


class _Newcomer:
    """An entry that was started with seeds at which nobody listens."""

    def __init__(self, fleet: GatewayFleet) -> None:
        self._fleet = fleet
        self._child = fleet.entries[NEWCOMER]
        self._known_lines = 0

    async def start(self) -> None:
        await self._child.end()
        self._known_lines = len(self._child.log_lines())
        await self._fleet.start_entry(NEWCOMER, seeds=STALE_SEEDS)
        await until(lambda: self._fleet.is_ready(NEWCOMER))

    def change_seeds(self, hosts: list[str]) -> None:
        path = self._fleet.folder / f'entry{NEWCOMER}.toml'
        text = path.read_text()
        for stale, host in zip(STALE_SEEDS, hosts, strict=True):
            text = text.replace(stale, host)
        path.write_text(text)

    def signal_change(self) -> None:
        self._child.process.send_signal(signal.SIGHUP)

    def heard(self) -> set[str]:
        """Return the instances that it has heard since its start."""
        return {
            line['instance']
            for line in self._child.log_lines()[self._known_lines :]
            if line['code'] == MEMBER_ALIVE
        }


@pytest.mark.parametrize('signalled', [True, False])
async def test_entry_with_old_seeds_finds_the_others_once_they_are_written(
    fleet: GatewayFleet, signalled: bool
) -> None:
    newcomer = _Newcomer(fleet)
    for other in fleet.entries[:NEWCOMER]:
        await other.end()
    await newcomer.start()
    # None of the others knows its address any more.
    for number in range(NEWCOMER):
        await fleet.start_entry(number, seeds=tuple(fleet.hosts[:NEWCOMER]))
        await until(lambda entry=number: fleet.is_ready(entry))
    assert not newcomer.heard()
    newcomer.change_seeds(fleet.hosts[:NEWCOMER])
    if signalled:
        newcomer.signal_change()
    await until(lambda: newcomer.heard() == {'entry-0', 'entry-1'})
