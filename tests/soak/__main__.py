"""Plays seeds: ``python -m tests.soak [--size E,U] SEED [SEED ...]``."""

import sys
import tempfile
from collections import Counter
from pathlib import Path

from tests.soak.history import History
from tests.soak.play import Size, play
from tests.soak.records import CallerRequest
from tests.soak.troubles import breaches


def main() -> int:
    """Play the seeds of the command line; return 1 if any had a breach.

    ``--size E,U`` sets the numbers of entries and upstreams, ``--trouble NAME``
    that of the upstreams.
    """
    args = sys.argv[1:]
    size = Size()
    if args and args[0] == '--size':
        entries, upstreams = args[1].split(',')
        size = Size(int(entries), int(upstreams))
        args = args[2:]
    trouble = ''
    if args and args[0] == '--trouble':
        trouble = args[1]
        args = args[2:]
    failed = 0
    for seed in map(int, args):
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        history = play(seed, folder, size, trouble)
        found = breaches(trouble, history)
        failed += bool(found)
        _print(f'{seed}: {len(found)} breaches, logs in {folder}', *found)
        _print(f'  {_summary(history)}')
    return 1 if failed else 0


def _summary(history: History) -> str:
    kinds = Counter(
        f'{req.kind}{" again" if req.first else ""} {_describe_end(req)}'
        for req in history.requests
    )
    requests = ', '.join(f'{kind}: {kinds[kind]}' for kind in sorted(kinds))
    return f'{len(history.runs)} runs, {len(history.faults)} faults; {requests}'


def _describe_end(req: CallerRequest) -> str:
    if req.left:
        return 'left'
    return str(req.status) if req.complete else 'cut'


def _print(*lines: str) -> None:
    sys.stdout.write('\n'.join(lines) + '\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
