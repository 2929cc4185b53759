"""Numbered log events of the accounts' allowances."""

from gentiantrestle.event_kinds import info_event, warning_event

COUNTER_SILENT = warning_event(
    3050, 'instance {instance}, which counts allowances, does not answer'
)
ALLOWANCES_TAKEN_OVER = info_event(
    3051, 'this instance counts {accounts} more accounts'
)
ALLOWANCE_HANDED_OVER = info_event(
    3052, 'account {account} is counted by {instance} from now on: {left} left'
)
COUNTS_DISTRUSTED = warning_event(
    3053, 'stood still for {gap_ms} ms; accounts are counted with few tokens'
)
ALLOWANCE_USED_UP = info_event(
    5118,
    'request {request} refused: account {account} has used up its allowance; '
    'there is room in {wait_ms} ms',
)
CHARGED_ALONE = warning_event(
    5119,
    'no instance counts account {account} for request {request}; granted: '
    '{granted}',
)
