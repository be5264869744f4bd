"""Asks other hosts for their load before a turn is refused for it.

Hosts that have sent no report lately count as the average of those that have,
and idle hosts send none. So that average is too high if only busy hosts were
heard.
"""

from __future__ import annotations

import random

import eliot
import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.choice import load_reports
from endivepier.gateway.hosts import peers as peers_lib

# Hosts that are asked at a time. If there are more, those that were asked stand
# for the others.
MAX_ASKED = 16
TIMEOUT_SECONDS = 0.1  # a little more than the timeout of a request
# For so long the replies are used without asking again.
REUSE_SECONDS = 0.1


class LoadInquiries:
    """Requests load reports of the hosts that sent none lately."""

    def __init__(
        self,
        peers: peers_lib.Peers,
        reports: load_reports.LoadReports,
        timers: timers_lib.Timers,
        rng: random.Random,
    ) -> None:
        """Initializes.

        Args:
            peers: the other hosts.
            reports: the reports, which each reply carries.
            timers: the timer service.
            rng: draws the hosts that are asked.
        """
        self._peers = peers
        self._reports = reports
        self._timers = timers
        self._rng = rng
        self._done: gevent.event.Event | None = None
        self._asked_at = float("-inf")

    def refresh(self) -> bool:
        """Asks hosts without a recent report, and waits for their replies.

        Returns:
            Whether there may be other reports than before.
        """
        if self._done is not None:
            return self._timers.wait(self._done, TIMEOUT_SECONDS)
        if self._timers.now() - self._asked_at < REUSE_SECONDS:
            return False
        unheard = [
            host
            for host in self._peers.available_hosts()
            if not self._reports.is_recent(host)
        ]
        if not unheard:
            return False
        asked = self._rng.sample(unheard, min(MAX_ASKED, len(unheard)))
        self._done = gevent.event.Event()
        try:
            replied = self._ask(asked)
        finally:
            self._asked_at = self._timers.now()
            self._done.set()
            self._done = None
        # Those that did not respond are avoided, and count no more.
        self._reports.host_count = len(self._peers.available_hosts()) + 1
        eliot.log_message(
            "load.asked",
            unheard=len(unheard),
            asked=len(asked),
            replied=len(replied),
            hosts=self._reports.host_count,
        )
        return True

    def _ask(self, hosts: list[str]) -> list[str]:
        replied: list[str] = []

        def ask(host: str) -> None:
            try:
                self._peers.request(host, peers_lib.PROBE, b"{}")
            except errors.PeerUnreachable as exc:
                eliot.log_message("load.no_reply", peer=host, reason=str(exc))
                return
            self._reports.note_asked(host)
            replied.append(host)

        tasks = [gevent.spawn(ask, host) for host in hosts]
        until = self._timers.now() + TIMEOUT_SECONDS
        for task in tasks:
            done = gevent.event.Event()
            task.rawlink(lambda _, done=done: done.set())
            self._timers.wait(done, max(until - self._timers.now(), 0.0))
        return list(replied)
