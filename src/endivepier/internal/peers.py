"""Calls between the processes of the system.

A component registers a handler for a message type, which is a data class, with
the `Inbox` of its process. Other processes send such messages to the address
of that process through `Peers`. `endivepier.internal.http_peers` implements
this over HTTP, `endivepier.standins.network` within one process for tests.

A call is sent at most once. If no reply arrives, `errors.PeerUnreachable` says
whether the peer may have acted on the call.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
from typing import Any
from typing import Protocol

from endivepier import errors


class Peers(Protocol):
    """Sends messages to other processes of the system."""

    def call(
        self, address: str, req: Any, reply: type[Any], *, seconds: float
    ) -> Any:
        """Sends `req` and returns the peer's reply, of type `reply`.

        Raises:
            errors.PeerUnreachable: no complete reply arrived.
            errors.Refused: the peer refused.
        """

    def stream(
        self, address: str, req: Any, event: Any, *, seconds: float
    ) -> Iterator[Any]:
        """Sends `req` and yields the events that the peer replies.

        Closing the iterator cancels the call on the peer.

        Args:
            address: "ip:port" of the peer.
            req: the message.
            event: the union of the event types, distinguished by their
                `kind` field.
            seconds: the longest wait for one event.

        Raises:
            errors.PeerUnreachable: the stream is incomplete.
            errors.Refused: the peer refused, before or after some events.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A handler with the types of its messages and replies.

    Attributes:
        request: the type of the message.
        reply: the type of the reply, or the union of the event types.
        handler: called with the message; returns a reply or an iterator of
            events.
        streams: whether the handler returns an iterator of events.
    """

    request: type[Any]
    reply: Any
    handler: Callable[[Any], Any]
    streams: bool


def name_of(request: type[Any]) -> str:
    """Returns the name of a message type on the wire."""
    return request.__name__


class Inbox:
    """The registry of the message handlers of one process."""

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}

    def register(
        self,
        request: type[Any],
        reply: type[Any],
        handler: Callable[[Any], Any],
    ) -> None:
        """Registers a handler that returns one reply."""
        self._add(Endpoint(request, reply, handler, streams=False))

    def register_stream(
        self,
        request: type[Any],
        event: Any,
        handler: Callable[[Any], Iterator[Any]],
    ) -> None:
        """Registers a handler that yields events."""
        self._add(Endpoint(request, event, handler, streams=True))

    def find(self, name: str) -> Endpoint:
        """Returns the endpoint for a message type.

        Raises:
            errors.Refused: `NOT_FOUND`, if this process has no handler for it.
        """
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            raise errors.Refused(
                errors.Code.NOT_FOUND,
                404,
                f"this process can't handle message {name!r}; check its role",
            )
        return endpoint

    def _add(self, endpoint: Endpoint) -> None:
        name = name_of(endpoint.request)
        if name in self._endpoints:
            raise ValueError(f"message {name!r} already has a handler")
        self._endpoints[name] = endpoint
