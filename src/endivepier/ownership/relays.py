"""Forwards messages for a process that can't reach their receiver.

Two hosts may be cut off from each other while both can reach a third. A
process that redirects a caller to a shard's owner can reach that owner itself,
so the caller can ask that process to forward the message.
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
    """Message: asks the receiver to forward the message that it contains.

    Attributes:
        address: address of the process to forward to.
        name: name of the message type.
        body: the encoded message.
        seconds: longest wait for a reply, or for each event of a stream.
    """

    address: str
    name: str
    body: pydantic.Base64Bytes
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Relayed:
    """Event: one reply or event from the process that was forwarded to."""

    body: pydantic.Base64Bytes
    kind: Literal["relayed"] = "relayed"


class Relays:
    """Forwards messages for other processes."""

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
        """Forwards the message and yields the replies."""
        return liveness.while_alive(
            self._view, self._timers, req.address, lambda: self._call(req)
        )

    def _call(self, req: Relay) -> Iterator[Relayed]:
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
    """Has `via` forward a message to `address`; yields the replies.

    Args:
        peers: calls other processes.
        via: address of the process that forwards.
        address: address of the receiver.
        message: the message.
        reply: the type of reply, or the union of the event types.
        seconds: longest wait for a reply, or for each event of a stream.

    Raises:
        errors.PeerUnreachable: no reply, or the stream broke off.
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
