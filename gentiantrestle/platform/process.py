"""Runs the role that the command line names."""

import os
import sys

import uvloop
from absl import flags

from gentiantrestle import log_setup
from gentiantrestle.config import Settings, define_flags
from gentiantrestle.exit_status import ExitStatus
from gentiantrestle.gateway.options import OPTIONS
from gentiantrestle.logsink import JsonLineSink
from gentiantrestle.platform.roles import ROLES
from gentiantrestle.platform.settings import (
    SETTINGS_VARIABLE,
    SettingsError,
)
from gentiantrestle.platform.settings_file import SettingsFile

USAGE = 'usage: python3 -m gentiantrestle.platform ROLE; roles: '


def main() -> int:
    """Run the role named by the first argument; return the exit status."""
    parsed = flags.FlagValues()
    define_flags(parsed, OPTIONS)
    try:
        arguments = parsed(sys.argv)[1:]
        settings_file = SettingsFile.from_path(
            os.environ.get(SETTINGS_VARIABLE, '')
        )
    except (flags.Error, SettingsError) as exc:
        return _report_error(str(exc))
    if len(arguments) != 1 or arguments[0] not in ROLES:
        return _report_error(USAGE + ', '.join(ROLES))
    settings = {name: parsed[name].value for name in parsed}
    cfg = Settings.from_sources(settings, os.environ, OPTIONS)
    if isinstance(cfg, list):
        return _report_error(
            ' '.join(f'{problem.reason}. {problem.remedy}' for problem in cfg)
        )
    log_setup.configure_sink(
        cfg.gateway_log_level, JsonLineSink(sys.stdout.fileno())
    )
    return uvloop.run(ROLES[arguments[0]](settings_file, cfg))


def _report_error(reason: str) -> int:
    sys.stderr.write(f'{reason}\n')
    return ExitStatus.BAD_SETTINGS
