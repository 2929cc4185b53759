"""Costs per member, job and upstream, for docs/CAPACITY.md."""

import asyncio
import time
import tracemalloc
from pathlib import Path

import msgspec

from benchmarks.hop import cpu_seconds, resident_memory
from gentiantrestle.daemon.configuration.document import validate
from gentiantrestle.daemon.configuration.mirror import Mirror, MirroredObject
from gentiantrestle.daemon.membership.codec import (
    decode,
    encode,
    member_to_wire,
)
from gentiantrestle.daemon.membership.rendezvous import owner
from gentiantrestle.daemon.membership.view import Load, Member, State
from gentiantrestle.wire.peer.ttypes import Envelope, Heartbeat
from tests.utils.fleet import Fleet

FLEET_SIZES = (3, 9, 18)
IDLE_SECONDS = 8.0
MEBIBYTE = 1048576  # bytes
US_PER_SECOND = 1_000_000
MEMBER_COUNTS = (9, 54, 590)
JOB_COUNT = 13200
UPSTREAM_COUNT = 3800


async def measure_control(folder: Path) -> list[str]:
    """Measure idle daemons, heartbeats, jobs and configurations."""
    lines = []
    for size in FLEET_SIZES:
        size_folder = folder / str(size)
        size_folder.mkdir()
        lines.append(await _measure_idle(size_folder, size))
    return [
        *lines,
        *_measure_heartbeats(),
        *_measure_jobs(),
        *_measure_config(),
    ]


async def _measure_idle(folder: Path, size: int) -> str:
    fleet = Fleet(folder, ('a1',) * size)
    fleet.engines = fleet.engines[:1]
    fleet.daemon_flags = ('--heartbeat=0.25', '--silence=1.5', '--lease=6')
    await fleet.start()
    pids = [daemon.child.pid for daemon in fleet.daemons]
    await asyncio.sleep(2)
    before = [cpu_seconds(pid) for pid in pids]
    await asyncio.sleep(IDLE_SECONDS)
    cpu_times = [
        cpu_seconds(pid) - start
        for pid, start in zip(pids, before, strict=True)
    ]
    memory = max(resident_memory(pid) for pid in pids)
    await fleet.stop()
    share = sum(cpu_times) / len(cpu_times) / IDLE_SECONDS
    return (
        f'{size} idle daemons: {share:.2%} of a core each, '
        f'{memory / MEBIBYTE:.0f} MiB'
    )


def _measure_heartbeats() -> list[str]:
    lines = []
    for count in MEMBER_COUNTS:
        members = [_member(index) for index in range(count)]
        started = time.perf_counter()
        wire = [member_to_wire(member) for member in members]
        frame = encode(Envelope(call=1, heartbeat=Heartbeat(members=wire)))
        decode(frame[4:])
        elapsed = time.perf_counter() - started
        lines.append(
            f'heartbeat of {count} members: {len(frame)} bytes, '
            f'{elapsed * US_PER_SECOND:.0f} us to write and read',
        )
    names = [f'entry-{index}' for index in range(54)]
    started = time.perf_counter()
    for index in range(100):
        owner(f'slots/{index}', names)
    elapsed = (time.perf_counter() - started) / 100
    lines.append(
        f'owner among 54 instances: {elapsed * US_PER_SECOND:.0f} us',
    )
    return lines


def _member(index: int) -> Member:
    loads = tuple(Load(f'engine-{load}', 3, 4) for load in range(6))
    return Member(
        f'entry-{index}',
        time.time_ns(),
        index,
        'jhb-north',
        'gauteng',
        '10.0.0.1',
        8081,
        8080,
        State.SERVING,
        7,
        9,
        loads,
    )


def _measure_jobs() -> list[str]:
    record = {
        'id': 'x' * 36,
        'client': 'c',
        'digest': 'd' * 64,
        'upload': 'u' * 32,
        'state': 'completed',
        'endpoint': 'e',
        'url': '/v1/completions',
        'items': 1,
        'chunks': 1,
        'created': 1.0,
        'deadline': 2.0,
        'region': 'r',
        'repeatable': True,
        'done': 1,
        'failed': 0,
        'finished': 3.0,
    }
    encoded = msgspec.json.encode(record)
    tracemalloc.start()
    mirror = Mirror()
    for index in range(JOB_COUNT):
        mirror.update(
            MirroredObject(f'jobs/{index}', index, msgspec.json.decode(encoded))
        )
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return [
        f'jobs: {used / JOB_COUNT:.0f} bytes each, {len(encoded)} in the store'
    ]


def _measure_config() -> list[str]:
    document = {
        'revision': 1,
        'upstreams': {
            f'engine-{index}': {
                'zone': 'jhb-north',
                'address': '10.0.0.1:8000',
                'kind': 'engine',
                'slots': 64,
            }
            for index in range(UPSTREAM_COUNT)
        },
        'deployments': {},
        'endpoints': {},
        'clients': {},
    }
    encoded = msgspec.json.encode(document)
    started = time.perf_counter()
    problems = validate(document)
    elapsed = time.perf_counter() - started
    return [
        (
            f'configuration of {UPSTREAM_COUNT} upstreams: '
            f'{len(encoded)} bytes, {elapsed * 1000:.0f} ms to check, '
            f'{len(problems)} problems'
        ),
    ]
