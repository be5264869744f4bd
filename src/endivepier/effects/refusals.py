"""The refusals of non-idempotent requests."""

from __future__ import annotations

from endivepier import errors

RETRY_SECONDS = 1.0


def unknown(detail: str) -> errors.Refused:
    """Returns the refusal of a request whose outcome nobody knows now."""
    return errors.Refused(
        errors.Code.OUTCOME_UNKNOWN,
        409,
        f"{detail}; look its outcome up later",
        ran=errors.Ran.UNKNOWN,
        retry_after=RETRY_SECONDS,
    )


def store_down() -> errors.Refused:
    """Returns the refusal of a request that could not be claimed."""
    return errors.Refused(
        errors.Code.STORE_UNAVAILABLE,
        503,
        "claims can't be recorded now, so the request was not sent",
        retry_after=RETRY_SECONDS,
    )


def key_reused() -> errors.Refused:
    """Returns the refusal of another request with a known key."""
    return errors.Refused(
        errors.Code.KEY_REUSED,
        422,
        "this Idempotency-Key was used for another request; take a new one",
    )


def moved_on() -> errors.Refused:
    """Returns the refusal of an attempt that builds on an old claim row."""
    return errors.Refused(
        errors.Code.CONFLICT,
        409,
        "an earlier attempt with this Idempotency-Key did not run; retry",
        retry_after=RETRY_SECONDS,
    )


def ran_without_answer() -> errors.Refused:
    """Returns the refusal of a request whose answer is lost."""
    return errors.Refused(
        errors.Code.OUTCOME_UNKNOWN,
        409,
        "the request ran, but its answer is lost; ask the service's owner",
        ran=errors.Ran.YES,
    )


def draining() -> errors.Refused:
    """Returns the refusal of a sidecar that stops."""
    return errors.Refused(
        errors.Code.NOT_READY,
        503,
        "the service's sidecar is stopping; the request was not sent",
        retry_after=RETRY_SECONDS,
    )


def too_old() -> errors.Refused:
    """Returns the refusal of a message that was on its way for too long."""
    return errors.Refused(
        errors.Code.DEADLINE_EXCEEDED,
        504,
        "the request arrived too late and was not sent; send it again",
    )


def bad_key() -> errors.Refused:
    """Returns the refusal of a request without a usable key."""
    return errors.Refused(
        errors.Code.BAD_REQUEST,
        400,
        "a request that must not be repeated needs an Idempotency-Key of at "
        "most 200 characters",
    )
