"""Numbered log events; docs/EVENTS.md explains each one."""

from typing import Any

from loguru import logger

from gentiantrestle.event_kinds import (
    Event,
    critical_event,
    error_event,
    info_event,
    warning_event,
)

STARTED = info_event(1001, 'instance {instance} started in zone {zone}')
STOPPING = info_event(1002, 'received {signal}; finishing requests in flight')
STOPPED = info_event(1003, 'stopped; requests cut: {cut}')
CHILD_FAILED = error_event(1004, 'child {child} failed: {error}')
CHILD_RESTARTED = warning_event(1005, 'restarting child {child} in {delay} s')
CHILD_ABANDONED = critical_event(
    1006, 'child {child} exceeded its restart limit'
)
RELOAD_REQUESTED = info_event(
    1007, 'received SIGHUP; reading the settings file again'
)
SETTINGS_CHANGED = info_event(
    1008,
    'settings file has changed; seeds: {seeds}; a restart applies: {pending}',
)
SETTINGS_UNUSABLE = error_event(
    1009, 'settings file is unusable, the last settings stay: {error}'
)
STORE_UNREACHABLE = warning_event(2001, 'store does not answer: {error}')
STORE_RECOVERED = info_event(2002, 'store answers again')
WRITE_OUTCOME_RESOLVED = warning_event(
    2003, 'answer to write of {name} was lost; outcome after a read: {outcome}'
)
WRITE_UNANSWERED = warning_event(2004, 'no answer to write of {name}; retrying')
MEMBER_ALIVE = info_event(3001, 'instance {instance} is alive')
MEMBER_LOST = warning_event(3002, 'lost contact with instance {instance}')
UPSTREAM_LEAVING = info_event(3003, 'upstream {upstream} is leaving')
CONFIG_APPLIED = info_event(4001, 'configuration {revision} applied')
RELAY_ROLE_ACQUIRED = info_event(
    4003, 'this instance watches the store for its zone'
)
UPSTREAM_FAILED = warning_event(5001, '{upstream} failed: {error}')
ANSWER_CUT = warning_event(5002, 'answer to attempt {attempt} cut off: {error}')
LATE_ANSWER = warning_event(5004, 'late answer to peer call {call} dropped')
REQUEST_FAILED = error_event(5003, 'internal error in a request: {error}')
JOB_ACCEPTED = info_event(6001, 'job {job} accepted with {items} items')
JOB_FINISHED = info_event(6002, 'job {job} finished: {state}')
CHUNK_CLAIMED = info_event(6003, 'chunk {chunk} claimed, epoch {epoch}')
CHUNK_LOST = warning_event(6004, 'chunk {chunk} lost to another holder')
CHUNK_DONE = info_event(6005, 'chunk {chunk} done')
ITEM_FAILED = warning_event(6006, 'item {item} failed: {error}')
BATCH_FAILED = error_event(6007, 'batch work on chunk {chunk} failed: {error}')
RESULTS_UNSAVED = warning_event(
    6008, '{count} results of {chunk} not saved yet; retrying'
)
RESULT_TOO_LARGE = error_event(
    6009,
    'result of item {item} takes {size} bytes, more than the store; it fails',
)


STORE_UNEXPECTED_STATUS = error_event(
    2005, 'unexpected store status {status} for {call}: {answer}'
)
WATCH_LOST = warning_event(2006, 'watch of {kind} lost: {error}')
WATCH_CONNECTED = info_event(
    2007, 'watch of {kind} connected at revision {revision}'
)
HISTORY_GONE = warning_event(
    2008, 'store no longer has the history of {kind}; listing again'
)
STORE_CALL_FAILED = warning_event(2009, 'store call for {name} failed: {error}')
STORE_ANSWER_UNREADABLE = error_event(
    2010, 'unreadable store answer to a read of {name}: {error}'
)
FOLLOWER_FAILED = error_event(
    2011, 'applying changes of {kind} failed; listing again: {error}'
)
CHANGE_UNHEARD = warning_event(
    2021,
    '{kind} {name} of revision {revision} was not told by watches from '
    '{watched} to {answered}',
)
JOB_UNHEARD = warning_event(
    2022,
    'job {job} of revision {revision} was unknown, though jobs are known up '
    'to {known}',
)
ENTRY_UNREADABLE = warning_event(
    3004, 'ignoring unusable entry {name}: {error}'
)
UPSTREAMS_CHANGED = info_event(
    3005,
    'upstreams at revision {revision}: {ready} ready, {draining} draining, '
    '{gone} gone',
)
STATE_COPIED = info_event(
    3006,
    'copied state from {instance}: configuration {version}, '
    'upstreams {revision}, jobs {jobs}',
)
WATCHER_ROLE_CHANGED = info_event(
    3010, 'this instance watches the store for its zone: {held}'
)
PEER_FAILED = warning_event(3007, 'call to instance {instance} failed: {error}')
CONFIG_BEHIND = info_event(
    3019, 'instance {instance} has configuration {version}'
)
SOURCE_SILENT = warning_event(3020, 'instance {instance} is silent')
UPSTREAM_SUSPENDED = warning_event(
    3023, 'upstream {upstream} is suspended for all instances: {witnesses}'
)
UPSTREAM_USABLE = info_event(
    3024, 'upstream {upstream} is usable again: {reason}'
)
PULSE_UNREADABLE = warning_event(3008, 'unreadable datagram dropped: {error}')
INSTANCE_RETIRED = info_event(
    3009, 'storage instance {instance} holds no data; retired'
)
DATAGRAM_UNSENT = warning_event(3011, 'a datagram was not sent: {error}')
COORDINATOR_SILENT = warning_event(
    3012, 'slot coordinator {instance} does not answer'
)
UPSTREAM_CRASHED = warning_event(
    3013, 'upstream {upstream} ended while it began answers; suspects: {traits}'
)
QUARANTINED_TRIED = info_event(
    3014, 'trying a quarantined request with {traits} again'
)
BLAME_BEGUN = warning_event(
    3025,
    'requests with {traits} are held back: {crashes} upstreams crashed',
)
BLAME_ENDED = info_event(
    3026,
    'requests with {traits} are sent on again: {refused} refused in {held_s} s',
)
RATE_LIMIT_NAMED = info_event(
    3015, 'upstream {upstream} takes {limit} requests a second (0: no limit)'
)
MESSAGE_FAILED = error_event(
    3016, 'handling a message of an instance failed: {error}'
)
RUN_DIFFERS = warning_event(
    3017,
    'upstream {upstream} has started again: run {listed} is listed, {found} '
    'answers',
)
RUN_UNKNOWN = warning_event(
    3018, 'upstream {upstream} does not tell which run it is: {error}'
)
SERVICE_UNREACHED = warning_event(
    3030,
    'no upstream of {service} is reached, {upstreams} tried in {took_ms} ms: '
    '{tried}; instances that reach it: {instances}',
)
SERVICE_REACHED = info_event(
    3031, 'upstreams of {service} are reached after {took_ms} ms'
)
CONFIG_UNCONFIRMED = warning_event(
    3040,
    'requests with a key are refused: configuration {version} was last '
    'confirmed {age_ms} ms ago, by {source}',
)
CONFIG_CONFIRMED = info_event(
    3041,
    'configuration {version} is confirmed by {source}: keys are served',
)
OVER_SHARE = info_event(
    3060,
    'account {account} is over its share of {service}: {slots} slots of '
    '{share}',
)
UPSTREAM_PACE = info_event(
    3070, 'upstream {upstream} is {pace}: {ratio} times the pace of its peers'
)
START_WINDOW_OPENED = info_event(
    3071, 'upstream {upstream} has started; it gets {slots} slots at first'
)
START_WINDOW_CLOSED = info_event(
    3072, 'upstream {upstream} gets all its slots after {answers} answers'
)
REQUEST_QUARANTINED = info_event(5106, 'request {request} refused: {reason}')
ANSWER_ABANDONED = info_event(
    5108, 'answer to request {request} cut, no slot to go on: {reason}'
)
REQUEST_PLACED = info_event(
    5101, 'request {request} placed on {upstream} after {waited_ms} ms'
)
REQUEST_REFUSED = info_event(
    5102,
    'request {request} refused: {service} has {upstreams} usable upstreams, '
    'expected wait {expected_ms} ms',
)
ATTEMPT_ENDED = info_event(
    5103,
    'attempt of request {request} on {upstream}: {outcome} {reason}; '
    'next step: {step}',
)
REQUEST_ENDED = info_event(
    5104, 'request {request} on {route} ended: {outcome} in {took_ms} ms'
)
BAD_REQUEST_REFUSED = info_event(
    5105, 'invalid or incomplete request refused: {status} {reason}'
)
STREAM_TAKEN_UP = info_event(
    5107,
    'request {request} takes up the stream of {attempt}: {service} {version}, '
    'known from {source}: {known}',
)
REQUEST_PASSED_ON = info_event(
    5109,
    'request {request} passed on to {instance} in {zone}: {service} is not '
    'reached from here',
)
PASSED_REQUEST_ENDED = info_event(
    5110,
    'request {request} passed on by {instance} ended: {outcome} in {took_ms} '
    'ms',
)
PASSED_REQUEST_REFUSED = warning_event(
    5111, 'request passed on by {instance} refused: {reason}'
)
KEY_REFUSED = info_event(
    5112, 'request {request} on {route} refused for its key: {reason}'
)
VERSIONS_LISTED = info_event(
    2012, 'versions in use of {versions} services stored'
)
ITEM_RESTARTED = info_event(
    6105,
    'item {item} starts again on {upstream}: its output began at version '
    '{began_at}',
)
ITEM_RUN_ENDED = info_event(
    6101,
    'run of item {item} on {upstream} ended: {reason}; last event {last_event}',
)
ITEM_PLACED = info_event(6104, 'item {item} of job {job} placed on {upstream}')
ITEM_PREEMPTED = info_event(6102, 'item {item} preempted on {upstream}')
JOBS_TAKEN_OVER = info_event(6103, 'took over the jobs accepted by {run}')
ITEMS_UNSERVED = warning_event(
    6106,
    '{items} items wait for service {service}, which has no usable upstream',
)
JOBS_LEFT = info_event(6107, 'other instances run the jobs of this one: {left}')
JOB_UNFOUND = info_event(
    6110,
    'job {job} refused as unknown: the index has it: {indexed}, the store: '
    '{stored}',
)
BODY_UNFOUND = info_event(
    6111, 'body of item {item} refused: job {job} names no such item'
)
JOB_REFUSED = info_event(6112, 'job {job} refused: {kind}, {reason}')
JOB_WAITS = info_event(
    6113, '{items} items of job {job} are not queued yet: {cause}'
)
BATCH_STEP_FAILED = error_event(
    6114, 'internal error in {step} of {subject}, it is repeated: {error}'
)
JOB_LEARNED = info_event(
    6115,
    'job {job} was not known here, though another instance takes this one for '
    'its owner; found in the store: {found}',
)
BODIES_DIFFER = warning_event(
    6116,
    'bodies of job {job} differ from stored ones; stored as {upload}',
)
MEMORY_REFUSED = warning_event(
    5120, 'no memory for {size} bytes of {use}: {held} of {limit} bytes held'
)
ITEMS_KEPT_OUT = info_event(
    5121, 'bodies of job {job} stay in the store: {held} of {limit} bytes held'
)
JOB_WITHOUT_ROOM = info_event(
    5122, 'job {job} waits for room for bodies: {held} of {limit} bytes held'
)
DELIVERY_UNKNOWN = warning_event(
    5130, 'what a server has taken of a request is not known: {error}'
)
ANSWER_END_UNPROVEN = warning_event(
    5131,
    'answer of {upstream} without length may have been cut: runs {known} had '
    'begun before it, {found} is there after it',
)
LINES_DROPPED = warning_event(
    7001, 'log buffer was full; {count} lines dropped'
)


def emit(event: Event, **fields: Any) -> None:
    """Log an event; each placeholder of its template needs a field."""
    bound = logger.bind(code=event.code, **fields)
    bound.log(event.level, event.template.format(**fields))
