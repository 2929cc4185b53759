"""Plays seeds by hand: ``python -m tests.soak SEED [SEED ...]``."""

import sys
import tempfile
from collections import Counter
from pathlib import Path

from tests.soak.history import History
from tests.soak.play import Size, play


def main() -> int:
    """Play the seeds; with ``--size E,U`` so many entries and upstreams."""
    words = sys.argv[1:]
    size = Size()
    if words and words[0] == '--size':
        entries, upstreams = words[1].split(',')
        size = Size(int(entries), int(upstreams))
        words = words[2:]
    failed = 0
    for seed in map(int, words):
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        seen = play(seed, folder, size)
        found = seen.breaches()
        failed += bool(found)
        _print(f'{seed}: {len(found)} breaches, logs in {folder}', *found)
        _print(f'  {_summary(seen)}')
    return 1 if failed else 0


def _summary(seen: History) -> str:
    kinds = Counter(
        f'{one.kind} {one.status if one.complete else "cut"}'
        for one in seen.asked
    )
    asked = ', '.join(f'{kind}: {kinds[kind]}' for kind in sorted(kinds))
    return f'{len(seen.runs)} runs, {len(seen.happened)} faults; {asked}'


def _print(*lines: str) -> None:
    sys.stdout.write('\n'.join(lines) + '\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
