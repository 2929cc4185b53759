"""Numbered log events; docs/EVENTS.md explains each one."""

import sys
from collections.abc import Callable
from typing import Any, NamedTuple

from loguru import logger

TEXT_FORMAT = (
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


LEVEL_INFO = 'INFO'
LEVEL_WARNING = 'WARNING'
LEVEL_ERROR = 'ERROR'
LEVEL_CRITICAL = 'CRITICAL'

STARTED = _define(1001, LEVEL_INFO, 'instance {instance} started in {zone}')
STOPPING = _define(
    1002, LEVEL_INFO, 'stop asked by {signal}; finishing requests'
)
STOPPED = _define(1003, LEVEL_INFO, 'stopped; requests cut: {cut}')
CHILD_FAILED = _define(1004, LEVEL_ERROR, 'child {child} failed: {error}')
CHILD_RESTARTED = _define(
    1005, LEVEL_WARNING, 'child {child} restarts in {delay} s'
)
CHILD_ABANDONED = _define(
    1006, LEVEL_CRITICAL, 'child {child} failed too often'
)
SETTINGS_CHANGED = _define(
    1007, LEVEL_INFO, 'settings changed; none of them is in use'
)
STORE_UNREACHABLE = _define(
    2001, LEVEL_WARNING, 'store does not answer: {error}'
)
STORE_RECOVERED = _define(2002, LEVEL_INFO, 'store answers again')
WRITE_OUTCOME_RESOLVED = _define(
    2003,
    LEVEL_WARNING,
    'answer to write of {name} was lost; settled as {outcome}',
)
WRITE_UNANSWERED = _define(
    2004, LEVEL_WARNING, 'no answer to write of {name}; again'
)
MEMBER_ALIVE = _define(3001, LEVEL_INFO, 'instance {instance} is alive')
MEMBER_LOST = _define(3002, LEVEL_WARNING, 'instance {instance} is silent')
UPSTREAM_LEAVING = _define(3003, LEVEL_INFO, 'upstream {upstream} is leaving')
CONFIG_APPLIED = _define(4001, LEVEL_INFO, 'configuration {revision} in force')
RELAY_ROLE_ACQUIRED = _define(
    4003, LEVEL_INFO, 'this instance watches the store'
)
UPSTREAM_FAILED = _define(5001, LEVEL_WARNING, '{upstream} failed: {error}')
ANSWER_CUT = _define(5002, LEVEL_WARNING, 'answer {attempt} cut: {error}')
LATE_ANSWER = _define(5004, LEVEL_WARNING, 'late answer to call {call} dropped')
REQUEST_FAILED = _define(5003, LEVEL_ERROR, 'request failed inside: {error}')
JOB_ACCEPTED = _define(6001, LEVEL_INFO, 'job {job} accepted, {items} items')
JOB_FINISHED = _define(6002, LEVEL_INFO, 'job {job} is {state}')
CHUNK_CLAIMED = _define(
    6003, LEVEL_INFO, 'chunk {chunk} claimed, epoch {epoch}'
)
CHUNK_LOST = _define(
    6004, LEVEL_WARNING, 'chunk {chunk} lost to another holder'
)
CHUNK_DONE = _define(6005, LEVEL_INFO, 'chunk {chunk} done')
ITEM_FAILED = _define(6006, LEVEL_WARNING, 'item {item} failed: {error}')
BATCH_FAILED = _define(
    6007, LEVEL_ERROR, 'batch work on {chunk} failed: {error}'
)
RESULTS_UNSAVED = _define(
    6008, LEVEL_WARNING, '{count} results of {chunk} wait'
)


STORE_UNEXPECTED_STATUS = _define(
    2005, LEVEL_ERROR, 'store answered {status} to {call}: {answer}'
)
WATCH_LOST = _define(2006, LEVEL_WARNING, 'watch of {kind} lost: {error}')
WATCH_CONNECTED = _define(2007, LEVEL_INFO, 'watch of {kind} at {revision}')
HISTORY_GONE = _define(
    2008, LEVEL_WARNING, 'history of {kind} is gone; listing'
)
STORE_CALL_FAILED = _define(
    2009, LEVEL_WARNING, 'store call for {name}: {error}'
)
ENTRY_UNREADABLE = _define(
    3004, LEVEL_WARNING, 'entry {name} is not used: {error}'
)
UPSTREAMS_CHANGED = _define(
    3005,
    LEVEL_INFO,
    'upstreams at {revision}: {ready} ready, {draining} leaving, {gone} gone',
)
STATE_COPIED = _define(
    3006,
    LEVEL_INFO,
    'copied from {instance}: configuration {version}, upstreams {revision}, '
    'jobs {jobs}',
)
WATCHER_ROLE_CHANGED = _define(
    3010, LEVEL_INFO, 'this instance watches the store for its zone: {held}'
)
PEER_FAILED = _define(3007, LEVEL_WARNING, 'call to {instance}: {error}')
PULSE_UNREADABLE = _define(3008, LEVEL_WARNING, 'datagram not read: {error}')
INSTANCE_RETIRED = _define(
    3009, LEVEL_INFO, '{instance} holds nothing; retired'
)
REQUEST_PLACED = _define(
    5101,
    LEVEL_INFO,
    'request {request} to {upstream} after {waited_ms} ms',
)
REQUEST_REFUSED = _define(
    5102,
    LEVEL_INFO,
    'request {request} refused: {service} has {upstreams} upstreams, '
    'expected wait {expected_ms} ms',
)
ATTEMPT_ENDED = _define(
    5103,
    LEVEL_INFO,
    'request {request} at {upstream}: {outcome} {reason}; {step}',
)
REQUEST_ENDED = _define(
    5104,
    LEVEL_INFO,
    'request {request} on {route}: {outcome} in {took_ms} ms',
)
BAD_REQUEST_REFUSED = _define(
    5105, LEVEL_INFO, 'caller refused: {status} {reason}'
)
ITEM_RUN_ENDED = _define(
    6101, LEVEL_INFO, 'item {item} at {upstream}: {reason} at {last_event}'
)
ITEM_PLACED = _define(6104, LEVEL_INFO, 'item {item} of {job} to {upstream}')
ITEM_PREEMPTED = _define(
    6102, LEVEL_INFO, 'item {item} gives way on {upstream}'
)
JOBS_TAKEN_OVER = _define(6103, LEVEL_INFO, 'jobs of {run} are run here now')
LINES_DROPPED = _define(7001, LEVEL_WARNING, '{count} log lines were dropped')


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
    logger.add(sys.stderr, level=level, format=TEXT_FORMAT, catch=True)
