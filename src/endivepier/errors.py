"""Every error that endivepier raises on purpose, as one tree.

Callers of the library catch `EndivepierError` or one of its branches. Three
branches matter most, because they tell what may be done next:

* `Refused` is an answer: the request is over, and `ran` tells whether the
  request had any effect at a target.
* `Unavailable` means that nothing happened and the same call may be repeated.
* `OutcomeUnknown` means that the call may or may not have taken effect; it
  must be resolved by reading back before anything is said to a caller.
"""

from __future__ import annotations

import enum


class Ran(enum.StrEnum):
    """Whether a request reached its target: the `ran` member of a refusal."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class Code(enum.StrEnum):
    """Machine-readable codes of refusals, as listed in docs/API.md."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BUDGET_EXHAUSTED = "budget_exhausted"
    CONFLICT = "conflict"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    FORBIDDEN = "forbidden"
    HISTORY_MISMATCH = "history_mismatch"
    KEY_REUSED = "idempotency_key_reused"
    NOT_FOUND = "not_found"
    NOT_READY = "not_ready"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    PROGRAM_ENDED = "program_ended"
    RATE_LIMITED = "rate_limited"
    STORE_UNAVAILABLE = "store_unavailable"
    TARGET_FAILED = "target_failed"
    UNAUTHENTICATED = "unauthenticated"
    WRONG_OWNER = "wrong_owner"


class EndivepierError(Exception):
    """Base of the tree. Catch it to catch whatever this library raises."""


class SettingsError(EndivepierError):
    """Raised when a setting is wrong. Change the named flag or variable."""


class ServiceNotFoundError(EndivepierError):
    """Raised when no service has the name. Register it before the look-up."""


class Refused(EndivepierError):
    """Raised to end a request with a truthful answer to its caller.

    Attributes:
        code: the machine-readable reason.
        status: the HTTP status code of the answer.
        detail: one sentence for a person, which names the fix.
        ran: whether the request took effect at its target.
        retry_after: seconds after which a retry makes sense, or None.
        location: address of the process to ask instead, or empty; only
            between own processes.
    """

    def __init__(
        self,
        code: Code,
        status: int,
        detail: str,
        *,
        ran: Ran = Ran.NO,
        retry_after: float | None = None,
        location: str = "",
    ) -> None:
        super().__init__(detail)
        self.code = code
        self.status = status
        self.detail = detail
        self.ran = ran
        self.retry_after = retry_after
        self.location = location


class Unavailable(EndivepierError):
    """Raised when a call certainly had no effect. It may be repeated."""


class OutcomeUnknown(EndivepierError):
    """Raised when a call may have had its effect. Read back, then decide."""


class DeadlineExceeded(EndivepierError):
    """Raised when the time for a piece of work is over. Stop that work."""


class ConditionFailed(EndivepierError):
    """Raised when a transaction's condition does not hold; nothing changed.

    Attributes:
        key: the row whose condition failed. Read it again, then decide.
    """

    def __init__(self, key: str) -> None:
        super().__init__(f"the condition on row {key!r} does not hold")
        self.key = key


class HistoryLost(EndivepierError):
    """Raised when a store no longer has the changes asked for.

    Read the whole table afresh.
    """


class Fenced(EndivepierError):
    """Raised when an epoch or fencing number is old. Give up the lease."""


class PeerUnreachable(EndivepierError):
    """Raised when a peer gave no answer.

    Attributes:
        sent: False if not a byte of the request left this process, so that
            the peer certainly did nothing; True if it may have acted.
    """

    def __init__(self, address: str, detail: str, *, sent: bool) -> None:
        super().__init__(f"no answer from {address}: {detail}")
        self.address = address
        self.sent = sent


class TargetFailed(EndivepierError):
    """Raised when a target broke off or gave an answer that is not whole.

    Attributes:
        sent: False if not a byte of the request reached the target.
        timeout: whether the target was silent for too long.
    """

    def __init__(
        self, target: str, detail: str, *, sent: bool, timeout: bool = False
    ) -> None:
        super().__init__(f"target {target} failed: {detail}")
        self.target = target
        self.sent = sent
        self.timeout = timeout
