"""How far an event stream to a client has got."""

from __future__ import annotations

import dataclasses

from endivepier import errors
from endivepier.http1 import messages


@dataclasses.dataclass(slots=True)
class Progress:
    """The state of a stream to a client, across all targets that serve it.

    Attributes:
        started: whether the response head has been sent to the client.
        events_sent: how many events have been sent to the client.
        last_event_id: id of the last event that the client has, be it from
            this call or from an earlier one that this call resumes.
        output: data of the sent events, each followed by a line feed; only
            collected if the turn is to be stored.
        head: the head that the client gets: of the response that brings its
            first event, or ends without any.
    """

    started: bool = False
    events_sent: int = 0
    last_event_id: int | None = None
    output: bytearray = dataclasses.field(default_factory=bytearray)
    head: messages.Head | None = None


class StreamAborted(errors.EndivepierError):
    """Raised when a stream fails after its head was sent to the client.

    The server must close the client's connection without ending the body.
    """
