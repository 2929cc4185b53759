"""Numbered log events; docs/EVENTS.md explains each one."""

import sys
from collections.abc import Callable
from typing import Any, NamedTuple

from loguru import logger

HUMAN_FORMAT = (
    '<dim>{time:HH:mm:ss.SSS}</dim> <level>{level: <7}</level> '
    '<cyan>{extra[code]}</cyan> {message}'
)


class Event(NamedTuple):
    """A kind of log entry: stable number, level and wording."""

    code: int
    level: str
    template: str


CATALOGUE: list[Event] = []


def _define(code: int, level: str, template: str) -> Event:
    event = Event(code, level, template)
    CATALOGUE.append(event)
    return event


STARTED = _define(1001, 'INFO', 'instance {instance} started in {zone}')
STOPPING = _define(1002, 'INFO', 'stop asked by {signal}; finishing requests')
STOPPED = _define(1003, 'INFO', 'stopped; requests cut: {cut}')
CHILD_FAILED = _define(1004, 'ERROR', 'child {child} failed: {error}')
CHILD_RESTARTED = _define(
    1005, 'WARNING', 'child {child} restarts in {delay} s'
)
CHILD_GAVE_UP = _define(1006, 'CRITICAL', 'child {child} failed too often')
SETTINGS_CHANGED = _define(
    1007, 'INFO', 'settings changed; none of them is in use'
)
STORE_DOWN = _define(2001, 'WARNING', 'store does not answer: {error}')
STORE_BACK = _define(2002, 'INFO', 'store answers again')
WRITE_SETTLED = _define(
    2003,
    'WARNING',
    'answer to write of {name} was lost; settled as {outcome}',
)
WRITE_UNSURE = _define(2004, 'WARNING', 'no answer to write of {name}; again')
MEMBER_ALIVE = _define(3001, 'INFO', 'instance {instance} is alive')
MEMBER_LOST = _define(3002, 'WARNING', 'instance {instance} is silent')
UPSTREAM_LEAVING = _define(3003, 'INFO', 'upstream {upstream} is leaving')
CONFIG_APPLIED = _define(4001, 'INFO', 'configuration {revision} in force')
RELAY_TAKEN = _define(4003, 'INFO', 'this instance watches the store')
UPSTREAM_FAILED = _define(5001, 'WARNING', '{upstream} failed: {error}')
ANSWER_CUT = _define(5002, 'WARNING', 'answer {attempt} cut: {error}')
LATE_ANSWER = _define(5004, 'WARNING', 'late answer to call {call} dropped')
REQUEST_FAILED = _define(5003, 'ERROR', 'request failed inside: {error}')
JOB_ACCEPTED = _define(6001, 'INFO', 'job {job} accepted, {items} items')
JOB_FINISHED = _define(6002, 'INFO', 'job {job} is {state}')
CHUNK_CLAIMED = _define(6003, 'INFO', 'chunk {chunk} claimed, epoch {epoch}')
CHUNK_LOST = _define(6004, 'WARNING', 'chunk {chunk} lost to another holder')
CHUNK_DONE = _define(6005, 'INFO', 'chunk {chunk} done')
ITEM_FAILED = _define(6006, 'WARNING', 'item {item} failed: {error}')
BATCH_FAILED = _define(6007, 'ERROR', 'batch work on {chunk} failed: {error}')
RESULTS_HELD = _define(6008, 'WARNING', '{count} results of {chunk} wait')


STORE_ODD = _define(
    2005, 'ERROR', 'store answered {status} to {call}: {answer}'
)
FOLLOW_LOST = _define(2006, 'WARNING', 'watch of {kind} lost: {error}')
FOLLOW_BACK = _define(2007, 'INFO', 'watch of {kind} at {revision}')
HISTORY_GONE = _define(2008, 'WARNING', 'history of {kind} is gone; listing')
WRITE_FAILED = _define(2009, 'WARNING', 'store call for {name}: {error}')
ENTRY_UNREADABLE = _define(3004, 'WARNING', 'entry {name} is not used: {error}')
ROSTER_CHANGED = _define(
    3005,
    'INFO',
    'upstreams at {revision}: {ready} ready, {draining} leaving, {gone} gone',
)
STATE_COPIED = _define(
    3006,
    'INFO',
    'copied from {instance}: configuration {version}, upstreams {revision}',
)
PEER_FAILED = _define(3007, 'WARNING', 'call to {instance}: {error}')
PULSE_UNREADABLE = _define(3008, 'WARNING', 'datagram not read: {error}')
INSTANCE_EMPTY = _define(3009, 'INFO', '{instance} holds nothing; retired')
CALL_PLACED = _define(
    5101,
    'INFO',
    'request {request} to {upstream} after {waited_ms} ms',
)
CALL_REFUSED = _define(
    5102,
    'INFO',
    'request {request} refused: {service} has {upstreams} upstreams, '
    'expected wait {expected_ms} ms',
)
ATTEMPT_ENDED = _define(
    5103,
    'INFO',
    'request {request} at {upstream}: {outcome} {reason}; {step}',
)
CALL_ENDED = _define(
    5104,
    'INFO',
    'request {request} on {route}: {outcome} in {took_ms} ms',
)
CALLER_REFUSED = _define(5105, 'INFO', 'caller refused: {status} {reason}')
ITEM_RUN_ENDED = _define(
    6101, 'INFO', 'item {item} at {upstream}: {reason} at {last_event}'
)
ITEM_PLACED = _define(6104, 'INFO', 'item {item} of {job} to {upstream}')
ITEM_PREEMPTED = _define(6102, 'INFO', 'item {item} gives way on {upstream}')
JOBS_TAKEN = _define(6103, 'INFO', 'jobs of {run} are run here now')
LINES_DROPPED = _define(7001, 'WARNING', '{count} log lines were dropped')


def emit(event: Event, **fields: Any) -> None:
    """Write one event with its fields to the log."""
    bound = logger.bind(code=event.code, **fields)
    bound.log(event.level, event.template.format(**fields))


def configure_sink(level: str, sink: Callable[[Any], None]) -> None:
    """Send the log to ``sink``, which must not block."""
    logger.remove()
    logger.configure(extra={'code': 0})
    logger.add(sink, level=level, format='{message}', catch=True)


def configure(level: str, *, as_json: bool) -> None:
    """Send the log to standard error, for a person or as JSON lines."""
    logger.remove()
    logger.configure(extra={'code': 0})
    if as_json:
        logger.add(sys.stderr, level=level, serialize=True, catch=True)
        return
    logger.add(sys.stderr, level=level, format=HUMAN_FORMAT, catch=True)
