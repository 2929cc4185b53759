"""Run measurements: ``make bench`` or ``make bench ARGS='hop tokens'``."""

import asyncio
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from benchmarks import (
    capacity,
    hop,
    policy,
    quarantine_arms,
    recovery,
    slot_arms,
    version_arms,
)

MEASUREMENTS: dict[str, Callable[[Path], Awaitable[list[str]]]] = {
    'hop': hop.measure_hop,
    'tokens': hop.measure_tokens,
    'harm': policy.measure_harm,
    'blocking': policy.measure_blocking,
    'slowed': policy.measure_slowed,
    'flood': policy.measure_flood,
    'burst': policy.measure_burst,
    'decision': policy.measure_decision,
    'store': recovery.measure_store,
    'takeover': recovery.measure_takeover,
    'config': recovery.measure_config,
    'control': capacity.measure_control,
    'slots': slot_arms.measure_arms,
    'quarantine': quarantine_arms.measure_arms,
    'versions': version_arms.measure_arms,
}


def main() -> None:
    """Run the named measurements, or all; exit with 2 for unknown names."""
    names = sys.argv[1:] or list(MEASUREMENTS)
    unknown = set(names) - set(MEASUREMENTS)
    if unknown:
        sys.stderr.write(f'unknown measurements: {sorted(unknown)}\n')
        sys.exit(2)
    for name in names:
        with tempfile.TemporaryDirectory() as folder:
            lines = asyncio.run(MEASUREMENTS[name](Path(folder)))
        for line in lines:
            sys.stdout.write(f'{name}: {line}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
