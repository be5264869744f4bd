"""Parses responses from the byte stream of one connection, strictly.

The framing determines where a response ends: a length, chunks, or, without
either, the end of the connection. Bytes that follow a complete response belong
to no request; after them, the connection must not be reused.
"""

from __future__ import annotations

import collections
import dataclasses

import httptools

from endivepier.http1 import errors
from endivepier.http1 import framing
from endivepier.http1 import messages

# RFC 9110, section 15: the other codes of three digits are invalid. The parser
# accepts them.
STATUSES = range(100, 600)
NO_BODY_STATUSES = frozenset((204, 304))


@dataclasses.dataclass(frozen=True, slots=True)
class Data:
    """A piece of a body, without transfer coding."""

    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The end of a complete response."""


Part = messages.Head | Data | End


class ResponseReader:
    """Splits the bytes of a connection into parts of responses.

    Attributes:
        parts: parsed parts that `next_part` has not returned yet, in order.
        trailing: whether data followed the response to the last request.
        received: bytes received since the last request was sent.
        error: why no more parts can be parsed, or an empty string.
    """

    def __init__(self) -> None:
        self.parts: collections.deque[Part] = collections.deque()
        self.trailing = False
        self.received = 0
        self.error = ""
        self._framing = framing.FramingCounter()
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[messages.Header] = []
        self._body_pieces: list[bytes] = []
        self._head: messages.Head | None = None
        self._complete_count = 0

    def expect_response(self) -> None:
        """Records that a request was sent, so that a response is expected."""
        self.trailing = False
        self.received = 0
        self._complete_count = 0
        self._framing.reset()

    def feed(self, data: bytes) -> None:
        """Parses received bytes; sets `error` if they are invalid."""
        if self.error:
            return
        self.received += len(data)
        self._framing.add_received(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if self._head is None and self._complete_count:
                self.trailing = True
            self.error = f"not valid HTTP/1.1: {exc}"
        self._flush_body()
        if self._framing.exceeded and not self.error:
            self.error = "its framing is too long"

    def feed_eof(self) -> None:
        """Handles the end of the connection, which may complete a response."""
        head = self._head
        if head is not None and head.until_close and not self.error:
            self._head = None
            self._complete_count += 1
            self.parts.append(End())
        elif not self.error:
            self.error = "the server closed the connection"

    def on_message_begin(self) -> None:
        """Called by the parser."""
        if self._complete_count:
            self.trailing = True
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        if self._head is not None:
            return  # a trailer
        self._framing.add_header()
        if self._framing.exceeded:
            self._headers = []
        else:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        status = self._parser.get_status_code()
        if status not in STATUSES:
            self.error = f"{status:03} is no status code"
        if 100 <= status < 200 or self.error or self._framing.exceeded:
            return
        has_coding = (
            messages.find(self._headers, b"transfer-encoding") is not None
        )
        has_length = messages.find(self._headers, b"content-length") is not None
        until_close = not (
            has_coding or has_length or status in NO_BODY_STATUSES
        )
        self._head = messages.Head(
            status,
            self._headers,
            until_close=until_close,
            keep_alive=not until_close
            and bool(self._parser.should_keep_alive()),
        )
        self.parts.append(self._head)

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        if self.error:
            return
        self._framing.subtract_body(len(data))
        self._body_pieces.append(data)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if self._head is None:
            return
        self._flush_body()
        self._head = None
        self._complete_count += 1
        self._framing.reset()
        self.parts.append(End())

    def _flush_body(self) -> None:
        """Adds what was received of a body as one part, however it is split."""
        if self._body_pieces:
            self.parts.append(Data(b"".join(self._body_pieces)))
            self._body_pieces = []

    def next_part(self) -> Part | None:
        """Returns the next part, or None if more bytes are needed.

        Raises:
            errors.ExchangeBroken: the bytes are invalid, or the connection
                ended within a response.
            errors.LimitExceeded: the framing of the response is too long.
        """
        if self.parts:
            return self.parts.popleft()
        if self._framing.exceeded:
            raise errors.LimitExceeded(
                "framing", self.received, framing.MAX_FRAMING_BYTES
            )
        if self.error:
            raise errors.ExchangeBroken(self.error)
        return None
