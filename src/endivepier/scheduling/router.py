"""Chooses the engine for a model call: the owner's own, or another."""

from __future__ import annotations

from collections.abc import Iterator
import random

from endivepier import errors
from endivepier.internal import peers as peers_lib
from endivepier.membership import members
from endivepier.membership import view as view_lib
from endivepier.scheduling import dispatch
from endivepier.scheduling import policies
from endivepier.scheduling import work as work_lib
from endivepier.targets import ports as target_ports

EVENT_SECONDS = 60.0


class Router:
    """Runs the model calls of the programs that this sidecar owns."""

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        peers: peers_lib.Peers,
        view: view_lib.View,
        *,
        policy: policies.RoutePolicy | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Makes a router.

        Args:
            dispatcher: the way to the engine beside this sidecar.
            peers: the way to other sidecars.
            view: which of them are there.
            policy: how to choose; the owner's engine if None.
            rng: the source of random numbers.
        """
        self._dispatcher = dispatcher
        self._peers = peers
        self._view = view
        self._policy = policy or policies.OwnerOnly()
        self._rng = rng or random.Random(0)

    def generate(
        self, req: work_lib.Generate
    ) -> Iterator[target_ports.EngineEvent]:
        """Runs the call on the engine that the policy chooses.

        Raises:
            errors.Refused: it did not run, or the engine broke off.
        """
        me = self._view.myself()
        match self._policy:
            case policies.RandomRoute():
                others = self._view.ready("sidecar", me.pool)
                chosen = self._rng.choice(others) if others else me
            case policies.OwnerOnly():
                chosen = me
        if chosen.address == me.address:
            yield from self._dispatcher.generate(req)
        else:
            yield from self._remote(chosen, req)

    def _remote(
        self, member: members.Member, req: work_lib.Generate
    ) -> Iterator[target_ports.EngineEvent]:
        try:
            yield from self._peers.stream(
                member.address,
                req,
                target_ports.EngineEvent,
                seconds=req.work.seconds,
            )
        except errors.PeerUnreachable as exc:
            self._view.suspect(member.address)
            raise errors.Refused(
                errors.Code.TARGET_FAILED,
                502,
                str(exc),
                ran=errors.Ran.UNKNOWN if exc.sent else errors.Ran.NO,
                retry_after=1.0,
            ) from None
