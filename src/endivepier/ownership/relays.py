"""Messages carried on for a process that can't reach their receiver.

Two hosts may be cut off from each other while both reach a third. Whoever
redirects a process to an owner can reach that owner, and is asked to carry
the message on.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
from typing import Any
from typing import Literal

import pydantic

from endivepier import timers as timers_lib
from endivepier.internal import codec
from endivepier.internal import peers as peers_lib
from endivepier.membership import liveness
from endivepier.membership import view as view_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Message: carry this on.

    Attributes:
        address: the receiver.
        name: name of the message type.
        body: the message.
        seconds: how long to wait for the answer.
    """

    address: str
    name: str
    body: pydantic.Base64Bytes
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Relayed:
    """Event: one answer of the receiver."""

    body: pydantic.Base64Bytes
    kind: Literal["relayed"] = "relayed"


class Relays:
    """Carries messages on for others."""

    def __init__(
        self,
        inbox: peers_lib.Inbox,
        peers: peers_lib.Peers,
        view: view_lib.View,
        timers: timers_lib.Timers,
    ) -> None:
        self._inbox = inbox
        self._peers = peers
        self._view = view
        self._timers = timers
        inbox.register_stream(Relay, Relayed, self.forward)

    def forward(self, req: Relay) -> Iterator[Relayed]:
        """Sends the message on and yields what comes back."""
        return liveness.while_alive(
            self._view, self._timers, req.address, lambda: self._ask(req)
        )

    def _ask(self, req: Relay) -> Iterator[Relayed]:
        endpoint = self._inbox.find(req.name)
        message = codec.decode(endpoint.request, req.body)
        if not endpoint.streams:
            answer = self._peers.call(
                req.address, message, endpoint.reply, seconds=req.seconds
            )
            yield Relayed(codec.encode(answer))
            return
        for event in self._peers.stream(
            req.address, message, endpoint.reply, seconds=req.seconds
        ):
            yield Relayed(codec.encode(event, endpoint.reply))


def send(
    peers: peers_lib.Peers,
    via: str,
    address: str,
    message: Any,
    reply: Any,
    seconds: float,
) -> Iterator[Any]:
    """Has `via` carry a message to `address`; yields the answers.

    Raises:
        errors.PeerUnreachable: the answer is not whole.
        errors.Refused: the receiver refused.
    """
    relay = Relay(
        address,
        peers_lib.name_of(type(message)),
        codec.encode(message),
        seconds,
    )
    for item in peers.stream(via, relay, Relayed, seconds=seconds):
        yield codec.decode(reply, item.body)
