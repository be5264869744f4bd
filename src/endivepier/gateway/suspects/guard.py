"""Keeps requests that end their targets from ending more of them.

A request that was at a target when it ended goes on at a target that its
content selects, so that those that were there together part. One that was at
two such targets runs only in turn (see `suspects.trials`), where the fewest
calls run, and not at the last target of its service. One that has ended three
is refused on all hosts; those that only begin like it are tried, a few of them.
"""

from __future__ import annotations

import eliot

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import calls
from endivepier.gateway import model
from endivepier.gateway.choice import placement as placement_lib
from endivepier.gateway.suspects import fingerprints
from endivepier.gateway.suspects import suspects as suspects_lib
from endivepier.gateway.suspects import trials as suspect_trials
from endivepier.gateway.targets import ends as target_ends
from endivepier.internal import rendezvous

ENDS_FOR_TURN = 2  # ended targets after which a request runs only in turn
TURN_WAIT_SECONDS = 1.0  # for a turn; runs take some tenths of a second
TURN_RETRY_SECONDS = 0.5
MIN_TARGETS = 2  # of a service, for a request that may end one of them
ENDED_RETRY_SECONDS = 1.0  # ended targets are back after some seconds
# Unlike 503, it does not ask the client to come back; a status of 4xx would say
# that the request breaks a rule of the interface.
REFUSED_STATUS = 500


class SuspectGuard:
    """Decides on requests that were at targets when these ended.

    Attributes:
        suspects: what is known of them.
    """

    def __init__(
        self,
        suspects: suspects_lib.Suspects,
        trials: suspect_trials.SuspectTrials,
        ends: target_ends.TargetEnds,
        placement: placement_lib.Placement,
        timers: timers_lib.Timers,
    ) -> None:
        self.suspects = suspects
        self._trials = trials
        self._ends = ends
        self._placement = placement
        self._timers = timers

    def begin(self, ctx: calls.CallContext) -> None:
        """Identifies a call by what its client sent.

        Raises:
            errors.Refused: it has ended too many targets.
        """
        ctx.contents = fingerprints.fingerprints(ctx.call, ctx.account)
        self._check(ctx)

    def end(self, ctx: calls.CallContext) -> None:
        """Ends a call, after all of its runs."""
        if ctx.has_turn:
            ctx.has_turn = False
            self._trials.end(ctx.call.id)

    def note_failure(
        self,
        ctx: calls.CallContext,
        target: model.Target,
        exc: errors.TargetFailed,
    ) -> None:
        """Records that a call broke off at a target, if the target has ended.

        Raises:
            errors.Refused: the call has ended too many targets now.
        """
        # A target that is silent may still run the call.
        if not exc.sent or exc.timeout or not self._ends.has_ended(target):
            return
        ctx.may_have_run = True
        self._placement.avoid(target.incarnation, ENDED_RETRY_SECONDS)
        run = suspects_lib.Run(ctx.sent_at, self._timers.now())
        # Requests that begin alike come first: if one of these is refused, that
        # explains the ends for those with the same content.
        for content in reversed(ctx.contents):
            self.suspects.add_end(
                content,
                target.incarnation,
                run,
                suspects_lib.CALL,
                start=ctx.contents[-1],
                request=ctx.call.id,
                account=ctx.account,
            )
        if ctx.has_turn and self.suspects.is_refused(ctx.contents[-1]):
            # It ran alone, so it is at fault itself.
            self.suspects.refuse(ctx.contents[0], request=ctx.call.id)
        self._check(ctx)

    def note_completed(self, ctx: calls.CallContext) -> None:
        """Records that a target completed a call."""
        for content in ctx.contents:
            self.suspects.add_completion(content, self._timers.now())

    def choose(
        self, ctx: calls.CallContext, targets: list[model.Target]
    ) -> model.Target | None:
        """Chooses the target of a suspected call.

        Args:
            ctx: the call.
            targets: the targets that may run it.

        Returns:
            The target; None if the call is not suspected or no target is left.

        Raises:
            errors.Refused: the call may not run now.
        """
        ends = max(self.suspects.ends(content) for content in ctx.contents)
        if not ends or not targets:
            return None
        usable = [t for t in targets if not self._placement.is_avoided(t)]
        if ends < ENDS_FOR_TURN:
            names = [target.name for target in usable or targets]
            chosen = rendezvous.choose(ctx.contents[-1], names)
            return next(t for t in targets if t.name == chosen)
        if len(usable) < MIN_TARGETS:
            raise self._not_now(
                ctx, "too few targets are left", ENDED_RETRY_SECONDS
            )
        self._take_turn(ctx)
        return min(usable, key=self._placement.running)

    def _take_turn(self, ctx: calls.CallContext) -> None:
        if ctx.has_turn:
            return
        seconds = min(TURN_WAIT_SECONDS, ctx.deadline - self._timers.now())
        if not self._trials.begin(ctx.call.id, ctx.contents[-1], seconds):
            raise self._not_now(
                ctx, "another suspected request runs", TURN_RETRY_SECONDS
            )
        ctx.has_turn = True
        # The run that had the turn before may have been the same request's.
        self._check(ctx)

    def _check(self, ctx: calls.CallContext) -> None:
        """Checks that a call has not ended too many targets.

        Raises:
            errors.Refused: it has, and the client must not send it again, or
                only its start is known and it is not its turn to be tried.
        """
        refused = [
            content
            for content in ctx.contents
            if self.suspects.is_refused(content)
        ]
        if not refused:
            return
        if self._is_only_start_known(ctx, refused):
            self._take_trial(ctx, refused[0])
            return
        eliot.log_message(
            "content.turned_away", request=ctx.call.id, content=refused[0]
        )
        raise errors.Refused(
            errors.Code.ENDS_TARGETS,
            REFUSED_STATUS,
            f"{suspects_lib.ENDS_TO_REFUSE} targets ended while they ran "
            "requests with this content; do not send it again",
            ran=errors.Ran.UNKNOWN if ctx.may_have_run else errors.Ran.NO,
        )

    def _is_only_start_known(
        self, ctx: calls.CallContext, refused: list[str]
    ) -> bool:
        """Returns whether the request itself has been at no target's end."""
        whole = ctx.contents[0]
        return whole not in refused and not self.suspects.was_at_end(whole)

    def _take_trial(self, ctx: calls.CallContext, start: str) -> None:
        if ctx.has_turn:
            return
        begun = self._trials.begin_trial(
            ctx.call.id, start, self.suspects.refused_seconds(start)
        )
        if not begun.granted:
            raise self._not_now(
                ctx,
                "another request that begins like it is tried first",
                begun.retry_after,
            )
        ctx.has_turn = True

    def _not_now(
        self, ctx: calls.CallContext, reason: str, retry_after: float
    ) -> errors.Refused:
        return calls.overloaded(
            ctx,
            f"targets ended while they ran this request, and {reason}",
            retry_after=retry_after,
        )
