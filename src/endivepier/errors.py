"""The public exceptions of endivepier.

All of them derive from `EndivepierError`. Three of them tell the caller what
it may do next:

* `Refused` ends the request with an error response. Its `ran` attribute tells
  whether the request had an effect at a target.
* `Unavailable` means that the call had no effect and may be repeated.
* `OutcomeUnknown` means that the call may or may not have taken effect. Read
  the stored data to find out before responding to a caller.
"""

from __future__ import annotations

import enum


class Ran(enum.StrEnum):
    """Whether a request took effect at its target: `ran` in a refusal."""

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
    ENDS_TARGETS = "ends_targets"
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
    STREAM_NOT_RESUMABLE = "stream_not_resumable"
    TARGET_FAILED = "target_failed"
    UNAUTHENTICATED = "unauthenticated"
    WRONG_OWNER = "wrong_owner"


class EndivepierError(Exception):
    """Base class of the public exceptions of endivepier."""


class SettingsError(EndivepierError):
    """Raised when a setting is invalid.

    The message names the flag or environment variable to change.
    """


class ServiceNotFoundError(EndivepierError):
    """Raised when no service of the expected type has the name.

    Services must be registered before they are looked up.
    """


class Refused(EndivepierError):
    """Raised to end a request with an error response to its caller.

    Attributes:
        code: the machine-readable reason.
        status: the HTTP status code of the response.
        detail: one sentence for people, with the fix if there is one.
        ran: whether the request took effect at its target.
        retry_after: seconds after which a retry makes sense, or None.
        location: address of the process to send the request to instead, or
            empty; only used between the processes of the system.
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
    """Raised when a call may or may not have taken effect.

    Read the stored data to find out.
    """


class DeadlineExceeded(EndivepierError):
    """Raised in a block of code whose time limit has passed."""


class ConditionFailed(EndivepierError):
    """Raised when a condition of a transaction does not hold.

    The transaction changed nothing.

    Attributes:
        key: the row whose condition failed; read it again before a retry.
    """

    def __init__(self, key: str) -> None:
        super().__init__(f"the condition on row {key!r} does not hold")
        self.key = key


class HistoryLost(EndivepierError):
    """Raised when a store no longer has the requested changes of a table.

    Read the whole table again.
    """


class Fenced(EndivepierError):
    """Raised when an epoch or a fencing number is outdated.

    The lease that it belongs to must be given up.
    """


class PeerUnreachable(EndivepierError):
    """Raised when no complete and valid response arrived from a peer.

    Attributes:
        address: "ip:port" of the peer.
        sent: False if no byte of the request was sent, so that the peer has
            certainly not acted on it; True if it may have.
    """

    def __init__(self, address: str, detail: str, *, sent: bool) -> None:
        super().__init__(f"no complete response from {address}: {detail}")
        self.address = address
        self.sent = sent


class TargetFailed(EndivepierError):
    """Raised when a target rejected a request or sent no valid response.

    Attributes:
        target: the target's name.
        sent: False if the target has certainly not acted on the request: no
            byte of it was sent, or the target rejected it.
        timeout: whether the target did not respond in time.
    """

    def __init__(
        self, target: str, detail: str, *, sent: bool, timeout: bool = False
    ) -> None:
        super().__init__(f"target {target} failed: {detail}")
        self.target = target
        self.sent = sent
        self.timeout = timeout
