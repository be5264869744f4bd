"""Chooses the next target of a call, among those that may run it now."""

from __future__ import annotations

import math

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import calls
from endivepier.gateway import exchange as exchange_lib
from endivepier.gateway import model
from endivepier.gateway.choice import homes as homes_lib
from endivepier.gateway.suspects import guard as suspect_guard
from endivepier.gateway.targets import catalog as catalog_lib
from endivepier.gateway.targets import messages as rate_messages
from endivepier.gateway.targets import tokens as rate_tokens_lib

# How long a call waits for a token if all targets limit their rate.
TOKEN_WAIT_SECONDS = 0.25
BROKEN_OFF_TOKEN_WAIT_SECONDS = 1.0  # clients give up after two of silence
EVACUATED_RETRY_SECONDS = 2.0  # evacuations last for seconds or longer
MIN_TOKEN_WAIT_SECONDS = 0.005  # a wait rounded to 0 would be a busy loop


class TargetChoice:
    """Chooses targets by their cost, their limits and the call's history."""

    def __init__(
        self,
        catalog: catalog_lib.Catalog,
        dispatcher: exchange_lib.Dispatcher,
        guard: suspect_guard.SuspectGuard,
        homes: homes_lib.Homes,
        timers: timers_lib.Timers,
    ) -> None:
        self._catalog = catalog
        self._homes = homes
        self._placement = dispatcher.placement
        self._rate_tokens = dispatcher.rate_tokens
        self._guard = guard
        self._timers = timers

    def next(self, ctx: calls.CallContext) -> model.Target:
        """Chooses the next target to send a call to.

        Waits for a token if all targets limit their rate and one is due soon.

        Raises:
            errors.Refused: the deadline is too close or no target accepts the
                call.
        """
        wait_until = self._timers.now() + _token_wait_seconds(ctx)
        while True:
            patience = min(wait_until, ctx.deadline) - self._timers.now()
            choice = self._choose(ctx, patience)
            if isinstance(choice, model.Target):
                return choice
            if choice.wait > patience:
                raise calls.overloaded(
                    ctx,
                    "the targets limit the rate of calls",
                    retry_after=max(
                        choice.retry_after, calls.FULL_RETRY_SECONDS
                    ),
                )
            self._timers.sleep(max(choice.wait, MIN_TOKEN_WAIT_SECONDS))

    def targets(self, ctx: calls.CallContext) -> list[model.Target]:
        """Returns the targets that may run a call, tried ones included."""
        return self._homes.targets(
            self._catalog.targets(ctx.service, ctx.software_version), ctx.homes
        )

    def has_other(self, ctx: calls.CallContext) -> bool:
        """Returns whether there is a target that a call was not sent to."""
        excluded = ctx.unreachable | set(ctx.tried)
        return any(
            target.incarnation not in excluded for target in self.targets(ctx)
        )

    def _choose(
        self, ctx: calls.CallContext, patience: float
    ) -> model.Target | rate_tokens_lib.Refusal:
        """Chooses the best target that has a token for the call, if needed.

        Args:
            ctx: the call.
            patience: seconds that the call may wait for a token.

        Returns:
            The target, or the refusal to wait for: the one that ends first if
            no other target is left, or if waiting costs less than to use
            another one.

        Raises:
            errors.Refused: the deadline is too close or no target accepts the
                call.
        """
        if ctx.deadline - self._timers.now() <= calls.MIN_REMAINING_SECONDS:
            raise errors.Refused(
                errors.Code.DEADLINE_EXCEEDED,
                503,
                "the call's deadline has passed or is too close",
            )
        targets = self.targets(ctx)
        excluded = ctx.unreachable | set(ctx.tried)
        refusals = []
        cost_of_waiting = math.inf
        while True:
            target = self._best(ctx, targets, excluded)
            if target is None:
                break
            cost = self._placement.cost(
                ctx.call, target, ctx.engine, ctx.last_target
            )
            if cost_of_waiting < cost:
                break
            refusal = self._rate_tokens.take(target, _claim(ctx, target))
            if refusal is None:
                return target
            refusals.append(refusal)
            excluded.add(target.incarnation)
            if refusal.wait <= patience:
                cost_of_waiting = min(cost_of_waiting, cost + refusal.wait)
        if not targets and self._catalog.evacuations:
            raise calls.overloaded(
                ctx,
                "no target outside the evacuated data centres "
                f"{sorted(self._catalog.evacuations.data_centres)}",
                retry_after=EVACUATED_RETRY_SECONDS,
            )
        if not refusals:
            version = ctx.software_version
            suffix = "" if version is None else f" of version {version!r}"
            if ctx.homes is not None:
                suffix += f" in the home regions {sorted(ctx.homes)}"
            raise calls.overloaded(
                ctx, f"{len(targets)} targets{suffix}, none accepts the call"
            )
        return min(refusals, key=lambda refusal: refusal.wait)

    def _best(
        self,
        ctx: calls.CallContext,
        targets: list[model.Target],
        excluded: set[str],
    ) -> model.Target | None:
        left = [t for t in targets if t.incarnation not in excluded]
        target = self._guard.choose(ctx, left)
        if target is not None:
            return target
        return self._placement.choose(
            ctx.call, targets, ctx.engine, excluded, ctx.last_target
        )


def _token_wait_seconds(ctx: calls.CallContext) -> float:
    """Returns how long a call may wait for a token of a target.

    A program that has not begun loses least if it comes back later; a stream
    that a target has broken off loses most.
    """
    if ctx.tried:
        return BROKEN_OFF_TOKEN_WAIT_SECONDS
    return 0.0 if ctx.is_first_turn else TOKEN_WAIT_SECONDS


def _claim(ctx: calls.CallContext, target: model.Target) -> rate_messages.Claim:
    """Returns the claim of a call to a target's tokens."""
    if ctx.is_first_turn:
        return rate_messages.Claim.BEGINS
    if ctx.last_target and ctx.last_target != target.incarnation:
        return rate_messages.Claim.MOVES
    return rate_messages.Claim.STAYS
