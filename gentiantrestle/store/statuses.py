"""Which answers of a store settle a call; no I/O."""

OK_STATUSES = frozenset((200, 201, 204))
NOT_FOUND = 404
PRECONDITION_FAILED = 412
# Whatever else a store answers shows no write, and tells nothing of an object.
FINAL_STATUSES = {
    'PUT': OK_STATUSES | {PRECONDITION_FAILED},
    'DELETE': OK_STATUSES | {NOT_FOUND},
    'GET': OK_STATUSES | {NOT_FOUND},
}
REFUSED = 503  # the store did nothing
FIRST_SERVER_ERROR = 500


def is_final(method: str, status: int) -> bool:
    """Return whether a status tells what became of a call."""
    return status in FINAL_STATUSES[method]


def leaves_unsure(method: str, status: int) -> bool:
    """Return whether a write may have been carried out before an error."""
    is_error = status >= FIRST_SERVER_ERROR and status != REFUSED
    return method != 'GET' and is_error
