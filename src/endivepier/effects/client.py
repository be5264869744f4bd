"""Client with which entry hosts and owners call sidecars of plain services.

The owner of a program is the sidecar that handles the program's calls.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Sequence
import dataclasses

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.effects import messages
from endivepier.effects import refusals
from endivepier.internal import peers as peers_lib
from endivepier.membership import members
from endivepier.membership import view as view_lib
from endivepier.ownership import placement

MAX_CANDIDATES = 3


class Client:
    """Sends requests to a sidecar of the pool that serves them."""

    def __init__(
        self,
        view: view_lib.View,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        evacuated: Callable[[], Container[str]] = tuple,
    ) -> None:
        """Makes a client.

        Args:
            view: knows the members of the fleet.
            peers: sends messages to sidecars.
            timers: the timer service.
            evacuated: returns the data centres whose targets get no calls.
        """
        self._evacuated = evacuated
        self._view = view
        self._peers = peers
        self._timers = timers

    def send(
        self, pool: str, req: messages.CallService
    ) -> messages.ServiceAnswer:
        """Sends a request and returns the service's complete answer.

        A non-idempotent request is tried at the next sidecar only if nothing
        of it was sent to the one before.

        Raises:
            errors.Refused: the request failed; `ran` tells if it took effect.
        """
        deadline = self._timers.now() + req.seconds
        ran = errors.Ran.NO
        for member in self._candidates(pool, req):
            remaining = deadline - self._timers.now()
            if remaining <= 0:
                break
            attempt = dataclasses.replace(req, seconds=remaining)
            try:
                answer: messages.ServiceAnswer = self._peers.call(
                    member.address,
                    attempt,
                    messages.ServiceAnswer,
                    seconds=remaining,
                )
            except errors.PeerUnreachable as exc:
                self._view.suspect(exc.address)
                if exc.sent:
                    ran = errors.Ran.UNKNOWN
                if exc.sent and not req.idempotent:
                    break
                continue
            return answer
        raise _no_response(ran)

    def ask_target(
        self, target: str, req: messages.AskTarget, *, seconds: float
    ) -> messages.Outcome:
        """Has the sidecar beside a target query the target for an outcome.

        Raises:
            errors.Refused: the sidecar did not respond, or could not
                determine the outcome.
        """
        for member in self._view.reachable_members():
            if member.target == target:
                try:
                    outcome: messages.Outcome = self._peers.call(
                        member.address, req, messages.Outcome, seconds=seconds
                    )
                except errors.PeerUnreachable:
                    break
                return outcome
        raise refusals.outcome_unknown(
            f"no sidecar of target {target!r} responds"
        )

    def _candidates(
        self, pool: str, req: messages.CallService
    ) -> Sequence[members.Member]:
        evacuated = self._evacuated()
        ready = [
            member
            for member in self._view.ready("sidecar", pool)
            if member.data_centre not in evacuated
        ]
        if not ready:
            raise errors.Refused(
                errors.Code.NOT_READY,
                503,
                f"no target of pool {pool!r} is ready; retry later",
                retry_after=refusals.RETRY_AFTER_SECONDS,
            )
        name = req.program_id or req.idempotency_key or req.path
        return placement.ranked(name, ready)[:MAX_CANDIDATES]


def _no_response(ran: errors.Ran) -> errors.Refused:
    return errors.Refused(
        errors.Code.TARGET_FAILED,
        502,
        "the service's sidecar did not respond",
        ran=ran,
        retry_after=refusals.RETRY_AFTER_SECONDS,
    )
