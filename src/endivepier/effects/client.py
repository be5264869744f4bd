"""The way from entry hosts and owners to the sidecars of plain services."""

from __future__ import annotations

from typing import Any

from endivepier import errors
from endivepier.effects import messages
from endivepier.internal import peers as peers_lib
from endivepier.membership import view as view_lib
from endivepier.ownership import placement

RETRY_SECONDS = 0.5


class Client:
    """Carries requests to a sidecar of the pool that serves them."""

    def __init__(self, view: view_lib.View, peers: peers_lib.Peers) -> None:
        self._view = view
        self._peers = peers

    def send(
        self, pool: str, req: messages.CallService
    ) -> messages.ServiceAnswer:
        """Sends a request once and returns the service's whole answer.

        Raises:
            errors.Refused: with the truth about whether it ran.
        """
        name = req.program_id or req.idempotency_key or req.path
        answer: messages.ServiceAnswer = self._call(
            pool, name, req, messages.ServiceAnswer, req.seconds
        )
        return answer

    def look_up(
        self, pool: str, req: messages.LookUp, *, seconds: float
    ) -> messages.Outcome:
        """Returns what is known of a non-idempotent request.

        Raises:
            errors.Refused: nothing could be learnt now.
        """
        outcome: messages.Outcome = self._call(
            pool, req.idempotency_key, req, messages.Outcome, seconds
        )
        return outcome

    def _call(
        self,
        pool: str,
        name: str,
        message: messages.CallService | messages.LookUp,
        reply: type[Any],
        seconds: float,
    ) -> Any:
        candidates = self._view.ready("sidecar", pool)
        order = placement.ranked(name, candidates)
        if not order:
            raise errors.Refused(
                errors.Code.NOT_READY,
                503,
                f"no target of pool {pool!r} is ready; retry later",
                retry_after=RETRY_SECONDS,
            )
        try:
            return self._peers.call(
                order[0].address, message, reply, seconds=seconds
            )
        except errors.PeerUnreachable as exc:
            self._view.suspect(exc.address)
            raise errors.Refused(
                errors.Code.TARGET_FAILED,
                502,
                "the service's sidecar gave no answer",
                ran=errors.Ran.UNKNOWN if exc.sent else errors.Ran.NO,
                retry_after=RETRY_SECONDS,
            ) from None
