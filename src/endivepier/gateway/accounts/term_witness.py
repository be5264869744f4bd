"""Confirms the terms of other hosts, and ends those of silent ones."""

from __future__ import annotations

import eliot

from endivepier import timers as timers_lib
from endivepier.gateway.accounts import term_messages as messages
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.internal import codec

# Longer than a lease: its holder can't use a share in an older term.
REMEMBER_SECONDS = 60.0
MAX_TERMS = 20_000  # that are remembered


class TermWitness:
    """What this process has confirmed and ended for other hosts."""

    def __init__(
        self,
        process: str,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
    ) -> None:
        """Initializes, and registers the handlers for peers.

        Args:
            process: random id of this process.
            peers: the other hosts.
            timers: the timer service.
        """
        self._process = process
        self._timers = timers
        self._started_at = timers.now()
        # By host and id of a term: when it was last confirmed, and when it was
        # ended; the oldest first.
        self._confirmed_at: dict[tuple[str, str], float] = {}
        self._ended_at: dict[tuple[str, str], float] = {}
        peers.register(messages.CONFIRM, self._handle_confirm)
        peers.register(messages.END, self._handle_end)

    def end(self, host: str, term: str) -> bool:
        """Ends a term, unless its holder may still use a confirmation.

        Returns:
            Whether the term has ended here.
        """
        now = self._timers.now()
        # A former process of this host may have confirmed it until its end.
        last = self._confirmed_at.get((host, term), self._started_at)
        is_ended = messages.is_unused(now - last)
        if is_ended:
            self._remember(self._ended_at, host, term)
        eliot.log_message(
            "shares.term_end_asked",
            peer=host,
            term=term,
            confirmed=round(now - last, 3),
            is_ended=is_ended,
        )
        return is_ended

    def _handle_confirm(self, body: bytes) -> bytes:
        confirm: messages.Confirm = codec.decode(messages.Confirm, body)
        ended = tuple(
            term
            for term in confirm.terms
            if (confirm.host, term) in self._ended_at
        )
        for term in confirm.terms:
            if term not in ended:
                self._remember(self._confirmed_at, confirm.host, term)
        return codec.encode(messages.Confirmed(self._process, ended))

    def _handle_end(self, body: bytes) -> bytes:
        end: messages.End = codec.decode(messages.End, body)
        return codec.encode(messages.Ended(self.end(end.host, end.term)))

    def _remember(
        self, times: dict[tuple[str, str], float], host: str, term: str
    ) -> None:
        now = self._timers.now()
        times.pop((host, term), None)
        times[host, term] = now
        while times:
            oldest = next(iter(times))
            is_old = now - times[oldest] > REMEMBER_SECONDS
            if not is_old and len(times) <= MAX_TERMS:
                return
            del times[oldest]
