"""The port to the deployment's HTTP dialect.

Header names and forms differ between deployments. The request path knows
only the types of `gateway.model`; an adapter translates.
"""

from __future__ import annotations

from typing import Protocol

from endivepier import errors
from endivepier.gateway import model
from endivepier.http1 import messages


class Dialect(Protocol):
    """Translates between HTTP messages and the model."""

    def decode_call(self, req: messages.Request) -> model.Call:
        """Returns the call that a client's request makes.

        Raises:
            errors.Refused: the request lacks what it must have.
        """

    def encode_request(
        self, call: model.Call, dispatch: model.Dispatch
    ) -> bytes:
        """Returns the request for a target, ready to be sent."""

    def decode_head(self, head: messages.Head) -> model.Verdict:
        """Returns what a target's answer says about its call."""

    def encode_refusal(
        self, call: model.Call | None, exc: errors.Refused
    ) -> tuple[list[messages.Header], bytes]:
        """Returns headers and body of an answer of our own."""
