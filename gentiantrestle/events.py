"""Numbered log events; docs/EVENTS.md explains each one."""

import sys
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


STARTED = Event(1001, 'INFO', 'instance {instance} started in {zone}')
STOPPING = Event(1002, 'INFO', 'stop asked by {signal}; finishing requests')
STOPPED = Event(1003, 'INFO', 'stopped; requests cut: {cut}')
CHILD_FAILED = Event(1004, 'ERROR', 'child {child} failed: {error}')
CHILD_RESTARTED = Event(1005, 'WARNING', 'child {child} restarts in {delay} s')
CHILD_GAVE_UP = Event(1006, 'CRITICAL', 'child {child} failed too often')
STORE_DOWN = Event(2001, 'WARNING', 'store does not answer: {error}')
STORE_BACK = Event(2002, 'INFO', 'store answers again')
WRITE_SETTLED = Event(
    2003,
    'WARNING',
    'answer to write of {name} was lost; settled as {outcome}',
)
WRITE_UNSURE = Event(2004, 'WARNING', 'no answer to write of {name}; again')
MEMBER_ALIVE = Event(3001, 'INFO', 'instance {instance} is alive')
MEMBER_LOST = Event(3002, 'WARNING', 'instance {instance} is silent')
UPSTREAM_LEAVING = Event(3003, 'INFO', 'upstream {upstream} is leaving')
CONFIG_APPLIED = Event(4001, 'INFO', 'configuration {revision} in force')
CONFIG_REFUSED = Event(4002, 'ERROR', 'configuration {revision}: {error}')
RELAY_TAKEN = Event(4003, 'INFO', 'this instance watches the store')
UPSTREAM_FAILED = Event(5001, 'WARNING', '{upstream} failed: {error}')
ANSWER_CUT = Event(5002, 'WARNING', 'answer {attempt} cut: {error}')
LATE_ANSWER = Event(5004, 'WARNING', 'late answer to {attempt} dropped')
REQUEST_FAILED = Event(5003, 'ERROR', 'request failed inside: {error}')
JOB_ACCEPTED = Event(6001, 'INFO', 'job {job} accepted, {items} items')
JOB_FINISHED = Event(6002, 'INFO', 'job {job} is {state}')
CHUNK_CLAIMED = Event(6003, 'INFO', 'chunk {chunk} claimed, epoch {epoch}')
CHUNK_LOST = Event(6004, 'WARNING', 'chunk {chunk} lost to another holder')
CHUNK_DONE = Event(6005, 'INFO', 'chunk {chunk} done')
ITEM_FAILED = Event(6006, 'WARNING', 'item {item} failed: {error}')
BATCH_FAILED = Event(6007, 'ERROR', 'batch work on {chunk} failed: {error}')
RESULTS_HELD = Event(6008, 'WARNING', '{count} results of {chunk} wait')

CATALOGUE = tuple(
    entry for entry in tuple(globals().values()) if isinstance(entry, Event)
)


def emit(event: Event, **fields: Any) -> None:
    """Write one event with its fields to the log."""
    bound = logger.bind(code=event.code, **fields)
    bound.log(event.level, event.template.format(**fields))


def configure(level: str, *, as_json: bool) -> None:
    """Send the log to standard error, for a person or as JSON lines."""
    logger.remove()
    logger.configure(extra={'code': 0})
    if as_json:
        logger.add(sys.stderr, level=level, serialize=True, catch=True)
        return
    logger.add(sys.stderr, level=level, format=HUMAN_FORMAT, catch=True)
