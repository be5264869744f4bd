"""Refuses a turn before it is sent if the engines are overloaded."""

from __future__ import annotations

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import calls
from endivepier.gateway import exchange as exchange_lib
from endivepier.gateway.choice import admission as turn_admission
from endivepier.gateway.choice import load_inquiries
from endivepier.gateway.choice import target_choice

# `Retry-After` when the engines are overloaded: a queue of a few tenths of a
# second is empty then.
BUSY_RETRY_SECONDS = 0.2


class LoadCheck:
    """Compares the load of the engines with the limit for a turn."""

    def __init__(
        self,
        dispatcher: exchange_lib.Dispatcher,
        choice: target_choice.TargetChoice,
        inquiries: load_inquiries.LoadInquiries,
        timers: timers_lib.Timers,
    ) -> None:
        """Initializes.

        Args:
            dispatcher: knows the load and the rates of targets.
            choice: knows which targets may run a call.
            inquiries: asks hosts whose load is not known.
            timers: the timer service.
        """
        self._dispatcher = dispatcher
        self._choice = choice
        self._inquiries = inquiries
        self._timers = timers

    def check(self, ctx: calls.CallContext) -> None:
        """Checks that the engines have capacity for a turn.

        Raises:
            errors.Refused: they are overloaded; the call has not run.
        """
        if ctx.engine is None:
            return
        reason = self._refusal_reason(ctx)
        # The load of hosts that were not heard is a guess.
        if reason and self._inquiries.refresh():
            reason = self._refusal_reason(ctx)
        if reason:
            raise errors.Refused(
                errors.Code.OVERLOADED,
                503,
                f"service {ctx.service!r}: {reason}",
                retry_after=BUSY_RETRY_SECONDS,
            )

    def _refusal_reason(self, ctx: calls.CallContext) -> str:
        rate_tokens = self._dispatcher.rate_tokens
        targets = [
            t for t in self._choice.targets(ctx) if rate_tokens.may_take(t)
        ]
        return turn_admission.refusal_reason(
            ctx.call,
            self._dispatcher.placement,
            targets,
            self._timers.now(),
            begins=ctx.is_first_turn,
            delayed=ctx.delayed,
            slots=sum(rate_tokens.slots(target) for target in targets),
        )
