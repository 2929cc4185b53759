"""Starts one role on the platform: ``python3 -m gentiantrestle.platform``."""

import os
import sys

import uvloop
from absl import flags

from gentiantrestle import events
from gentiantrestle.config import Settings, define_flags
from gentiantrestle.exit_status import ExitStatus
from gentiantrestle.gateway.definition import OPTIONS
from gentiantrestle.logsink import JsonLineSink
from gentiantrestle.platform.roles import ROLES
from gentiantrestle.platform.settings import (
    SETTINGS_VARIABLE,
    NodeSettings,
    SettingsError,
)

USAGE = 'usage: python3 -m gentiantrestle.platform ROLE; roles: '


def main() -> int:
    """Run the role that the first argument names; return the status."""
    values = flags.FlagValues()
    define_flags(values, OPTIONS)
    try:
        words = values(sys.argv)[1:]
        node = NodeSettings.from_file(os.environ.get(SETTINGS_VARIABLE, ''))
    except (flags.Error, SettingsError) as exc:
        return _refuse(str(exc))
    if len(words) != 1 or words[0] not in ROLES:
        return _refuse(USAGE + ', '.join(ROLES))
    given = {name: values[name].value for name in values}
    cfg = Settings.from_sources(given, os.environ, OPTIONS)
    if isinstance(cfg, list):
        return _refuse(' '.join(f'{one.reason}. {one.remedy}' for one in cfg))
    events.configure_sink(
        cfg.gateway_log_level, JsonLineSink(sys.stdout.fileno())
    )
    return uvloop.run(ROLES[words[0]](node, cfg))


def _refuse(reason: str) -> int:
    sys.stderr.write(f'{reason}\n')
    return ExitStatus.BAD_SETTINGS


if __name__ == '__main__':
    sys.exit(main())
