"""Entry point of the daemon: read the settings, serve, stop."""

import asyncio
import os
import signal
import sys
from collections.abc import Mapping, Sequence

import uvloop
from absl import flags

from gentiantrestle import events, log_setup
from gentiantrestle.config import SettingProblem, Settings, define_flags
from gentiantrestle.context import Context
from gentiantrestle.daemon.tree import SupervisionTree
from gentiantrestle.exit_status import ExitStatus
from gentiantrestle.supervisor import RestartLimitError

CHECK = 'check'
HELP = 'help'
SIGNALS = (signal.SIGTERM, signal.SIGINT)


def main() -> None:
    """Run ``gentiantrestled`` and exit with its status."""
    sys.exit(run(sys.argv, os.environ))


def run(argv: Sequence[str], environ: Mapping[str, str]) -> ExitStatus:
    """Read the settings, then serve until a signal asks to stop."""
    flag_values = _define_all_flags()
    try:
        arguments = flag_values(argv)
    except flags.Error as exc:
        return _report_errors([str(exc), 'See gentiantrestled --help.'])
    if len(arguments) > 1:
        return _report_errors(['The daemon takes only flags, no arguments.'])
    if flag_values[HELP].value:
        sys.stdout.write(flag_values.get_help(include_special_flags=False))
        return ExitStatus.SUCCESS
    cfg = _read_settings(flag_values, environ)
    if isinstance(cfg, list):
        return _report_errors(
            [f'{problem.reason}. {problem.remedy}' for problem in cfg]
        )
    return _check_or_serve(cfg, only_check=flag_values[CHECK].value)


async def serve(cfg: Settings) -> ExitStatus:
    """Serve until SIGTERM or SIGINT, then finish the requests in flight.

    Return ``CUT_REQUESTS`` if some were cut off when the grace period ended,
    and ``CHILD_FAILED`` or ``ERROR`` if the daemon's tasks ended by themselves.
    """
    ctx = Context.from_config(cfg)
    tree = SupervisionTree.from_config(ctx)
    stopped: asyncio.Future[str] = asyncio.get_running_loop().create_future()
    for signum in SIGNALS:
        asyncio.get_running_loop().add_signal_handler(
            signum,
            _record_signal,
            stopped,
            signum,
        )
    root = asyncio.create_task(tree.run())
    events.emit(events.STARTED, instance=cfg.instance, zone=cfg.zone)
    await asyncio.wait({root, stopped}, return_when=asyncio.FIRST_COMPLETED)
    if root.done():
        return _root_failure_status(root)
    events.emit(events.STOPPING, signal=stopped.result())
    cut = await tree.stop(cfg.grace)
    root.cancel()
    await asyncio.wait({root})
    events.emit(events.STOPPED, cut=cut)
    return ExitStatus.CUT_REQUESTS if cut else ExitStatus.SUCCESS


def _read_settings(
    flag_values: flags.FlagValues,
    environ: Mapping[str, str],
) -> Settings | list[SettingProblem]:
    given = {
        name: flag_values[name].value
        for name in flag_values
        if flag_values[name].present
    }
    return Settings.from_sources(given, environ)


def _check_or_serve(cfg: Settings, *, only_check: bool) -> ExitStatus:
    if only_check:
        return _print_settings(cfg)
    log_setup.configure(cfg.log_level, as_json=cfg.log_json)
    return uvloop.run(serve(cfg))


def _define_all_flags() -> flags.FlagValues:
    flag_values = flags.FlagValues()
    define_flags(flag_values)
    flags.DEFINE_bool(
        CHECK,
        False,
        'Print each setting with its source, then exit.',
        flag_values=flag_values,
    )
    flags.DEFINE_bool(HELP, False, 'Print this help.', flag_values=flag_values)
    return flag_values


def _record_signal(
    stopped: asyncio.Future[str], signum: signal.Signals
) -> None:
    if not stopped.done():
        stopped.set_result(signum.name)


def _root_failure_status(root: asyncio.Task[None]) -> ExitStatus:
    exc = root.exception()
    if isinstance(exc, ExceptionGroup) and exc.subgroup(RestartLimitError):
        return ExitStatus.CHILD_FAILED
    events.emit(events.CHILD_FAILED, child='root', error=repr(exc))
    return ExitStatus.ERROR


def _report_errors(lines: Sequence[str]) -> ExitStatus:
    for line in lines:
        sys.stderr.write(f'gentiantrestled: {line}\n')
    return ExitStatus.BAD_SETTINGS


def _print_settings(cfg: Settings) -> ExitStatus:
    for setting in cfg.setting_values:
        name = setting.option.name
        sys.stdout.write(
            f'{name} = {setting.display_text}  ({setting.source})\n'
        )
    return ExitStatus.SUCCESS


if __name__ == '__main__':
    main()
