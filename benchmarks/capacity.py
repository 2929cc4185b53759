"""Slopes for docs/CAPACITY.md: what grows with members, jobs, upstreams."""

import asyncio
import time
import tracemalloc
from pathlib import Path

import msgspec

from benchmarks.hop import cpu_seconds, memory_of
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

SIZES = (3, 9, 18)
SECONDS = 8.0
MEBIBYTE = 1048576
MICROSECONDS = 1_000_000
MEMBERS = (9, 54, 590)
JOBS = 13200
UPSTREAMS = 3800


async def measure_control(folder: Path) -> list[str]:
    """CPU and memory of an idle daemon in fleets of several sizes."""
    lines = []
    for size in SIZES:
        place = folder / str(size)
        place.mkdir()
        lines.append(await _idle(place, size))
    return [*lines, *_messages(), *_jobs(), *_fleet()]


async def _idle(folder: Path, size: int) -> str:
    fleet = Fleet(folder, ('a1',) * size)
    fleet.engines = fleet.engines[:1]
    fleet.daemon_flags = ('--heartbeat=0.25', '--silence=1.5', '--lease=6')
    await fleet.start()
    pids = [daemon.child.pid for daemon in fleet.daemons]
    await asyncio.sleep(2)
    before = [cpu_seconds(pid) for pid in pids]
    await asyncio.sleep(SECONDS)
    spent = [
        cpu_seconds(pid) - earlier
        for pid, earlier in zip(pids, before, strict=True)
    ]
    memory = max(memory_of(pid) for pid in pids)
    await fleet.stop()
    share = sum(spent) / len(spent) / SECONDS
    return (
        f'{size} idle daemons: {share:.2%} of a core each, '
        f'{memory / MEBIBYTE:.0f} MiB'
    )


def _messages() -> list[str]:
    lines = []
    for count in MEMBERS:
        table = [_member(index) for index in range(count)]
        began = time.perf_counter()
        wire = [member_to_wire(member) for member in table]
        frame = encode(Envelope(call=1, heartbeat=Heartbeat(members=wire)))
        decode(frame[4:])
        passed = time.perf_counter() - began
        lines.append(
            f'heartbeat of {count} members: {len(frame)} bytes, '
            f'{passed * MICROSECONDS:.0f} us to write and read',
        )
    names = [f'entry-{index}' for index in range(54)]
    began = time.perf_counter()
    for index in range(100):
        owner(f'slots/{index}', names)
    passed = (time.perf_counter() - began) / 100
    lines.append(
        f'owner among 54 instances: {passed * MICROSECONDS:.0f} us',
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


def _jobs() -> list[str]:
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
    text = msgspec.json.encode(record)
    tracemalloc.start()
    mirror = Mirror()
    for index in range(JOBS):
        mirror.update(
            MirroredObject(f'jobs/{index}', index, msgspec.json.decode(text))
        )
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return [f'jobs: {used / JOBS:.0f} bytes each, {len(text)} in the store']


def _fleet() -> list[str]:
    document = {
        'revision': 1,
        'upstreams': {
            f'engine-{index}': {
                'zone': 'jhb-north',
                'address': '10.0.0.1:8000',
                'kind': 'engine',
                'slots': 64,
            }
            for index in range(UPSTREAMS)
        },
        'deployments': {},
        'endpoints': {},
        'clients': {},
    }
    text = msgspec.json.encode(document)
    began = time.perf_counter()
    problems = validate(document)
    passed = time.perf_counter() - began
    return [
        (
            f'configuration of {UPSTREAMS} upstreams: {len(text)} bytes, '
            f'{passed * 1000:.0f} ms to check, {len(problems)} problems'
        ),
    ]
