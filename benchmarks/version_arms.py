"""Ways to bind streams to the version that began them, in virtual time.

Arms: instances share records of attempts by datagram; coordinators also write
them to the store in batches; the version is a weighted rendezvous hash of the
attempt's id, with a durable history of the versions' slots; that, with
exceptions recorded; nothing.
"""

import asyncio
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from benchmarks.version_bindings import ARMS
from benchmarks.version_fleet import KNOWN_AGE, RELEASE_AT, VersionFleet
from benchmarks.version_world import NEW, OLD, Load, Plan

LOADS = {
    '28/s, 9 instances': Load(28, 9, 3, 6),
    '169/s, 165 instances': Load(169, 165, 6, 32),
}
SEEDS = {9: range(40), 165: range(5)}  # by the number of instances


class Play(NamedTuple):
    """Counts of plays of an arm without an end, with one, with all ended."""

    calm: Counter[str]
    one_ended: Counter[str]
    all_ended: Counter[str]


def play(plan: Plan, arm: str) -> Counter[str]:
    """Play a plan with an arm; return what was seen."""
    fleet = VersionFleet(plan)
    fleet.run(ARMS[arm](fleet))
    return fleet.counts


def play_all(load: Load, release: str, arm: str) -> Play:
    """Play all seeds of a release with and without ends of instances."""
    steps = load.upstreams if release == 'gradual' else 0
    kill_at = RELEASE_AT + max(0.6, steps / 2)
    plan = Plan(load, release, 0, kill_at, RELEASE_AT + steps + 6, 0)
    return Play(
        *(
            sum(
                (
                    play(plan._replace(killed=killed, seed=seed), arm)
                    for seed in SEEDS[load.instances]
                ),
                Counter(),
            )
            for killed in (0, 1, load.instances)
        )
    )


def went_on(counts: Counter[str], *kinds: str) -> str:
    """Return the share of owed take-ups that went on."""
    owed = sum(counts[f'taken up {kind}'] for kind in kinds)
    served = sum(counts[f'went on {kind}'] for kind in kinds)
    return f'{served / owed:.3f} of {owed}' if owed else 'none owed'


def describe(played: Play) -> str:
    """Return what callers saw and what it cost, in one line."""
    calm, one, every = played
    streams = calm['streams']
    joins = '+'.join(str(counts['joined']) for counts in played)
    without = sum(
        calm[f'streams {version} without a slot'] for version in ('', OLD, NEW)
    )
    return (
        f'went on: calm {went_on(calm, "calm")}, '
        f'one ended {went_on(one, "old", "young")}, '
        f'all ended {went_on(every, "old", "young")} '
        f'(begun over {KNOWN_AGE} s before {went_on(every, "old")}); '
        f'joined {joins}; for each stream '
        f'{calm["datagrams"] / streams:.2f} datagrams, '
        f'{calm["store calls"] / streams:.2f} store calls; '
        f'without a slot {without / streams:.3f} '
        f'({calm[f"streams {NEW} without a slot"]} hashed to the new version), '
        f'{calm["take-ups without a slot"]} take-ups; '
        f'begun at the new version {calm[f"begun {NEW}"] / streams:.3f}'
    )


def _arm_lines() -> Iterator[str]:
    for name, load in LOADS.items():
        for release in ('quick', 'gradual', 'small'):
            for arm in ARMS:
                played = play_all(load, release, arm)
                yield f'{name}, {release}, {arm}: {describe(played)}'
        burst = load._replace(rate=2 * load.rate)
        for arm in ARMS:
            played = play_all(burst, 'small', arm)
            yield f'{name}, small at twice the load, {arm}: {describe(played)}'


async def measure_arms(folder: Path) -> list[str]:
    """Compare the arms at two loads."""
    return await asyncio.to_thread(lambda: list(_arm_lines()))
