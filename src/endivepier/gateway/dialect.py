"""The interface between the gateway and a deployment's HTTP headers.

Deployments differ in header names and formats. The gateway works with the
types of `gateway.model` only; an adapter that implements `Dialect` translates
them to and from HTTP messages.
"""

from __future__ import annotations

from typing import Protocol

from endivepier import errors
from endivepier.gateway import model
from endivepier.http1 import headers as headers_lib
from endivepier.http1 import messages


class Dialect(Protocol):
    """Translates between HTTP messages and `gateway.model`."""

    def decode_call(self, req: messages.Request) -> model.Call:
        """Decodes a client's request.

        Raises:
            errors.Refused: a required header is missing or invalid.
        """

    def decode_caller(
        self, headers: headers_lib.Headers
    ) -> tuple[str, str | None]:
        """Returns the `host` and `key` of a request; see `model.Call`."""

    def encode_request(
        self, call: model.Call, dispatch: model.Dispatch
    ) -> bytes:
        """Encodes the request to a target, head and body."""

    def decode_head(self, head: messages.Head) -> model.Verdict:
        """Decodes what the head of a target's response says about the call."""

    def encode_status_request(self, target: model.Target, path: str) -> bytes:
        """Encodes a request for a target's status, which runs no call.

        Args:
            target: the target that is meant; another one says so.
            path: the `status_path` of its service.
        """

    def decode_status(
        self, head: messages.Head, body: bytes
    ) -> model.TargetStatus:
        """Decodes a response to a request for a target's status."""

    def encode_refusal(
        self, call: model.Call | None, exc: errors.Refused
    ) -> tuple[list[messages.Header], bytes]:
        """Encodes the headers and body of an error response.

        `call` is None if the request could not be decoded.
        """
