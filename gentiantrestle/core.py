"""One run of the daemon, top to bottom."""

import asyncio
import os
import signal
import sys
from collections.abc import Mapping, Sequence

import uvloop
from absl import flags

from gentiantrestle import events
from gentiantrestle.config import SettingProblem, Settings, define_flags
from gentiantrestle.context import Context
from gentiantrestle.daemon.tree import Tree
from gentiantrestle.exit_status import ExitStatus
from gentiantrestle.supervisor import RestartLimitError

CHECK = 'check'
HELP = 'help'
SIGNALS = (signal.SIGTERM, signal.SIGINT)


def main() -> None:
    """Run ``gentiantrestled`` and exit with its status."""
    sys.exit(run(sys.argv, os.environ))


def run(argv: Sequence[str], environ: Mapping[str, str]) -> ExitStatus:
    """Read the settings, then serve until told to stop."""
    values = _flag_values()
    try:
        rest = values(argv)
    except flags.Error as exc:
        return _refuse([str(exc), 'See gentiantrestled --help.'])
    if len(rest) > 1:
        return _refuse(['The daemon takes flags only.'])
    if values[HELP].value:
        sys.stdout.write(values.get_help(include_special_flags=False))
        return ExitStatus.SUCCESS
    cfg = _read_settings(values, environ)
    if isinstance(cfg, list):
        return _refuse([f'{one.reason}. {one.remedy}' for one in cfg])
    return _act(cfg, only_check=values[CHECK].value)


async def serve(cfg: Settings) -> ExitStatus:
    """Serve until a signal comes, then stop without cutting requests."""
    ctx = Context.from_config(cfg)
    tree = Tree.from_config(ctx)
    stopped: asyncio.Future[str] = asyncio.get_running_loop().create_future()
    for signum in SIGNALS:
        asyncio.get_running_loop().add_signal_handler(
            signum,
            _note_signal,
            stopped,
            signum,
        )
    root = asyncio.create_task(tree.run())
    events.emit(events.STARTED, instance=cfg.instance, zone=cfg.zone)
    await asyncio.wait({root, stopped}, return_when=asyncio.FIRST_COMPLETED)
    if root.done():
        return _explain(root)
    events.emit(events.STOPPING, signal=stopped.result())
    cut = await tree.stop(cfg.grace)
    root.cancel()
    await asyncio.wait({root})
    events.emit(events.STOPPED, cut=cut)
    return ExitStatus.CUT_REQUESTS if cut else ExitStatus.SUCCESS


def _read_settings(
    values: flags.FlagValues,
    environ: Mapping[str, str],
) -> Settings | list[SettingProblem]:
    given = {
        name: values[name].value for name in values if values[name].present
    }
    return Settings.from_sources(given, environ)


def _act(cfg: Settings, *, only_check: bool) -> ExitStatus:
    if only_check:
        return _show(cfg)
    events.configure(cfg.log_level, as_json=cfg.log_json)
    return uvloop.run(serve(cfg))


def _flag_values() -> flags.FlagValues:
    values = flags.FlagValues()
    define_flags(values)
    flags.DEFINE_bool(
        CHECK,
        False,
        'Print the settings in force and where each came from; then exit.',
        flag_values=values,
    )
    flags.DEFINE_bool(HELP, False, 'Print this help.', flag_values=values)
    return values


def _note_signal(stopped: asyncio.Future[str], signum: signal.Signals) -> None:
    if not stopped.done():
        stopped.set_result(signum.name)


def _explain(root: asyncio.Task[None]) -> ExitStatus:
    exc = root.exception()
    if isinstance(exc, ExceptionGroup) and exc.subgroup(RestartLimitError):
        return ExitStatus.CHILD_FAILED
    events.emit(events.CHILD_FAILED, child='root', error=repr(exc))
    return ExitStatus.ERROR


def _refuse(lines: Sequence[str]) -> ExitStatus:
    for line in lines:
        sys.stderr.write(f'gentiantrestled: {line}\n')
    return ExitStatus.BAD_SETTINGS


def _show(cfg: Settings) -> ExitStatus:
    for chosen in cfg.setting_values:
        name = chosen.option.name
        sys.stdout.write(f'{name} = {chosen.display_text}  ({chosen.source})\n')
    return ExitStatus.SUCCESS


if __name__ == '__main__':
    main()
