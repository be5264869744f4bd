"""Parses requests from a byte stream, strictly.

`httptools` (llhttp) rejects ambiguous framing: `Content-Length` together with
`Transfer-Encoding`, differing or signed lengths, folded headers, spaces before
a colon, bare CR or LF. This module checks what `httptools` doesn't: `Host`,
the form of the target, repetitions of headers that must be unique, and sizes.
"""

from __future__ import annotations

import collections

import httptools

from endivepier.http1 import framing
from endivepier.http1 import headers as headers_lib
from endivepier.http1 import messages

# Of a head or chunks, parsed at once. What follows a complete request is parsed
# after it, apart from what begins in the same piece.
PIECE_BYTES = 512
LINE_END_BYTES = 3  # of the shortest header line: a colon, CR and LF
PARSED_REQUEST_BYTES = 1024  # of one that begins and ends in a piece

# Headers that must not be repeated, since this server and a target might
# interpret the repetition differently.
UNIQUE_HEADERS = frozenset((b"host", b"content-length", b"authorization"))


class BadRequest(Exception):
    """Raised for a request that is invalid or exceeds a limit.

    Attributes:
        status: status code of the error response.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class RequestReader:
    """Splits the bytes of one connection into requests.

    Attributes:
        limits: the size limits; may be replaced between requests.
        wants_continue: whether the client waits for a `100 Continue` response
            before it sends the body.
        keep_alive: whether the client keeps the connection open after the
            request that `next_request` returned last.
    """

    def __init__(self, limits: messages.ClientLimits) -> None:
        self.limits = limits
        self.wants_continue = False
        self.keep_alive = True
        self._parser = httptools.HttpRequestParser(self)
        self._error: BadRequest | None = None
        self._completed: collections.deque[tuple[messages.Request, bool]] = (
            collections.deque()
        )
        self._started = False
        self._received_bytes = 0
        self._completed_in_piece = False
        self._framing = framing.FramingCounter()
        self._unparsed = b""
        self._builder = headers_lib.HeadersBuilder()
        self._headers: headers_lib.Headers | None
        self._body_length: int | None
        self._reset()

    def feed(self, data: bytes) -> None:
        """Adds received bytes, and parses them up to the end of a request.

        Raises:
            BadRequest: the bytes are no acceptable request. The connection
                must be closed after the error response.
        """
        self._unparsed += data
        self._parse_unparsed()

    def _parse_unparsed(self) -> None:
        """Parses until a request is complete or bytes are missing."""
        data, start = self._unparsed, 0
        try:
            while start < len(data) and not self._completed:
                end = start + max(PIECE_BYTES, self._missing_body_bytes)
                self._parse(data[start:end])
                start = end
        except BadRequest as exc:
            # Complete requests before the bad one are served first.
            self._error = exc
            start = len(data)
            if not self._completed:
                raise
        finally:
            self._unparsed = data[start:]

    def _parse(self, piece: bytes) -> None:
        self._started = True
        self._completed_in_piece = False
        self._framing.add_received(len(piece))
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade as exc:
            raise BadRequest(
                400, "protocol upgrades are not supported"
            ) from exc
        except httptools.HttpParserCallbackError as exc:
            cause = exc.__context__
            if isinstance(cause, BadRequest):
                raise cause from None
            raise
        except httptools.HttpParserError as exc:
            raise BadRequest(400, f"not valid HTTP/1.1: {exc}") from exc
        if self._completed_in_piece:
            return  # an unknown part of the bytes belongs to former requests
        if not self.headers_complete:
            self._received_bytes += len(piece)
            self._check_header_bytes()
        if self._framing.exceeded:
            raise BadRequest(
                431,
                "the headers, chunk sizes, chunk extensions and trailers exceed"
                f" {framing.MAX_FRAMING_BYTES} bytes",
            )

    def next_request(self) -> messages.Request | None:
        """Returns the next complete request, or None if bytes are missing.

        Raises:
            BadRequest: the next request is not acceptable.
        """
        if not self._completed and self._error is not None:
            raise self._error
        self._parse_unparsed()
        if not self._completed:
            return None
        req, self.keep_alive = self._completed.popleft()
        return req

    def clear(self) -> None:
        """Drops what was received; the reader can't be used any more."""
        self._completed.clear()
        self._error = None
        self._unparsed = b""
        self._reset()

    @property
    def held_bytes(self) -> int:
        """Bytes that are held of requests, apart from the current body."""
        headers = self._builder if self._headers is None else self._headers
        return (
            headers.size
            + len(self._target)
            + len(self._unparsed)
            + sum(
                PARSED_REQUEST_BYTES + len(req.body)
                for req, _ in self._completed
            )
        )

    @property
    def unparsed_lines(self) -> int:
        """How many lines of received bytes have not been parsed yet."""
        return self._unparsed.count(b"\n")

    @property
    def started(self) -> bool:
        """Whether a part of the next request has been received."""
        return self._started or bool(self._unparsed)

    @property
    def headers(self) -> headers_lib.Headers | None:
        """Headers of the current request, once they are complete."""
        return self._headers

    @property
    def target(self) -> bytes:
        """The target of the current request, once its headers are complete."""
        return bytes(self._target)

    @property
    def headers_complete(self) -> bool:
        """Whether the headers of the current request are complete."""
        return self._headers is not None

    @property
    def body_received(self) -> int:
        """Bytes of the current request's body received so far."""
        return len(self._body)

    @property
    def body_length(self) -> int | None:
        """Declared length of the current request's body, or None."""
        return self._body_length

    @property
    def _missing_body_bytes(self) -> int:
        """Bytes that the current body still lacks; 0 if that is unknown."""
        if self._body_length is None:
            return 0
        return self._body_length - len(self._body)

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._reset()
        self._started = True

    def on_url(self, url: bytes) -> None:
        """Called by the parser for each piece of the request target."""
        self._target += url
        self._check_header_bytes()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header or trailer; ignores trailers."""
        if self.headers_complete:
            return
        self._builder.append(name, value)
        self._header_bytes += len(name) + len(value) + LINE_END_BYTES
        self._check_header_bytes()

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self._headers = self._builder.build()
        self._builder = headers_lib.HeadersBuilder()
        self._check_headers(self._headers)
        expect = self._headers.find(b"expect")
        self.wants_continue = (
            expect is not None and expect.lower() == b"100-continue"
        )

    def on_body(self, data: bytes) -> None:
        """Called by the parser for each piece of the body."""
        self._framing.subtract_body(len(data))
        self._body += data
        if len(self._body) > self.limits.body_bytes:
            raise BadRequest(
                413, f"the body exceeds {self.limits.body_bytes} bytes"
            )

    def on_message_complete(self) -> None:
        """Called by the parser."""
        req = messages.Request(
            method=self._parser.get_method(),
            target=self.target,
            headers=self._headers or headers_lib.Headers(),
            body=bytes(self._body),
        )
        self._completed.append((req, bool(self._parser.should_keep_alive())))
        self._reset()
        self._framing.reset()
        self._started = False
        self._completed_in_piece = True

    def _reset(self) -> None:
        self._target = bytearray()
        self._builder = headers_lib.HeadersBuilder()
        self._headers = None
        self._body = bytearray()
        self._body_length = None
        self._header_bytes = 0
        self._received_bytes = 0
        self.wants_continue = False

    def _check_header_bytes(self) -> None:
        size = self._header_bytes + len(self._target)
        if not self.headers_complete:
            size = max(size, self._received_bytes)
        if size > self.limits.header_bytes:
            raise BadRequest(
                431, f"the headers exceed {self.limits.header_bytes} bytes"
            )

    def _check_headers(self, headers: headers_lib.Headers) -> None:
        for name in UNIQUE_HEADERS:
            count = headers.count(name)
            if count > 1:
                raise BadRequest(
                    400, f"header {name.decode()!r} occurs {count} times"
                )
        host = headers.find(b"host")
        if host is None or not host.strip():
            raise BadRequest(400, "header 'host' is missing")
        if not self._target.startswith(b"/"):
            raise BadRequest(400, "the request target must begin with a slash")
        length = headers.find(b"content-length")
        if length is None:
            return
        self._body_length = int(length)
        if self._body_length > self.limits.body_bytes:
            raise BadRequest(
                413, f"the body exceeds {self.limits.body_bytes} bytes"
            )
