"""Reads requests from a byte stream, strictly.

`httptools` (llhttp) refuses ambiguous framing: both lengths, differing or
signed lengths, folded headers, spaces before a colon, bare CR or LF. What it
leaves to its user is checked here: `Host`, the form of the target, repeated
headers that must be single, and the sizes.
"""

from __future__ import annotations

import collections

import httptools

from endivepier.http1 import messages

# Repeating one of these could mean one thing here and another at a target.
SINGLE = frozenset((b"host", b"content-length", b"authorization"))


class BadRequest(Exception):
    """Raised for bytes that are no acceptable request.

    Attributes:
        status: the status code that tells the client why.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class RequestReader:
    """Collects whole requests out of the bytes of one connection.

    Attributes:
        wants_continue: whether the client waits for leave to send its body.
        keep_alive: whether the client keeps the connection after the last
            request that was returned by `take`.
    """

    def __init__(self, limits: messages.ClientLimits) -> None:
        self.limits = limits
        self.wants_continue = False
        self.keep_alive = True
        self._parser = httptools.HttpRequestParser(self)
        self._failed: BadRequest | None = None
        self._ready: collections.deque[tuple[messages.Request, bool]] = (
            collections.deque()
        )
        self._begun = False
        self._headers_done = False
        self._size = 0
        self._start()

    def feed(self, data: bytes) -> None:
        """Takes bytes of the connection.

        Raises:
            BadRequest: the bytes are no acceptable request; close the
                connection after the answer.
        """
        self._begun = True
        try:
            self._parse(data)
        except BadRequest as exc:
            # Whole requests before the bad one are answered first.
            self._failed = exc
            if not self._ready:
                raise

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise BadRequest(400, "an upgrade is not supported") from exc
        except httptools.HttpParserCallbackError as exc:
            cause = exc.__context__
            if isinstance(cause, BadRequest):
                raise cause from None
            raise
        except httptools.HttpParserError as exc:
            raise BadRequest(400, f"not valid HTTP/1.1: {exc}") from exc
        if not self._headers_done and self._begun:
            self._size += len(data)
            self._check_header_size()

    def next_request(self) -> messages.Request | None:
        """Returns the next whole request, or None if more bytes are needed.

        Raises:
            BadRequest: what follows is no request.
        """
        if not self._ready:
            if self._failed is not None:
                raise self._failed
            return None
        req, self.keep_alive = self._ready.popleft()
        return req

    @property
    def started(self) -> bool:
        """Whether a part of a request has been read."""
        return self._begun

    @property
    def headers_complete(self) -> bool:
        """Whether the headers of the current request are complete."""
        return self._headers_done

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._start()
        self._begun = True

    def on_url(self, url: bytes) -> None:
        """Called by the parser, with pieces of the target."""
        self._target += url
        self._check_header_size()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser, once for each header or trailer."""
        if self._headers_done:
            return
        self._headers.append((name, value))
        self._header_size += len(name) + len(value) + 4
        self._check_header_size()

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self._headers_done = True
        self._check_headers()
        expects = messages.find(self._headers, b"expect")
        self.wants_continue = (
            expects is not None and expects.lower() == b"100-continue"
        )

    def on_body(self, data: bytes) -> None:
        """Called by the parser, with pieces of the body."""
        self._body += data
        if len(self._body) > self.limits.body_bytes:
            raise BadRequest(
                413, f"the body is over {self.limits.body_bytes} bytes"
            )

    def on_message_complete(self) -> None:
        """Called by the parser."""
        req = messages.Request(
            method=self._parser.get_method(),
            target=bytes(self._target),
            headers=self._headers,
            body=bytes(self._body),
        )
        self._ready.append((req, bool(self._parser.should_keep_alive())))
        self._start()
        self._begun = False

    def _start(self) -> None:
        self._target = bytearray()
        self._headers: list[messages.Header] = []
        self._body = bytearray()
        self._headers_done = False
        self._header_size = 0
        self._size = 0
        self.wants_continue = False

    def _check_header_size(self) -> None:
        size = self._header_size + len(self._target)
        if not self._headers_done:
            size = max(size, self._size)
        if size > self.limits.header_bytes:
            raise BadRequest(
                431, f"the headers are over {self.limits.header_bytes} bytes"
            )

    def _check_headers(self) -> None:
        counts = collections.Counter(name.lower() for name, _ in self._headers)
        for name in SINGLE:
            if counts[name] > 1:
                raise BadRequest(
                    400, f"header {name.decode()!r} came {counts[name]} times"
                )
        host = messages.find(self._headers, b"host")
        if host is None or not host.strip():
            raise BadRequest(400, "header 'host' is missing")
        if not self._target.startswith(b"/"):
            raise BadRequest(400, "the target must begin with a slash")
        length = messages.find(self._headers, b"content-length")
        if length is not None and int(length) > self.limits.body_bytes:
            raise BadRequest(
                413, f"the body is over {self.limits.body_bytes} bytes"
            )
