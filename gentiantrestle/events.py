"""Numbered log events; docs/EVENTS.md explains each one."""

from typing import Any, NamedTuple

from loguru import logger


class Event(NamedTuple):
    """A kind of log entry: stable number, level and message template."""

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

STARTED = _define(
    1001, LEVEL_INFO, 'instance {instance} started in zone {zone}'
)
STOPPING = _define(
    1002, LEVEL_INFO, 'received {signal}; finishing requests in flight'
)
STOPPED = _define(1003, LEVEL_INFO, 'stopped; requests cut: {cut}')
CHILD_FAILED = _define(1004, LEVEL_ERROR, 'child {child} failed: {error}')
CHILD_RESTARTED = _define(
    1005, LEVEL_WARNING, 'restarting child {child} in {delay} s'
)
CHILD_ABANDONED = _define(
    1006, LEVEL_CRITICAL, 'child {child} exceeded its restart limit'
)
RELOAD_REQUESTED = _define(
    1007, LEVEL_INFO, 'received SIGHUP; reading the settings file again'
)
SETTINGS_CHANGED = _define(
    1008,
    LEVEL_INFO,
    'settings file has changed; seeds: {seeds}; a restart applies: {pending}',
)
SETTINGS_UNUSABLE = _define(
    1009,
    LEVEL_ERROR,
    'settings file is unusable, the last settings stay: {error}',
)
STORE_UNREACHABLE = _define(
    2001, LEVEL_WARNING, 'store does not answer: {error}'
)
STORE_RECOVERED = _define(2002, LEVEL_INFO, 'store answers again')
WRITE_OUTCOME_RESOLVED = _define(
    2003,
    LEVEL_WARNING,
    'answer to write of {name} was lost; outcome after a read: {outcome}',
)
WRITE_UNANSWERED = _define(
    2004, LEVEL_WARNING, 'no answer to write of {name}; retrying'
)
MEMBER_ALIVE = _define(3001, LEVEL_INFO, 'instance {instance} is alive')
MEMBER_LOST = _define(
    3002, LEVEL_WARNING, 'lost contact with instance {instance}'
)
UPSTREAM_LEAVING = _define(3003, LEVEL_INFO, 'upstream {upstream} is leaving')
CONFIG_APPLIED = _define(4001, LEVEL_INFO, 'configuration {revision} applied')
RELAY_ROLE_ACQUIRED = _define(
    4003, LEVEL_INFO, 'this instance watches the store for its zone'
)
UPSTREAM_FAILED = _define(5001, LEVEL_WARNING, '{upstream} failed: {error}')
ANSWER_CUT = _define(
    5002, LEVEL_WARNING, 'answer to attempt {attempt} cut off: {error}'
)
LATE_ANSWER = _define(
    5004, LEVEL_WARNING, 'late answer to peer call {call} dropped'
)
REQUEST_FAILED = _define(
    5003, LEVEL_ERROR, 'internal error in a request: {error}'
)
JOB_ACCEPTED = _define(
    6001, LEVEL_INFO, 'job {job} accepted with {items} items'
)
JOB_FINISHED = _define(6002, LEVEL_INFO, 'job {job} finished: {state}')
CHUNK_CLAIMED = _define(
    6003, LEVEL_INFO, 'chunk {chunk} claimed, epoch {epoch}'
)
CHUNK_LOST = _define(
    6004, LEVEL_WARNING, 'chunk {chunk} lost to another holder'
)
CHUNK_DONE = _define(6005, LEVEL_INFO, 'chunk {chunk} done')
ITEM_FAILED = _define(6006, LEVEL_WARNING, 'item {item} failed: {error}')
BATCH_FAILED = _define(
    6007, LEVEL_ERROR, 'batch work on chunk {chunk} failed: {error}'
)
RESULTS_UNSAVED = _define(
    6008, LEVEL_WARNING, '{count} results of {chunk} not saved yet; retrying'
)
RESULT_TOO_LARGE = _define(
    6009,
    LEVEL_ERROR,
    'result of item {item} takes {size} bytes, more than the store; it fails',
)


STORE_UNEXPECTED_STATUS = _define(
    2005, LEVEL_ERROR, 'unexpected store status {status} for {call}: {answer}'
)
WATCH_LOST = _define(2006, LEVEL_WARNING, 'watch of {kind} lost: {error}')
WATCH_CONNECTED = _define(
    2007, LEVEL_INFO, 'watch of {kind} connected at revision {revision}'
)
HISTORY_GONE = _define(
    2008,
    LEVEL_WARNING,
    'store no longer has the history of {kind}; listing again',
)
STORE_CALL_FAILED = _define(
    2009, LEVEL_WARNING, 'store call for {name} failed: {error}'
)
STORE_ANSWER_UNREADABLE = _define(
    2010, LEVEL_ERROR, 'unreadable store answer to a read of {name}: {error}'
)
FOLLOWER_FAILED = _define(
    2011,
    LEVEL_ERROR,
    'applying changes of {kind} failed; listing again: {error}',
)
ENTRY_UNREADABLE = _define(
    3004, LEVEL_WARNING, 'ignoring unusable entry {name}: {error}'
)
UPSTREAMS_CHANGED = _define(
    3005,
    LEVEL_INFO,
    'upstreams at revision {revision}: {ready} ready, {draining} draining, '
    '{gone} gone',
)
STATE_COPIED = _define(
    3006,
    LEVEL_INFO,
    'copied state from {instance}: configuration {version}, '
    'upstreams {revision}, jobs {jobs}',
)
WATCHER_ROLE_CHANGED = _define(
    3010, LEVEL_INFO, 'this instance watches the store for its zone: {held}'
)
PEER_FAILED = _define(
    3007, LEVEL_WARNING, 'call to instance {instance} failed: {error}'
)
CONFIG_BEHIND = _define(
    3019, LEVEL_INFO, 'instance {instance} has configuration {version}'
)
SOURCE_SILENT = _define(3020, LEVEL_WARNING, 'instance {instance} is silent')
UPSTREAM_SUSPENDED = _define(
    3023,
    LEVEL_WARNING,
    'upstream {upstream} is suspended for all instances: {witnesses}',
)
UPSTREAM_USABLE = _define(
    3024, LEVEL_INFO, 'upstream {upstream} is usable again: {reason}'
)
PULSE_UNREADABLE = _define(
    3008, LEVEL_WARNING, 'unreadable datagram dropped: {error}'
)
INSTANCE_RETIRED = _define(
    3009, LEVEL_INFO, 'storage instance {instance} holds no data; retired'
)
DATAGRAM_UNSENT = _define(
    3011, LEVEL_WARNING, 'a datagram was not sent: {error}'
)
COORDINATOR_SILENT = _define(
    3012, LEVEL_WARNING, 'slot coordinator {instance} does not answer'
)
UPSTREAM_CRASHED = _define(
    3013,
    LEVEL_WARNING,
    'upstream {upstream} ended while it began answers; suspects: {traits}',
)
QUARANTINED_TRIED = _define(
    3014, LEVEL_INFO, 'trying a quarantined request with {traits} again'
)
RATE_LIMIT_NAMED = _define(
    3015,
    LEVEL_INFO,
    'upstream {upstream} takes {limit} requests a second (0: no limit)',
)
MESSAGE_FAILED = _define(
    3016, LEVEL_ERROR, 'handling a message of an instance failed: {error}'
)
RUN_DIFFERS = _define(
    3017,
    LEVEL_WARNING,
    'upstream {upstream} has started again: run {listed} is listed, {found} '
    'answers',
)
RUN_UNKNOWN = _define(
    3018,
    LEVEL_WARNING,
    'upstream {upstream} does not tell which run it is: {error}',
)
SERVICE_UNREACHED = _define(
    3030,
    LEVEL_WARNING,
    'no upstream of {service} is reached, {upstreams} tried in {took_ms} ms: '
    '{tried}; instances that reach it: {instances}',
)
SERVICE_REACHED = _define(
    3031, LEVEL_INFO, 'upstreams of {service} are reached after {took_ms} ms'
)
REQUEST_QUARANTINED = _define(
    5106, LEVEL_INFO, 'request {request} refused: {reason}'
)
ANSWER_ABANDONED = _define(
    5108,
    LEVEL_INFO,
    'answer to request {request} cut, no slot to go on: {reason}',
)
REQUEST_PLACED = _define(
    5101,
    LEVEL_INFO,
    'request {request} placed on {upstream} after {waited_ms} ms',
)
REQUEST_REFUSED = _define(
    5102,
    LEVEL_INFO,
    'request {request} refused: {service} has {upstreams} usable upstreams, '
    'expected wait {expected_ms} ms',
)
ATTEMPT_ENDED = _define(
    5103,
    LEVEL_INFO,
    'attempt of request {request} on {upstream}: {outcome} {reason}; '
    'next step: {step}',
)
REQUEST_ENDED = _define(
    5104,
    LEVEL_INFO,
    'request {request} on {route} ended: {outcome} in {took_ms} ms',
)
BAD_REQUEST_REFUSED = _define(
    5105, LEVEL_INFO, 'invalid or incomplete request refused: {status} {reason}'
)
STREAM_TAKEN_UP = _define(
    5107,
    LEVEL_INFO,
    'request {request} takes up the stream of {attempt}: {service} {version}, '
    'known from {source}: {known}',
)
REQUEST_PASSED_ON = _define(
    5109,
    LEVEL_INFO,
    'request {request} passed on to {instance} in {zone}: {service} is not '
    'reached from here',
)
PASSED_REQUEST_ENDED = _define(
    5110,
    LEVEL_INFO,
    'request {request} passed on by {instance} ended: {outcome} in {took_ms} '
    'ms',
)
PASSED_REQUEST_REFUSED = _define(
    5111, LEVEL_WARNING, 'request passed on by {instance} refused: {reason}'
)
VERSIONS_LISTED = _define(
    2012, LEVEL_INFO, 'versions in use of {versions} services stored'
)
ITEM_RESTARTED = _define(
    6105,
    LEVEL_INFO,
    'item {item} starts again on {upstream}: its output began at version '
    '{began_at}',
)
ITEM_RUN_ENDED = _define(
    6101,
    LEVEL_INFO,
    'run of item {item} on {upstream} ended: {reason}; last event {last_event}',
)
ITEM_PLACED = _define(
    6104, LEVEL_INFO, 'item {item} of job {job} placed on {upstream}'
)
ITEM_PREEMPTED = _define(
    6102, LEVEL_INFO, 'item {item} preempted on {upstream}'
)
JOBS_TAKEN_OVER = _define(
    6103, LEVEL_INFO, 'took over the jobs accepted by {run}'
)
ITEMS_UNSERVED = _define(
    6106,
    LEVEL_WARNING,
    '{items} items wait for service {service}, which has no usable upstream',
)
JOBS_LEFT = _define(
    6107, LEVEL_INFO, 'other instances run the jobs of this one: {left}'
)
LINES_DROPPED = _define(
    7001, LEVEL_WARNING, 'log buffer was full; {count} lines dropped'
)


def emit(event: Event, **fields: Any) -> None:
    """Log an event; each placeholder of its template needs a field."""
    bound = logger.bind(code=event.code, **fields)
    bound.log(event.level, event.template.format(**fields))
