"""Calls between own processes: typed messages, found by the message's type.

A part registers a handler for a data class with the process's `Inbox`; any
other process sends that data class to its address through `Peers`. The HTTP
adapter is `endivepier.internal.http_peers`, the in-process one
`endivepier.standins.network`.

A call is sent at most once. If there is no answer, `errors.PeerUnreachable`
says whether the peer may have acted on it.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
from typing import Any
from typing import Protocol

from endivepier import errors


class Peers(Protocol):
    """The way out, to other processes of the system."""

    def call(
        self, address: str, req: Any, reply: type[Any], *, seconds: float
    ) -> Any:
        """Sends `req` and returns the peer's answer, a `reply`.

        Raises:
            errors.PeerUnreachable: there is no answer.
            errors.Refused: the peer refused.
        """

    def stream(
        self, address: str, req: Any, event: Any, *, seconds: float
    ) -> Iterator[Any]:
        """Sends `req` and yields the peer's events, members of `event`.

        Closing the iterator tells the peer that nobody listens any more.

        Args:
            address: "ip:port" of the peer.
            req: the message.
            event: the union of the event types, told apart by their
                `kind` field.
            seconds: the longest wait for one event.

        Raises:
            errors.PeerUnreachable: the stream broke off.
            errors.Refused: the peer refused, at the start or later.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A handler with the types that it takes and gives.

    Attributes:
        request: the type of message.
        reply: the type of answer, or the union of events of a stream.
        handler: takes the message; returns a reply or an iterator of events.
        streams: whether it returns an iterator.
    """

    request: type[Any]
    reply: Any
    handler: Callable[[Any], Any]
    streams: bool


def name_of(request: type[Any]) -> str:
    """Returns the name of a message type on the wire."""
    return request.__name__


class Inbox:
    """The handlers of one process."""

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}

    def register(
        self,
        request: type[Any],
        reply: type[Any],
        handler: Callable[[Any], Any],
    ) -> None:
        """Has `handler` answer messages of type `request` with a `reply`."""
        self._add(Endpoint(request, reply, handler, streams=False))

    def register_stream(
        self,
        request: type[Any],
        event: Any,
        handler: Callable[[Any], Iterator[Any]],
    ) -> None:
        """Has `handler` answer messages of type `request` with events."""
        self._add(Endpoint(request, event, handler, streams=True))

    def find(self, name: str) -> Endpoint:
        """Returns the endpoint for the message type called `name`.

        Raises:
            errors.Refused: `NOT_FOUND`, if this process has none.
        """
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            raise errors.Refused(
                errors.Code.NOT_FOUND,
                404,
                f"this process takes no message {name!r}; check its role",
            )
        return endpoint

    def _add(self, endpoint: Endpoint) -> None:
        name = name_of(endpoint.request)
        if name in self._endpoints:
            raise ValueError(f"message {name!r} has a handler already")
        self._endpoints[name] = endpoint
