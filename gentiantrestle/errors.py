"""Kinds of errors with their HTTP status and remedy, and refusals."""

from enum import Enum
from typing import NamedTuple


class Run(Enum):
    """Whether the work that an error refers to was run."""

    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


class ErrorKind(NamedTuple):
    """A kind of error: its name, HTTP status and remedy for the caller.

    ``run`` tells the caller whether the work may have been run.
    """

    name: str
    status: int
    remedy: str
    run: Run = Run.NOT_RUN


class Refusal(NamedTuple):
    """Why something was not done; false as a condition.

    ``retry_after`` is in s.
    """

    kind: ErrorKind
    reason: str
    retry_after: float | None = None

    def __bool__(self) -> bool:
        """Return false, so that ``if not answer`` detects a refusal."""
        return False

    @property
    def message(self) -> str:
        """The reason and the remedy, as text for a person."""
        remedy = self.kind.remedy
        return f'{self.reason}. {remedy}'


class RefusedError(Exception):
    """Carries a refusal up to the code that answers the caller."""

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal; its message is the exception's text."""
        super().__init__(refusal.message)
        self.refusal = refusal


def refuse(
    kind: ErrorKind,
    reason: str,
    retry_after: float | None = None,
) -> RefusedError:
    """Return the exception that carries a refusal; times are in s."""
    return RefusedError(Refusal(kind, reason, retry_after))


BAD_REQUEST = ErrorKind(
    'bad_request',
    400,
    'Correct the request and send it again.',
)
BAD_SETTINGS = ErrorKind(
    'bad_settings',
    400,
    'Correct every listed field and apply the configuration again.',
)
UNAUTHORIZED = ErrorKind(
    'unauthorized',
    401,
    'Send a valid key as "Authorization: Bearer KEY".',
)
FORBIDDEN = ErrorKind(
    'forbidden',
    403,
    'Use a key of an account that is permitted to do this.',
)
NOT_FOUND = ErrorKind(
    'not_found',
    404,
    'Check the name; the list call shows what exists.',
)
UNKNOWN_MODEL = ErrorKind(
    'unknown_model',
    404,
    'Use the name of an endpoint; GET /v1/models lists them.',
)
WRONG_METHOD = ErrorKind(
    'wrong_method',
    405,
    'Use a method listed in the Allow header.',
)
REQUEST_TIMEOUT = ErrorKind(
    'request_timeout',
    408,
    'Send the whole request without long pauses.',
)
CONFLICT = ErrorKind(
    'conflict',
    409,
    'Read the current state, reconsider the change and send it again.',
)
KEY_REUSED = ErrorKind(
    'idempotency_key_reused',
    409,
    'Use a new Idempotency-Key for a different request.',
)
ALREADY_STARTED = ErrorKind(
    'already_started',
    409,
    'The first request with this Idempotency-Key was started and will not '
    'be run again; check its effect before you send it with a new key.',
    Run.UNKNOWN,
)
TOO_LARGE = ErrorKind(
    'too_large',
    413,
    'Send less in one request; docs/API.md lists the limits.',
)
PROMPT_TOO_LONG = ErrorKind(
    'prompt_too_long',
    400,
    'Shorten the prompt or use an endpoint with a longer context.',
)
HEADERS_TOO_LARGE = ErrorKind(
    'headers_too_large',
    431,
    'Send fewer or shorter header fields.',
)
OVERLOADED = ErrorKind(
    'overloaded',
    429,
    'Wait for the time given in Retry-After and send again.',
)
MEMORY_FULL = ErrorKind(
    'memory_full',
    503,
    'Wait for the time given in Retry-After and send again.',
)
ALLOWANCE_USED = ErrorKind(
    'allowance_used',
    429,
    'Wait for the time given in Retry-After, or have the allowance raised.',
)
NO_UPSTREAM = ErrorKind(
    'no_upstream',
    503,
    'Wait for the time given in Retry-After and send again.',
)
QUARANTINED = ErrorKind(
    'quarantined',
    503,
    'Change the request; it is refused until upstreams are found to bear it.',
)
STORE_UNAVAILABLE = ErrorKind(
    'store_unavailable',
    503,
    'Nothing was accepted; send again after Retry-After.',
)
STORE_OUTCOME_UNKNOWN = ErrorKind(
    'store_unsure',
    503,
    'Send the same request with the same Idempotency-Key; that resolves its '
    'outcome, and it is never run twice.',
    Run.UNKNOWN,
)
STOPPING = ErrorKind(
    'stopping',
    503,
    'Send the request again; another instance will answer it.',
)
UPSTREAM_OUTCOME_UNKNOWN = ErrorKind(
    'outcome_unknown',
    502,
    'The upstream was lost after the request was sent; check its effect '
    'before you send it again.',
    Run.UNKNOWN,
)
UPSTREAM_FAILED = ErrorKind(
    'upstream_failed',
    502,
    'The upstream answered with an error; check the request, then try again.',
    Run.UNKNOWN,
)
CUT_SHORT = ErrorKind(
    'cut_short',
    502,
    'The answer is incomplete; discard it and send the request again.',
    Run.UNKNOWN,
)
ANSWER_TIMEOUT = ErrorKind(
    'answer_timeout',
    504,
    'The upstream did not answer in time; check the effect before you send '
    'the request again.',
    Run.UNKNOWN,
)
NO_CONFIGURATION = ErrorKind(
    'no_configuration',
    503,
    'This instance has no configuration yet; send again after Retry-After.',
)
CONFIGURATION_UNCONFIRMED = ErrorKind(
    'configuration_unconfirmed',
    503,
    "This instance can't tell whether the key is still valid; send again "
    'after Retry-After.',
)
INTERNAL = ErrorKind(
    'internal',
    500,
    'Report this with the time and the instance; its log has the cause.',
    Run.UNKNOWN,
)
