"""Limits the memory for message bodies that are held as a whole.

All bodies of a kind, such as those of targets' responses, share one `Buffers`.
A body reserves its space before it is read; until there is space, its bytes
stay in the socket, which slows the peer down.

Two separate pools prevent a deadlock between bodies that are partly read:

* Every body first reserves its declared length, but at most
  `SMALL_BODY_BYTES`, from the pool for small bodies.
* A larger one then reserves all the space that it may need from the pool for
  large bodies, at once. So a body that holds space there never waits.
"""

from __future__ import annotations

import collections
import dataclasses

import gevent.event

SMALL_BODY_BYTES = 16 * 1024
# A host of 128 MB holds about 50 MB of code and state.
SMALL_POOL_BYTES = 4 * 1024 * 1024
LARGE_POOL_BYTES = 8 * 1024 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    peer: str
    size: int
    granted: gevent.event.Event = dataclasses.field(
        default_factory=gevent.event.Event
    )


class _Pool:
    """A number of bytes that tasks reserve, in order of arrival."""

    def __init__(self, total: int, per_peer: int) -> None:
        self.available = total
        self._total = total
        self._per_peer = per_peer
        self._held: collections.Counter[str] = collections.Counter()
        self._waiters: list[_Waiter] = []

    def reserve(self, peer: str, size: int, seconds: float) -> int:
        """Returns the reserved size, or 0 if none was free in time."""
        waiter = _Waiter(peer, min(size, self._per_peer))
        self._waiters.append(waiter)
        self._grant()
        if waiter.granted.is_set():
            return waiter.size
        try:
            if waiter.granted.wait(seconds):
                return waiter.size
        except BaseException:
            if waiter.granted.is_set():
                self.release(peer, waiter.size)
            else:
                self._waiters.remove(waiter)
            raise
        self._waiters.remove(waiter)
        self._grant()
        return 0

    def release(self, peer: str, size: int) -> None:
        self.available += size
        self._held[peer] -= size
        if not self._held[peer]:
            del self._held[peer]
        self._grant()

    def _grant(self) -> None:
        """Grants waiting reservations; one peer's limit delays no other."""
        waiting = []
        exhausted = False
        for waiter in self._waiters:
            held = self._held[waiter.peer] + waiter.size
            if held > self._per_peer:
                waiting.append(waiter)
            elif exhausted or waiter.size > self.available:
                exhausted = True  # later ones must not overtake this one
                waiting.append(waiter)
            else:
                self.available -= waiter.size
                self._held[waiter.peer] += waiter.size
                waiter.granted.set()
        self._waiters = waiting


class Buffers:
    """The memory for bodies of one kind.

    Attributes:
        body_bytes: the largest body.
    """

    def __init__(
        self,
        *,
        body_bytes: int = MAX_BODY_BYTES,
        small_bytes: int = SMALL_POOL_BYTES,
        large_bytes: int = LARGE_POOL_BYTES,
    ) -> None:
        """Creates empty pools.

        Args:
            body_bytes: the largest body.
            small_bytes: size of the pool for small bodies.
            large_bytes: size of the pool for large bodies, at least
                `body_bytes`.
        """
        self.body_bytes = body_bytes
        # A peer that floods or stalls must leave space for the others.
        self._small = _Pool(small_bytes, small_bytes // 2)
        self._large = _Pool(large_bytes, max(large_bytes // 2, body_bytes))

    @property
    def available(self) -> int:
        """Bytes that are not reserved, in both pools."""
        return self._small.available + self._large.available

    def open(self, peer: str) -> Body:
        """Returns an empty body that is received from `peer`."""
        return Body(self, self._small, self._large, peer)


class Body:
    """A body that is being received or still needed, and its reservation."""

    def __init__(
        self, buffers: Buffers, small: _Pool, large: _Pool, peer: str
    ) -> None:
        self._buffers = buffers
        self._peer = peer
        self._small = small
        self._large = large
        self._small_held = 0
        self._large_held = 0

    def reserve(
        self, received: int, length: int | None, seconds: float
    ) -> bool:
        """Reserves the space to receive more of the body.

        Args:
            received: bytes of the body received so far.
            length: declared length of the body; None if unknown.
            seconds: the longest wait for space.

        Returns:
            False if no space became free in time.
        """
        if not self._small_held:
            size = SMALL_BODY_BYTES
            if length is not None:
                size = max(min(length, SMALL_BODY_BYTES), 1)
            self._small_held = self._small.reserve(self._peer, size, seconds)
            if not self._small_held:
                return False
        known_small = length is not None and length <= SMALL_BODY_BYTES
        if self._large_held or known_small:
            return True
        if length is None and received < SMALL_BODY_BYTES:
            return True
        size = self._buffers.body_bytes if length is None else length
        self._large_held = self._large.reserve(self._peer, size, seconds)
        return bool(self._large_held)

    def shrink(self, size: int) -> None:
        """Releases what a complete body does not need.

        Args:
            size: size of the body.
        """
        small = min(self._small_held, max(size, 1))
        if excess := self._small_held - small:
            self._small_held = small
            self._small.release(self._peer, excess)
        large = min(self._large_held, size)
        if excess := self._large_held - large:
            self._large_held = large
            self._large.release(self._peer, excess)

    def release(self) -> None:
        """Releases the reservation, if there is one."""
        small, self._small_held = self._small_held, 0
        large, self._large_held = self._large_held, 0
        if small:
            self._small.release(self._peer, small)
        if large:
            self._large.release(self._peer, large)

    def __enter__(self) -> Body:
        return self

    def __exit__(self, *_: object) -> None:
        self.release()
