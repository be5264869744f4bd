"""Errors of HTTP exchanges; a branch of the tree of `endivepier.errors`."""

from __future__ import annotations

from endivepier import errors


class HttpError(errors.EndivepierError):
    """Base of this module's errors. Catch it to catch all of them."""


class ConnectFailed(HttpError):
    """Raised when no connection was made. Nothing was sent; try elsewhere."""


class ExchangeBroken(HttpError):
    """Raised when a connection broke or carried no valid HTTP.

    The request may have had its effect.
    """


class ExchangeTimeout(ExchangeBroken):
    """Raised when nothing came in time. The request may have had its effect."""


class ClientGone(errors.EndivepierError):
    """Raised in a handler whose client has closed the connection.

    It may be raised inside any wait, also one for a server; so it is no
    `HttpError`, which would be taken for a fault of that server. Stop the
    work; nobody reads an answer.
    """
