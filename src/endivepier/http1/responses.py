"""Reads answers from the byte stream of one connection, strictly.

An answer is whole when its framing says so: a length, chunks, or, for one
without either, the orderly end of the connection. Bytes that follow a whole
answer belong to no request; the connection is then not used again.
"""

from __future__ import annotations

import collections
import dataclasses

import httptools

from endivepier.http1 import errors
from endivepier.http1 import messages

NO_BODY = frozenset((204, 304))


@dataclasses.dataclass(frozen=True, slots=True)
class Data:
    """A piece of a body, without its framing."""

    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The end of a whole answer."""


Part = messages.Head | Data | End


class ResponseReader:
    """Splits a connection's bytes into parts of answers.

    Attributes:
        parts: what was read and not yet taken, in order.
        trailing: whether something came after a whole answer.
        broken: what was wrong with the bytes, or an empty text.
    """

    def __init__(self) -> None:
        self.parts: collections.deque[Part] = collections.deque()
        self.trailing = False
        self.error = ""
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[messages.Header] = []
        self._head: messages.Head | None = None
        self._whole = 0

    def expect_response(self) -> None:
        """Notes that a request was sent, so that another answer is due."""
        self.trailing = False
        self._whole = 0

    def feed(self, data: bytes) -> None:
        """Takes bytes of the connection; never raises for what they hold."""
        if self.error:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if self._head is None and self._whole:
                self.trailing = True
            self.error = f"not valid HTTP/1.1: {exc}"

    def feed_eof(self) -> None:
        """Takes the orderly end of the connection."""
        head = self._head
        if head is not None and head.until_close and not self.error:
            self._head = None
            self._whole += 1
            self.parts.append(End())
        elif not self.error:
            self.error = "the connection ended"

    def on_message_begin(self) -> None:
        """Called by the parser."""
        if self._whole:
            self.trailing = True
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        if self._head is None:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            return
        coded = messages.find(self._headers, b"transfer-encoding") is not None
        length = messages.find(self._headers, b"content-length") is not None
        until_close = not (coded or length or status in NO_BODY)
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
        self.parts.append(Data(data))

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if self._head is None:
            return
        self._head = None
        self._whole += 1
        self.parts.append(End())

    def next_part(self) -> Part | None:
        """Returns the next part, or None if more bytes are needed.

        Raises:
            errors.ExchangeBroken: no further part can come.
        """
        if self.parts:
            return self.parts.popleft()
        if self.error:
            raise errors.ExchangeBroken(self.error)
        return None
