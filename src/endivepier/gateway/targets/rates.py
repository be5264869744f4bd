"""Request rates that targets accept from all hosts together.

A target that needs relief names a rate in its responses, for as long as it
needs it. A response without one ends it. Responses may overtake each other, so
the one whose request was sent last counts.

A cold target tolerates a declared rate until a stated time; `targets.cold`
decides which targets are cold.

Hosts pass on what they learned with the messages that they exchange anyway.
Of cold targets, a host passes on only what it found out itself: a time that is
passed on again and again would move on with each message.
"""

from __future__ import annotations

import dataclasses

import eliot

from endivepier import timers as timers_lib
from endivepier.gateway.hosts import statements
from endivepier.internal import bounded_map
from endivepier.internal import quantities
from endivepier.telemetry import metrics as metrics_lib

RESPONSE = "response"  # source of what this host was told by the target
MAX_TARGETS = 10_000
# Age up to which a statement is passed on. Hosts exchange messages many times a
# second, and what concerns a target that is gone must not circulate for ever.
SHARE_SECONDS = 30.0
MAX_SHARED = 50  # targets in one message
MAX_COUNTED = 1_000  # targets with a limit that are looked through for it
MAX_MESSAGE_BYTES = 1_800  # of the 16 kB of headers between hosts
ENCODE_SECONDS = 0.02  # how long the encoded message is used again
# A message may have been on its way for so long. What it says must not count
# as newer than it is.
MESSAGE_SECONDS = 0.1
NO_RATE = "-"
# Of the rate that a cold target tolerates. With `tokens.COLD_BURST_SECONDS`, an
# owner and two substitutes that know nothing of each other stay below one and a
# half times the tolerated rate in any second.
COLD_RATE_SHARE = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Stated:
    """What a target last stated about its rate.

    Attributes:
        rate: requests a second that it takes from all hosts, or None if it
            named none.
        as_of: when the request was sent whose response stated it, monotonic
            seconds.
    """

    rate: float | None
    as_of: float


@dataclasses.dataclass(frozen=True, slots=True)
class Cold:
    """What is known of a cold target.

    Attributes:
        rate: requests a second that it tolerates from all hosts together.
        until: when it is cold no longer, monotonic seconds.
        told_seconds: how long it is cold at most, as told to peers; 0 if this
            host was told itself.
    """

    rate: float
    until: float
    told_seconds: float


class TargetRates:
    """The rates that targets take at most, by incarnation."""

    def __init__(
        self, timers: timers_lib.Timers, metrics: metrics_lib.Metrics
    ) -> None:
        self._timers = timers
        self._metrics = metrics
        self._stated: bounded_map.BoundedMap[Stated] = bounded_map.BoundedMap(
            MAX_TARGETS
        )
        self._cold: bounded_map.BoundedMap[Cold] = bounded_map.BoundedMap(
            MAX_TARGETS
        )
        # Targets that lately had a limit; the last change is last.
        self._shared: dict[str, None] = {}
        self._encoded = b""
        self._encoded_at = float("-inf")

    def rate(self, incarnation: str) -> float | None:
        """Returns the requests a second that a target takes, if it limits them.

        Args:
            incarnation: name and start time of the target.
        """
        stated = self._stated.get(incarnation)
        rate = None if stated is None else stated.rate
        cold = self.cold(incarnation)
        if cold is None:
            return rate
        cold_rate = COLD_RATE_SHARE * cold.rate
        return cold_rate if rate is None else min(rate, cold_rate)

    def cold(self, incarnation: str) -> Cold | None:
        """Returns what is known of a target if it is cold, else None."""
        cold = self._cold.get(incarnation)
        if cold is None or cold.until <= self._timers.now():
            return None
        return cold

    def set_cold(
        self,
        incarnation: str,
        rate: float,
        seconds: float,
        *,
        told_seconds: float = 0.0,
    ) -> None:
        """Records that a target is cold; it is so for no shorter than known.

        Args:
            incarnation: name and start time of the target.
            rate: requests a second that it tolerates from all hosts together.
            seconds: how long it is cold from now on.
            told_seconds: how long peers are told at most; 0 if this host was
                told by one.
        """
        known = self.cold(incarnation)
        until = self._timers.now() + seconds
        if known is not None:
            until = max(until, known.until)
            told_seconds = max(told_seconds, known.told_seconds)
        self._cold.put(incarnation, Cold(rate, until, told_seconds))

    def end_cold(self, incarnation: str) -> None:
        """Records that a target is cold no longer."""
        self._cold.drop(incarnation)

    def age(self, incarnation: str) -> float:
        """Returns the age of what is known of a target, in seconds.

        It counts from sending the request whose response said so; it is 0 if
        nothing is known.
        """
        stated = self._stated.get(incarnation)
        return 0.0 if stated is None else self._timers.now() - stated.as_of

    def note(
        self, incarnation: str, rate: float | None, as_of: float, source: str
    ) -> None:
        """Records what a target stated, unless something newer is known.

        Args:
            incarnation: name and start time of the target.
            rate: requests a second that it takes, or None for no limit.
            as_of: when the request of the response was sent, monotonic seconds.
            source: `RESPONSE`, or the name of the host that passed it on.
        """
        if self._note(incarnation, rate, as_of, source):
            self._count_limited()

    def _note(
        self, incarnation: str, rate: float | None, as_of: float, source: str
    ) -> bool:
        """Records a statement; returns whether it changed the rate."""
        known = self._stated.get(incarnation)
        if known is not None and known.as_of > as_of:
            return False
        self._stated.put(incarnation, Stated(rate, as_of))
        before = None if known is None else known.rate
        if before == rate:
            if rate is not None and incarnation not in self._shared:
                self._share(incarnation)
            return False
        self._share(incarnation)
        self._encoded_at = float("-inf")
        eliot.log_message(
            "target.rate",
            target=incarnation,
            rate=rate,
            before=before,
            source=source,
            age=round(self._timers.now() - as_of, 3),
        )
        return True

    def _share(self, incarnation: str) -> None:
        """Has what a target stated be passed on."""
        self._shared.pop(incarnation, None)
        self._shared[incarnation] = None
        if len(self._shared) > MAX_COUNTED:
            del self._shared[next(iter(self._shared))]

    def forget(self, incarnation: str) -> None:
        """Drops what a target stated that no longer exists."""
        self._stated.drop(incarnation)
        self._cold.drop(incarnation)
        if incarnation in self._shared:
            del self._shared[incarnation]
            self._count_limited()

    def encode(self) -> bytes:
        """Returns what to tell a peer; empty if there is nothing."""
        now = self._timers.now()
        if now - self._encoded_at > ENCODE_SECONDS:
            self._encoded = self._encode(now)
            self._encoded_at = now
        return self._encoded

    def _encode(self, now: float) -> bytes:
        items = []
        shared_count = len(self._shared)
        for incarnation in list(self._shared):
            stated = self._stated.get(incarnation)
            if stated is None or now - stated.as_of > SHARE_SECONDS:
                del self._shared[incarnation]
                continue
            rate = NO_RATE if stated.rate is None else f"{stated.rate:g}"
            age = f"{now - stated.as_of:.3f}"
            items.append(statements.item(incarnation, rate, age))
        if len(self._shared) < shared_count:
            self._count_limited()
        items = items[-MAX_SHARED:]
        while sum(len(item) + 1 for item in items) > MAX_MESSAGE_BYTES:
            del items[0]
        return statements.join(items)

    def receive(self, host: str, encoded: bytes) -> None:
        """Records what a peer passes on.

        Raises:
            ValueError: the message is malformed.
        """
        now = self._timers.now()
        changed = [
            self._note(
                incarnation,
                None if rate == NO_RATE else quantities.parse(rate),
                now - quantities.parse(age) - MESSAGE_SECONDS,
                source=host,
            )
            for incarnation, rate, age in statements.split(encoded, 3)
        ]
        if any(changed):
            self._count_limited()

    def encode_cold(self) -> bytes:
        """Returns the cold targets to tell a peer; empty if there are none."""
        now = self._timers.now()
        items = []
        for incarnation, cold in self._cold.items():
            if cold.until <= now:
                self._cold.drop(incarnation)
            elif cold.told_seconds:
                seconds = min(cold.until - now, cold.told_seconds)
                items.append(
                    statements.item(
                        incarnation, f"{cold.rate:g}", f"{seconds:.3f}"
                    )
                )
        return statements.join(items[-MAX_SHARED:])

    def receive_cold(self, encoded: bytes) -> None:
        """Records the cold targets that a peer tells.

        Raises:
            ValueError: the message is malformed.
        """
        for incarnation, rate, seconds in statements.split(encoded, 3):
            self.set_cold(
                incarnation, quantities.parse(rate), quantities.parse(seconds)
            )

    def _count_limited(self) -> None:
        limited = [name for name in self._shared if self.rate(name) is not None]
        self._metrics.set("target_rates", len(limited))
