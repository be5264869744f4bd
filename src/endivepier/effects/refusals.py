"""Errors with which requests to plain services are refused."""

from __future__ import annotations

from endivepier import errors

RETRY_AFTER_SECONDS = 1.0


def outcome_unknown(detail: str) -> errors.Refused:
    """Returns the refusal of a request whose outcome is unknown."""
    return errors.Refused(
        errors.Code.OUTCOME_UNKNOWN,
        409,
        f"{detail}; look the outcome up later",
        ran=errors.Ran.UNKNOWN,
        retry_after=RETRY_AFTER_SECONDS,
    )


def claim_not_recorded() -> errors.Refused:
    """Returns the refusal of a request that could not be claimed."""
    return errors.Refused(
        errors.Code.STORE_UNAVAILABLE,
        503,
        "claims can't be recorded now, so the request was not sent",
        retry_after=RETRY_AFTER_SECONDS,
    )


def key_reused() -> errors.Refused:
    """Returns the refusal of a request that reuses another one's key."""
    return errors.Refused(
        errors.Code.KEY_REUSED,
        422,
        "this Idempotency-Key was used for another request; use a new one",
    )


def earlier_not_run() -> errors.Refused:
    """Returns the refusal of an attempt if an earlier one did not run.

    The attempt requires a row version that has been replaced; a retry reads
    the new version.
    """
    return errors.Refused(
        errors.Code.CONFLICT,
        409,
        "an earlier attempt with this Idempotency-Key did not run; retry",
        retry_after=RETRY_AFTER_SECONDS,
    )


def answer_lost() -> errors.Refused:
    """Returns the refusal of a request that ran and whose answer is lost."""
    return errors.Refused(
        errors.Code.OUTCOME_UNKNOWN,
        409,
        "the request ran, but its answer is lost; ask the service's owner",
        ran=errors.Ran.YES,
    )


def draining() -> errors.Refused:
    """Returns the refusal of a request by a sidecar that is stopping."""
    return errors.Refused(
        errors.Code.NOT_READY,
        503,
        "the service's sidecar is stopping; the request was not sent",
        retry_after=RETRY_AFTER_SECONDS,
    )


def message_expired() -> errors.Refused:
    """Returns the refusal of a message that was in transit for too long."""
    return errors.Refused(
        errors.Code.DEADLINE_EXCEEDED,
        504,
        "the request arrived too late and was not sent; send it again",
    )


def key_unusable() -> errors.Refused:
    """Returns the refusal of a request whose key is missing or too long."""
    return errors.Refused(
        errors.Code.BAD_REQUEST,
        400,
        "a non-idempotent request needs an Idempotency-Key of at most 200 "
        "characters",
    )
