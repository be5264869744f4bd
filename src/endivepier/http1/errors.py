"""Errors of HTTP connections, subclasses of those in `endivepier.errors`."""

from __future__ import annotations

from endivepier import errors


class HttpError(errors.EndivepierError):
    """Base class of errors on a connection to a server."""


class ConnectFailed(HttpError):
    """Raised when a connection could not be opened.

    Nothing was sent, so the request may be sent to another server.
    """


class ConnectRefused(ConnectFailed):
    """Raised when nothing listens at an address."""


class ExchangeBroken(HttpError):
    """Raised when a connection broke or the server sent invalid HTTP.

    The request may have taken effect.
    """


class ExchangeTimeout(ExchangeBroken):
    """Raised when sending or receiving timed out.

    The request may have taken effect.
    """


class LimitExceeded(ExchangeBroken):
    """Raised when a server sent more bytes than a limit allows.

    The request may have taken effect.

    Attributes:
        limit: name of the limit: "framing", "body", "event", "comments",
            "output" or "other responses".
        received: bytes received when the limit was found to be exceeded.
    """

    def __init__(self, limit: str, received: int, allowed: int) -> None:
        super().__init__(
            f"the {limit} of the response exceeds {allowed} bytes;"
            f" {received} bytes were received"
        )
        self.limit = limit
        self.received = received


class ClientGone(errors.EndivepierError):
    """Raised in a handler whose client has closed the connection.

    It may be raised in any blocking call, including one that waits for a
    server. It is therefore no `HttpError`, which would count as a failure of
    that server. The handler should stop, since no one reads its response.
    """
