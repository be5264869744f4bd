"""Identifies requests with the same content.

Each attempt of a client has its own id, so the id does not show that a request
comes again.
"""

from __future__ import annotations

import hashlib

from endivepier.gateway import model

DIGEST_BYTES = 10
MAX_CHARACTERS = 64  # of a digest that another host sends
# Bodies that begin alike may differ in what follows, as a prompt that has grown
# since the last attempt.
START_BYTES = 64
# Begins the digest of a start, so that it differs from that of a whole body.
START_MARK = "s"


def fingerprints(call: model.Call, account: str) -> tuple[str, ...]:
    """Returns digests of what a client sent, in hexadecimal.

    Earlier turns don't count: the same input may follow several of them.

    The first one is the same for requests with the same content, the second
    one also for those whose bodies only begin alike. It is left out if the
    body is so short that it is the same.

    Args:
        call: the call, of which method, path, `Host` and body count.
        account: name of the client account, or empty.
    """
    whole = _digest(call, account, call.body)
    if len(call.body) <= START_BYTES:
        return (whole,)
    start = _digest(call, account, call.body[:START_BYTES])
    return whole, START_MARK + start


def is_start(content: str) -> bool:
    """Returns whether a digest is that of the start of a body."""
    return content.startswith(START_MARK)


def check(content: str) -> None:
    """Checks a digest that another host sent.

    Raises:
        ValueError: it is longer than a digest.
    """
    if len(content) > MAX_CHARACTERS:
        raise ValueError(
            f"{content!r} has more than {MAX_CHARACTERS} characters"
        )


def _digest(call: model.Call, account: str, content: bytes) -> str:
    digest = hashlib.blake2b(content, digest_size=DIGEST_BYTES)
    for part in (
        call.method,
        call.host.encode(),
        call.path,
        account.encode(),
    ):
        digest.update(b"\n%d\n" % len(part) + part)
    return digest.hexdigest()
