"""Runs one role on the platform: ``python3 -m gentiantrestle.platform``."""

import signal
import sys
from importlib import import_module

PROGRAM = 'gentiantrestle.platform.process'


def main() -> int:
    """Run the role named by the first argument; return the exit status.

    SIGHUP is ignored until the process is able to read its settings again,
    which it does each second: its default action would end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return import_module(PROGRAM).main()


if __name__ == '__main__':
    sys.exit(main())
