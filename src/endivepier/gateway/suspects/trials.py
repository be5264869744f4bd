"""Lets one suspected request at a time run in the whole fleet.

A request that was at two targets when these ended is likely to end a third. Its
next run shows whether it is at fault, if no other suspected request runs at the
same time. One host, chosen by rendezvous hashing, gives the turns. A turn ends
with the run, and is over after some seconds if its host is lost.

A host that does not reach the one that gives the turns tries no such request.

Bodies that begin like those of refused requests may be innocent. A few of them
are tried, at growing intervals; the first one that a target completes shows
that the common start means nothing.
"""

from __future__ import annotations

import dataclasses

import eliot
import gevent

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.internal import bounded_map
from endivepier.internal import codec
from endivepier.internal import names
from endivepier.internal import rendezvous

BEGIN = "trial-begin"
END = "trial-end"
# Longest time of a run, after which its turn is over anyway.
TURN_SECONDS = 5.0
POLL_SECONDS = 0.05  # between two requests for a turn
NAME = "trials"  # what is hashed to choose the host
BUSY_RETRY_SECONDS = 0.5  # until another request's run has probably ended
# Pauses before the trials of bodies that begin like refused ones. The first one
# outlasts the retries of a client; the last one is repeated.
TRIAL_PAUSES_SECONDS = (5.0, 30.0, 300.0)
MAX_STARTS = 1_000  # starts of bodies whose trials are remembered


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Asks for a turn.

    Attributes:
        call: id of the call that would run.
        content: fingerprint of the request, or of its start.
        refused_seconds: for how long requests that begin like this one are
            refused; None unless they are, and it is known by its start only.
    """

    call: names.Name
    content: names.Name
    refused_seconds: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """The reply to `Begin`.

    Attributes:
        granted: whether the request may run now.
        retry_after: seconds until it may be asked again.
    """

    granted: bool
    retry_after: float = BUSY_RETRY_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class Trials:
    """The trials of bodies with a certain start.

    Attributes:
        count: how many there were.
        next_at: when the next one may begin, monotonic seconds.
    """

    count: int
    next_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """Tells that a run has ended."""

    call: names.Name


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The reply to `End`."""


class SuspectTrials:
    """Gives turns, and asks for them."""

    def __init__(
        self, host: str, peers: peers_lib.Peers, timers: timers_lib.Timers
    ) -> None:
        self._host = host
        self._peers = peers
        self._timers = timers
        # The call that has the turn, and when the turn is over.
        self._running = ""
        self._running_until = float("-inf")
        self._trials: bounded_map.BoundedMap[Trials] = bounded_map.BoundedMap(
            MAX_STARTS
        )
        peers.register(BEGIN, self._handle_begin)
        peers.register(END, self._handle_end)

    def begin(self, call: str, content: str, seconds: float) -> bool:
        """Waits for a turn; returns whether the request may run now.

        Args:
            call: id of the call.
            content: fingerprint of the request.
            seconds: how long to wait at most.
        """
        deadline = self._timers.now() + seconds
        while not self._ask(Begin(call, content)).granted:
            if self._timers.now() + POLL_SECONDS > deadline:
                return False
            self._timers.sleep(POLL_SECONDS)
        return True

    def begin_trial(
        self, call: str, start: str, refused_seconds: float
    ) -> Begun:
        """Asks for the turn of a request of which only the start is known.

        Args:
            call: id of the call.
            start: fingerprint of the body's start.
            refused_seconds: for how long such requests are refused.
        """
        return self._ask(Begin(call, start, refused_seconds))

    def end(self, call: str) -> None:
        """Gives a turn back."""
        owner = self._owner()
        if owner == self._host:
            self._end(End(call))
        else:
            gevent.spawn(self._send_end, owner, End(call))

    def _owner(self) -> str:
        hosts = [*self._peers.available_hosts(), self._host]
        return rendezvous.choose(NAME, hosts)

    def _ask(self, request: Begin) -> Begun:
        owner = self._owner()
        if owner == self._host:
            if self._peers.other_hosts() and not self._peers.available_hosts():
                return Begun(granted=False)  # others may think the same
            return self._begin(request)
        try:
            reply = self._peers.request(owner, BEGIN, codec.encode(request))
        except errors.PeerUnreachable as exc:
            eliot.log_message(
                "content.no_turn",
                request=request.call,
                content=request.content,
                owner=owner,
                reason=str(exc),
            )
            return Begun(granted=False)
        begun: Begun = codec.decode(Begun, reply)
        return begun

    def _begin(self, request: Begin) -> Begun:
        now = self._timers.now()
        if self._owner() != self._host:
            return Begun(granted=False)  # the asking host knows other hosts
        if self._running not in ("", request.call) and (
            now < self._running_until
        ):
            return Begun(granted=False)
        if request.refused_seconds is not None:
            next_at = self._trials_from(request, now)
            if now < next_at:
                return Begun(granted=False, retry_after=next_at - now)
        self._running = request.call
        self._running_until = now + TURN_SECONDS
        eliot.log_message(
            "content.trial",
            request=request.call,
            content=request.content,
            refused_seconds=request.refused_seconds,
        )
        return Begun(granted=True)

    def _trials_from(self, request: Begin, now: float) -> float:
        """Returns from when a body may be tried, and counts the trial if now.

        Args:
            request: the question, with `refused_seconds`.
            now: the current time, monotonic seconds.
        """
        assert request.refused_seconds is not None
        trials = self._trials.get(request.content)
        if trials is None:
            refused_at = now - request.refused_seconds
            trials = Trials(0, refused_at + TRIAL_PAUSES_SECONDS[0])
        if now >= trials.next_at:
            count = trials.count + 1
            last = len(TRIAL_PAUSES_SECONDS) - 1
            pause = TRIAL_PAUSES_SECONDS[min(count, last)]
            self._trials.put(request.content, Trials(count, now + pause))
        return trials.next_at

    def _end(self, request: End) -> None:
        if self._running == request.call:
            self._running = ""

    def _send_end(self, owner: str, request: End) -> None:
        try:
            self._peers.request(owner, END, codec.encode(request))
        except errors.PeerUnreachable as exc:
            # The turn is over after TURN_SECONDS.
            eliot.log_message(
                "content.turn_not_ended", owner=owner, reason=str(exc)
            )

    def _handle_begin(self, body: bytes) -> bytes:
        return codec.encode(self._begin(codec.decode(Begin, body)))

    def _handle_end(self, body: bytes) -> bytes:
        self._end(codec.decode(End, body))
        return codec.encode(Ended())
