"""Reserves the tokens of a turn before it runs and settles them after it."""

from __future__ import annotations

import eliot

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import calls
from endivepier.gateway.budgets import owners as budget_owners
from endivepier.gateway.budgets import state as budget_state
from endivepier.gateway.store import access as store_access
from endivepier.gateway.streams import events
from endivepier.gateway.streams import progress as stream_progress

# How long a turn waits for an uncertain reservation before it is sent to a
# target. A turn that already runs waits for as long as its route allows.
RESERVE_TIMEOUT_SECONDS = 1.5
OUTAGE_RESERVE_TIMEOUT_SECONDS = 0.3  # if the store has failed for some time
# In an outage of the store, the program's owner may hold the tokens. It replies
# within a few milliseconds.
OWNER_REPLY_SECONDS = 0.05


class TurnTokens:
    """Reserves and settles the tokens of turns at one host."""

    def __init__(
        self,
        budgets: budget_owners.Budgets,
        store: store_access.Store,
        timers: timers_lib.Timers,
    ) -> None:
        self._budgets = budgets
        self._store = store
        self._timers = timers

    def event_tokens(self, ctx: calls.CallContext) -> int:
        """Returns the number of tokens that a stream event counts as."""
        return 1 if ctx.engine is None else ctx.engine.event_tokens

    def reserve(
        self, ctx: calls.CallContext
    ) -> budget_owners.Reservation | None:
        """Reserves the tokens that a turn may generate.

        Waits for the decision unless the tokens will likely be granted, so
        the reservation may be pending on return.

        Returns:
            The reservation, or None without a program or a budget.

        Raises:
            errors.Refused: the tokens are not granted; the turn has not run.
        """
        call = ctx.call
        if call.budget is None or not call.program:
            return None
        event_tokens = self.event_tokens(ctx)
        # Rounded up to whole events.
        max_tokens = -(-call.max_tokens // event_tokens) * event_tokens
        reservation = self._budgets.begin(
            call.program, call.budget, max_tokens, first=ctx.is_first_turn
        )
        granted = reservation.state is budget_state.State.GRANTED
        if granted or (reservation.likely and not self._store.is_failing()):
            return reservation
        try:
            self.wait(ctx, reservation, RESERVE_TIMEOUT_SECONDS)
        except BaseException:
            self._budgets.end(reservation, 0)
            raise
        return reservation

    def wait(
        self,
        ctx: calls.CallContext,
        reservation: budget_owners.Reservation,
        seconds: float,
    ) -> None:
        """Waits until a reservation is granted.

        Args:
            ctx: the turn.
            reservation: the reservation of the turn.
            seconds: how long to wait at most.

        Raises:
            errors.Refused: the tokens are not granted in time.
        """
        if (
            reservation.state is budget_state.State.PENDING
            and self._store.is_failing()
        ):
            self._timers.wait(
                reservation.decided, min(seconds, OWNER_REPLY_SECONDS)
            )
        if reservation.state is budget_state.State.PENDING:
            outage_seconds = self._store.outage_seconds()
            timeout = calls.store_wait_seconds(ctx, outage_seconds)
            if not ctx.tried and not self._store.wait_until_available(timeout):
                raise calls.store_unavailable(
                    "the budget can't be read now", self._store.outage_seconds()
                )
            if (
                not ctx.tried
                and self._store.is_failing()
                and outage_seconds >= calls.OUTLASTED_SECONDS
            ):
                seconds = min(seconds, OUTAGE_RESERVE_TIMEOUT_SECONDS)
            seconds = min(seconds, ctx.deadline - self._timers.now())
            self._timers.wait(reservation.decided, seconds)
        call = ctx.call
        match reservation.state:
            case budget_state.State.GRANTED:
                return
            case budget_state.State.DENIED if not ctx.tried:
                raise errors.Refused(
                    errors.Code.BUDGET_EXHAUSTED,
                    402,
                    f"program {call.program!r} has spent its budget of "
                    f"{call.budget} tokens",
                )
            case _ if not ctx.tried:
                raise calls.store_unavailable(
                    "the budget can't be written now",
                    self._store.outage_seconds(),
                )
            case _:
                raise errors.Refused(
                    errors.Code.STORE_UNAVAILABLE,
                    502,
                    f"the budget of program {call.program!r} was not "
                    f"reserved: {reservation.state.value}",
                    ran=errors.Ran.YES,
                )

    def surplus(
        self,
        ctx: calls.CallContext,
        reservation: budget_owners.Reservation | None,
        progress: stream_progress.Progress,
        new_events: list[events.Event],
    ) -> int:
        """Returns how many of the last new events a turn has no tokens for.

        Engines stop at the most tokens that the call allows. One that does not
        would spend what other turns of the program have reserved.

        Args:
            ctx: the turn.
            reservation: the reservation of the turn; None for no limit.
            progress: the events that its client has.
            new_events: those that follow, and comments between them.
        """
        if reservation is None or not ctx.call.max_tokens:
            return 0
        left = reservation.max_tokens // self.event_tokens(ctx)
        left -= progress.events_sent
        for place, event in enumerate(new_events):
            left -= not event.is_comment
            if left < 0:
                return len(new_events) - place
        return 0

    def settle(
        self,
        ctx: calls.CallContext,
        reservation: budget_owners.Reservation,
        events: int,
    ) -> None:
        """Settles a turn of which `events` were sent to the client."""
        used = events * self.event_tokens(ctx)
        last_target = ctx.tried[-1] if ctx.tried else ""
        self._budgets.end(reservation, used, last_target)
        eliot.log_message(
            "turn.settled",
            request=ctx.call.id,
            program=ctx.call.program,
            state=reservation.state.value,
            reserved=reservation.max_tokens,
            used=used,
            after_event=ctx.call.last_event,
        )
