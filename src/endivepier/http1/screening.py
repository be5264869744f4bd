"""What the head of a request tells about who sends it."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from endivepier.http1 import headers as headers_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Screening:
    """Whose request it is, before its body is read.

    Attributes:
        holder: the client account or host that it belongs to, in whose name
            memory is reserved; empty if the head shows none.
        refusal: status and detail of the response that the request will get
            whatever its body is; None if it may be served.
    """

    holder: str = ""
    refusal: tuple[int, str] | None = None


UNKNOWN = Screening()

# Gets the target and the headers.
Screen = Callable[[bytes, headers_lib.Headers], Screening]


def admit_all(target: bytes, headers: headers_lib.Headers) -> Screening:
    """Screens nothing: nobody is known, and nothing refused."""
    del target, headers
    return UNKNOWN
