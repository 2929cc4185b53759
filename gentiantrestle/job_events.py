"""Numbered log events of callers' calls on batch jobs."""

from gentiantrestle.event_kinds import info_event, warning_event

JOB_CALL_UNANSWERED = warning_event(
    6117,
    'call on job {job} ({operation} {position}) got no answer at step {step} '
    'after {took_ms} ms: {reason}',
)
JOB_READ_AGAIN = info_event(
    6118,
    'results of job {job} are read again {unread_ms} ms after a read was first '
    'refused here',
)
