"""Chooses the engine for a model call: the owner's own, or another."""

from __future__ import annotations

from collections.abc import Iterator

from endivepier.internal import peers as peers_lib
from endivepier.membership import view as view_lib
from endivepier.scheduling import dispatch
from endivepier.scheduling import work as work_lib
from endivepier.targets import ports as target_ports


class Router:
    """Runs the model calls of the programs that this sidecar owns."""

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        peers: peers_lib.Peers,
        view: view_lib.View,
    ) -> None:
        self._dispatcher = dispatcher
        self._peers = peers
        self._view = view

    def generate(
        self, req: work_lib.Generate
    ) -> Iterator[target_ports.EngineEvent]:
        """Runs the call on the engine of this sidecar.

        Raises:
            errors.Refused: it did not run, or the engine broke off.
        """
        yield from self._dispatcher.generate(req)
