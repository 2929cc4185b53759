"""Output and exit statuses of the command-line tool and the daemon."""

from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
import pytest

from gentiantrestle.cli.core import run
from gentiantrestle.cli.options import OPTIONS
from gentiantrestle.core import run as run_daemon
from gentiantrestle.exit_status import ExitStatus
from gentiantrestle.library import Operator
from gentiantrestle.options import OPTIONS as SETTINGS
from tests.utils.fleet import CLIENT_KEY, OPERATOR_KEY, job_lines
from tests.utils.ports import HOST, free_ports
from tests.utils.sync_fleet import SyncFleet

RunTool = Callable[..., ExitStatus]


@pytest.fixture(scope='module')
def sync_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SyncFleet]:
    """Run one fleet for all tests of this module."""
    shared = SyncFleet(tmp_path_factory.mktemp('cli'))
    yield shared
    shared.close()


@pytest.fixture
def run_tool(sync_fleet: SyncFleet) -> RunTool:
    """Return a function that runs the tool against the fleet."""

    def call(*words: str, key: str = CLIENT_KEY) -> ExitStatus:
        environ = {
            'GENTIANTRESTLE_SERVER': str(sync_fleet.fleet.http[0]),
            'GENTIANTRESTLE_KEY': key,
        }
        return run(['gentiantrestle', '--json', *words], environ)

    return call


def test_tool_help_lists_every_option(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run(['gentiantrestle', '--help'], {}) is ExitStatus.SUCCESS
    printed = capsys.readouterr().out
    assert all(f'--{option.name}' in printed for option in OPTIONS)


def test_daemon_help_lists_every_setting(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run_daemon(['gentiantrestled', '--help'], {}) == ExitStatus.SUCCESS
    printed = capsys.readouterr().out
    assert all(f'--{option.name}' in printed for option in SETTINGS)


def test_daemon_reports_every_invalid_setting(
    capsys: pytest.CaptureFixture[str],
) -> None:
    argv = ['gentiantrestled', '--http_port=0', '--zone=z']
    assert run_daemon(argv, {}) is ExitStatus.BAD_SETTINGS
    printed = capsys.readouterr().err
    assert all(
        name in printed for name in ('instance', 'region', 'store', 'http_port')
    )


def test_check_prints_sources_and_hides_secrets(
    capsys: pytest.CaptureFixture[str],
) -> None:
    argv = ['gentiantrestled', '--check', '--zone=z', '--region=r']
    environ = {
        'GENTIANTRESTLE_INSTANCE': 'i',
        'GENTIANTRESTLE_STORE': '127.0.0.1:1',
        'GENTIANTRESTLE_ADMIN_KEY_HASH': 'a' * 64,
    }
    assert run_daemon(argv, environ) is ExitStatus.SUCCESS
    printed = capsys.readouterr().out
    assert 'zone = z  (flag --zone)' in printed
    assert 'instance = i  (environment GENTIANTRESTLE_INSTANCE)' in printed
    assert 'lease = 6.0  (default)' in printed
    assert 'a' * 64 not in printed


@pytest.mark.parametrize(
    ('words', 'key', 'status'),
    [
        (('no', 'such', 'command'), CLIENT_KEY, ExitStatus.BAD_SETTINGS),
        (('--colour=red', 'status'), CLIENT_KEY, ExitStatus.BAD_SETTINGS),
        (('list', 'cats'), OPERATOR_KEY, ExitStatus.BAD_SETTINGS),
        (('jobs', 'submit', 'none'), CLIENT_KEY, ExitStatus.BAD_SETTINGS),
        (('jobs', 'show', 'none'), CLIENT_KEY, ExitStatus.REFUSED),
        (('status',), CLIENT_KEY, ExitStatus.REFUSED),
        (('status',), OPERATOR_KEY, ExitStatus.SUCCESS),
        (('report', 'fleet'), OPERATOR_KEY, ExitStatus.SUCCESS),
        (('list', 'endpoints'), OPERATOR_KEY, ExitStatus.SUCCESS),
        (('remove', 'clients', 'x'), OPERATOR_KEY, ExitStatus.BAD_SETTINGS),
        (('complete', 'chat', 'hi'), CLIENT_KEY, ExitStatus.SUCCESS),
        (('complete', 'none', 'hi'), CLIENT_KEY, ExitStatus.REFUSED),
    ],
)
def test_command_exits_with_status(
    run_tool: RunTool,
    words: tuple[str, ...],
    key: str,
    status: ExitStatus,
) -> None:
    assert run_tool(*words, key=key) is status


def test_unreachable_instance_exits_with_unreachable() -> None:
    environ = {'GENTIANTRESTLE_SERVER': f'{HOST}:{free_ports(1)[0]}'}
    argv = ['gentiantrestle', 'status']
    assert run(argv, environ) is ExitStatus.UNREACHABLE


def test_same_file_is_one_job_that_completes(
    run_tool: RunTool,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    lines = tmp_path / 'items.jsonl'
    lines.write_bytes(job_lines(5))
    assert run_tool('jobs', 'submit', str(lines)) is ExitStatus.SUCCESS
    job = msgspec.json.decode(capsys.readouterr().out)['id']
    assert run_tool('jobs', 'submit', str(lines)) is ExitStatus.SUCCESS
    assert msgspec.json.decode(capsys.readouterr().out)['id'] == job
    assert run_tool('jobs', 'follow', job) is ExitStatus.SUCCESS
    last = capsys.readouterr().out.splitlines()[-1]
    assert msgspec.json.decode(last)['status'] == 'completed'
    assert run_tool('jobs', 'cancel', job) is ExitStatus.CONFLICT


def test_diff_changes_nothing_and_apply_does(
    run_tool: RunTool,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    sync_fleet: SyncFleet,
) -> None:
    operator = Operator.connect(str(sync_fleet.fleet.http[0]), OPERATOR_KEY)
    draft = operator.draft().remove('clients', 'other')
    path = tmp_path / 'fleet.json'
    path.write_text(str(draft))
    run_tool('config', 'diff', str(path), key=OPERATOR_KEY)
    assert '- clients.other' in capsys.readouterr().out
    assert 'other' in operator.config()['clients']
    applied = run_tool('--yes', 'config', 'apply', str(path), key=OPERATOR_KEY)
    assert applied is ExitStatus.SUCCESS
    assert 'other' not in operator.config()['clients']
    assert operator.recall(1)['clients']['other']
