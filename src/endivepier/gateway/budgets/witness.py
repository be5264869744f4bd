"""Remembers which other hosts may have opened programs without the store.

A host that opens programs has half of the others or more note it first (see
`notices`). What it opened is recorded by itself once the store is back. If it
is lost before, those that noted it count against it; if it is lost without
such a notice, they rule out that it opened any (see `doubts`).
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import eliot

from endivepier import timers as timers_lib
from endivepier.gateway.budgets import opening_messages as messages
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.internal import codec

# Tokens that were opened are granted for at most this time after the last
# notice.
GRANT_SECONDS = 30.0
CLOCK_MARGIN_SECONDS = 10.0  # the hosts' clocks may differ by some seconds


@dataclasses.dataclass(slots=True)
class _Known:
    """What this process knows of the openings of one host.

    Attributes:
        clear_since: start of the first process of the host that said that
            nothing was unrecorded, Unix seconds of that host's clock; None if
            none has.
        process: start of the process that sent the last notice.
        number: of that notice.
        opened_at: when it last said that it may open programs, monotonic
            seconds; -inf if everything is recorded since.
        opener: start of the process that said so.
        replaced_until: until when it may open nothing, monotonic seconds.
    """

    clear_since: float | None = None
    process: float = float("-inf")
    number: int = 0
    opened_at: float = float("-inf")
    opener: float = float("-inf")
    replaced_until: float = float("-inf")


class Witness:
    """Answers what other hosts ask about the openings of a host."""

    def __init__(
        self,
        host: str,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        retention: Callable[[], float],
    ) -> None:
        """Initializes, and registers the handlers for peers.

        Args:
            host: name of this host.
            peers: the other hosts.
            timers: the timer service.
            retention: returns for how long a program may come back, in seconds.
        """
        self._host = host
        self._peers = peers
        self._timers = timers
        self._retention = retention
        self._started_at = timers.now()
        self._known: dict[str, _Known] = {}
        peers.register(messages.NOTICE, self._handle_notice)
        peers.register(messages.INQUIRY, self._handle_inquiry)

    def matters_for(self) -> float:
        """Returns for how long an opening matters to new programs, seconds."""
        return self._retention() + CLOCK_MARGIN_SECONDS + GRANT_SECONDS

    def others(self, host: str) -> int:
        """Returns the number of hosts beside `host` that may be witnesses.

        Those that left lately count: `host` may not know yet that they did.
        """
        rows = self._peers.rows
        now = self._timers.now()
        seconds = self.matters_for()
        left = {
            name for name, at in rows.departed.items() if now - at < seconds
        }
        names = {*rows.listed, *left, *rows.unlisted(seconds), self._host}
        return len(names - {host})

    def rules_out(self, inquiry: messages.Inquiry) -> bool:
        """Returns whether this process would know of an opening, if any.

        If the host is replaced, no further opening of it is noted for as long
        as openings matter.
        """
        now = self._timers.now()
        known = self._known.get(inquiry.host)
        if known is not None and now - known.opened_at <= inquiry.seconds:
            return False
        remembers_all = now - self._started_at > inquiry.seconds
        if not remembers_all:
            if known is None or known.clear_since is None:
                return False
            if inquiry.lost_at and known.clear_since >= inquiry.lost_at:
                return False
        if inquiry.replaces:
            known = self._known.setdefault(inquiry.host, _Known())
            known.replaced_until = now + self.matters_for()
        return True

    def _handle_inquiry(self, body: bytes) -> bytes:
        inquiry: messages.Inquiry = codec.decode(messages.Inquiry, body)
        is_listed = inquiry.host in self._peers.rows.members()
        answer = messages.Answer(
            is_listed and self.rules_out(inquiry), self.others(inquiry.host)
        )
        eliot.log_message(
            "openings.answered",
            peer=inquiry.host,
            lost_at=inquiry.lost_at,
            seconds=round(inquiry.seconds, 1),
            replaces=inquiry.replaces,
            rules_out=answer.rules_out,
        )
        return codec.encode(answer)

    def _handle_notice(self, body: bytes) -> bytes:
        notice: messages.Notice = codec.decode(messages.Notice, body)
        return codec.encode(messages.Noted(self._note(notice)))

    def _note(self, notice: messages.Notice) -> bool:
        """Remembers a notice; returns whether it is remembered."""
        if notice.host not in self._peers.rows.listed:
            return False
        now = self._timers.now()
        known = self._known.get(notice.host)
        if known is None:
            self._forget_departed()
            known = self._known[notice.host] = _Known()
        if notice.since < known.process:
            return False
        if notice.since == known.process and notice.number < known.number:
            return True  # a later one has arrived before
        if notice.is_open and now < known.replaced_until:
            return False
        if notice.is_open:
            known.opened_at = now
            known.opener = notice.since
        else:
            if notice.since == known.opener:
                known.opened_at = float("-inf")
            if notice.is_clear and known.clear_since is None:
                known.clear_since = notice.since
        known.process = notice.since
        known.number = notice.number
        return True

    def _forget_departed(self) -> None:
        """Drops hosts that are gone for longer than openings matter."""
        now = self._timers.now()
        rows = self._peers.rows
        for host, known in list(self._known.items()):
            if host in rows.members():
                continue
            last = max(
                known.opened_at,
                known.replaced_until,
                rows.departed.get(host, float("-inf")),
            )
            if now - last > self.matters_for():
                del self._known[host]
