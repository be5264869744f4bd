"""Has other hosts note when this one may open programs without the store.

A program is opened only once enough hosts have noted it, so that its tokens
count as spent if this host is lost (see `witness`). Each host is told as well
when everything is recorded, and so is each new process of it.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import eliot
import gevent

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.budgets import opening_messages as messages
from endivepier.gateway.budgets import witness as witness_lib
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.hosts import quorums
from endivepier.gateway.hosts import rows as host_rows
from endivepier.internal import codec
from endivepier.internal import failures

MAX_REQUESTS = 32  # at a time
RENEW_SECONDS = 5.0  # how often a notice is repeated while programs are open
OPEN_SECONDS = 15.0  # for which a notice allows to open programs
RETRY_SECONDS = 1.0  # after a host did not note it
# Longer than for other requests: a host that is slow for once is not avoided.
REPLY_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class _Ack:
    """The last notice that a host has noted.

    Attributes:
        process: the row of its process when the notice was sent.
        state: the number of this host's state then.
        at: when the notice was sent, monotonic seconds.
    """

    process: host_rows.Entry | None
    state: int
    at: float


class Notices:
    """What this process tells others, and which have noted it."""

    def __init__(
        self,
        host: str,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        witness: witness_lib.Witness,
    ) -> None:
        """Initializes without any notice.

        Args:
            host: name of this host.
            peers: the other hosts.
            timers: the timer service.
            witness: counts the other hosts.
        """
        self._host = host
        self._peers = peers
        self._timers = timers
        self._witness = witness
        self._listeners: list[Callable[[], None]] = []
        self._is_open = False
        self._is_clear = False
        self._state = 1
        self._number = 0
        self._acks: dict[str, _Ack] = {}
        self._being_told: set[str] = set()
        self._retry_at: dict[str, float] = {}

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` each time that programs may be opened."""
        self._listeners.append(callback)

    def tick(self, *, all_recorded: bool, is_clear: bool) -> None:
        """Tells hosts what they do not know yet; to be called often.

        Args:
            all_recorded: whether everything that this process has opened is in
                the store, and the store responds.
            is_clear: see `opening_messages.Notice`.
        """
        if not self._peers.rows.is_settled or self._peers.rows.is_leaving:
            return
        if (self._is_open and all_recorded) or is_clear != self._is_clear:
            self._set_state(self._is_open and not all_recorded, is_clear)
        self._tell_all()

    def request_opening(self) -> bool:
        """Returns whether programs may be opened now; asks for it if not."""
        if not self._is_open:
            self._set_state(True, self._is_clear)
            self._tell_all()
        return self.is_noted(OPEN_SECONDS)

    def is_noted(self, seconds: float) -> bool:
        """Returns whether enough hosts noted in the last seconds that it opens.

        Args:
            seconds: how old their notices may be.
        """
        if not self._is_open:
            return False
        now = self._timers.now()
        noted = [
            host
            for host, ack in self._acks.items()
            if self._is_current(host, ack) and now - ack.at <= seconds
        ]
        others = self._witness.others(self._host)
        return len(noted) >= quorums.to_act(others)

    def _set_state(self, is_open: bool, is_clear: bool) -> None:
        if is_open != self._is_open:
            eliot.log_message(
                "openings.requested" if is_open else "openings.recorded",
                others=self._witness.others(self._host),
                is_clear=is_clear,
            )
        self._is_open = is_open
        self._is_clear = is_clear
        self._state += 1
        self._retry_at.clear()

    def _is_current(self, host: str, ack: _Ack) -> bool:
        return ack.state == self._state and ack.process == self._process_of(
            host
        )

    def _process_of(self, host: str) -> host_rows.Entry | None:
        return self._peers.process(host)

    def _is_due(self, host: str) -> bool:
        """Returns whether a host is to be told now."""
        now = self._timers.now()
        if host in self._being_told or now < self._retry_at.get(host, 0.0):
            return False
        ack = self._acks.get(host)
        if ack is None or not self._is_current(host, ack):
            return True
        return self._is_open and now - ack.at > RENEW_SECONDS

    def _tell_all(self) -> None:
        hosts = [h for h in self._peers.available_hosts() if self._is_due(h)]
        for host in hosts[: MAX_REQUESTS - len(self._being_told)]:
            self._being_told.add(host)
            gevent.spawn(self._tell, host)

    def _tell(self, host: str) -> None:
        self._number += 1
        own = self._peers.rows.own
        notice = messages.Notice(
            self._host,
            own.since or 0.0,
            self._number,
            self._is_open,
            self._is_clear,
        )
        ack = _Ack(self._process_of(host), self._state, self._timers.now())
        is_noted = False
        try:
            reply = self._peers.request(
                host, messages.NOTICE, codec.encode(notice), REPLY_SECONDS
            )
            noted: messages.Noted = codec.decode(messages.Noted, reply)
            is_noted = noted.is_noted
        except (errors.PeerUnreachable, errors.Refused) as exc:
            # Builds without notices respond 404.
            eliot.log_message("openings.not_told", peer=host, reason=str(exc))
        finally:
            self._being_told.discard(host)
        if not is_noted:
            self._retry_at[host] = self._timers.now() + RETRY_SECONDS
            return
        was_noted = self.is_noted(OPEN_SECONDS)
        self._acks[host] = ack
        if not was_noted and self.is_noted(OPEN_SECONDS):
            eliot.log_message(
                "openings.allowed",
                noted=len(self._acks),
                others=self._witness.others(self._host),
            )
            for callback in self._listeners:
                failures.contain(callback)
