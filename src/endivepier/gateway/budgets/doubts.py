"""Finds out whether hosts that may have opened a program did so.

Until then, half of the program's budget counts as held by them. A host that
responds is asked itself; it never opens the program from then on. For one that
does not, or whose former process was lost, the other hosts are asked what they
noted (see `witness`).
"""

from __future__ import annotations

import eliot
import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.budgets import opening_messages as messages
from endivepier.gateway.budgets import witness as witness_lib
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.hosts import quorums
from endivepier.internal import codec

ASK_TIMEOUT_SECONDS = 0.1  # a little more than the timeout of a request
# For so long an answer is used again. The hosts that gave it note no opening
# in this time.
REUSE_SECONDS = 1.0
# Until a lost process of this host is ruled out: others may not have noticed
# that the host is back.
FIRST_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 32.0


class Doubts:
    """Resolves assumptions about what other processes have opened."""

    def __init__(
        self,
        host: str,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        witness: witness_lib.Witness,
    ) -> None:
        """Initializes without answers.

        Args:
            host: name of this host.
            peers: the other hosts.
            timers: the timer service.
            witness: what this process knows of other hosts.
        """
        self._host = host
        self._peers = peers
        self._timers = timers
        self._witness = witness
        self._is_own_clear = False
        self._ask_own_at = float("-inf")
        self._backoff = FIRST_BACKOFF_SECONDS
        # By host: the last inquiry, when it was made, and its result.
        self._results: dict[str, tuple[messages.Inquiry, float, bool]] = {}

    def is_own_clear(self, at: float) -> bool:
        """Returns whether no lost process of this host matters.

        Args:
            at: when a program began, Unix seconds.
        """
        rows = self._peers.rows
        if self._is_own_clear or not rows.own.lost_at:
            return rows.is_settled
        return at - rows.own.lost_at > self._witness.matters_for()

    def tick(self) -> None:
        """Asks about a lost process of this host; to be called often."""
        now = self._timers.now()
        rows = self._peers.rows
        if not rows.is_settled or self.is_own_clear(self._timers.wall()):
            return
        if now < self._ask_own_at:
            return
        self._ask_own_at = now + self._backoff
        self._backoff = min(2 * self._backoff, MAX_BACKOFF_SECONDS)
        gevent.spawn(self._ask_about_own)

    def is_resolved(
        self, program: str, assumption: messages.Assumption
    ) -> bool:
        """Returns whether no other host can have opened a program.

        Waits for replies of other hosts, up to a tenth of a second for each
        host that may have.
        """
        rows = self._peers.rows
        if not rows.is_settled:
            return False
        # A host without a row has recorded all that it opened.
        hosts = assumption.hosts or sorted(
            {*rows.members(), *rows.unlisted(self._witness.matters_for())}
        )
        return all(
            self._is_cleared(host, program, assumption.at) for host in hosts
        )

    def _is_cleared(self, host: str, program: str, at: float) -> bool:
        if host == self._host:
            return self.is_own_clear(at)
        if self._peers.is_available(host):
            return self._claim(host, program, at)
        return self._is_ruled_out(host, at)

    def _seconds_since(self, at: float) -> float:
        return max(self._timers.wall() - at, 0.0)

    def _claim(self, host: str, program: str, at: float) -> bool:
        """Asks a host that responds."""
        claim = messages.Claim(program, self._seconds_since(at))
        try:
            reply = self._peers.request(
                host, messages.CLAIM, codec.encode(claim)
            )
            claimed: messages.Claimed = codec.decode(messages.Claimed, reply)
        except (errors.PeerUnreachable, errors.Refused) as exc:
            eliot.log_message(
                "openings.not_claimed",
                peer=host,
                program=program,
                reason=str(exc),
            )
            return False
        return claimed.is_clear

    def _is_ruled_out(self, host: str, at: float) -> bool:
        """Asks the other hosts about one that does not respond."""
        member = self._peers.rows.members().get(host)
        if member is None:
            return False
        since = self._seconds_since(at)
        matters = self._witness.matters_for()
        lost_at = member.lost_at if at - member.lost_at < matters else 0.0
        # Nobody knows what a process of a former build has opened.
        if not member.has_left and not member.tells_openings:
            return False
        if lost_at and not member.lost_told:
            return False
        inquiry = messages.Inquiry(
            host, lost_at, since + matters, replaces=not member.has_left
        )
        return self._ask(inquiry)

    def _ask(self, inquiry: messages.Inquiry) -> bool:
        now = self._timers.now()
        last = self._results.get(inquiry.host)
        if last is not None:
            before, asked_at, result = last
            if (
                now - asked_at < REUSE_SECONDS
                and before.lost_at == inquiry.lost_at
                and before.seconds >= inquiry.seconds - REUSE_SECONDS
            ):
                return result
        answers = self._collect(inquiry)
        # Enough answers to meet any notice, even by the largest count.
        most = max(
            [self._witness.others(inquiry.host)]
            + [answer.others for answer in answers]
        )
        count = sum(answer.rules_out for answer in answers)
        result = count >= quorums.to_replace(most)
        self._results[inquiry.host] = (inquiry, now, result)
        eliot.log_message(
            "openings.inquired",
            peer=inquiry.host,
            lost_at=inquiry.lost_at,
            seconds=round(inquiry.seconds, 1),
            replaces=inquiry.replaces,
            others=most,
            answers=len(answers),
            ruled_out_by=count,
            ruled_out=result,
        )
        return result

    def _collect(self, inquiry: messages.Inquiry) -> list[messages.Answer]:
        """Returns the answers of all hosts that respond, this one included."""
        answers: list[messages.Answer] = []
        if inquiry.host != self._host:
            answers.append(
                messages.Answer(
                    self._witness.rules_out(inquiry),
                    self._witness.others(inquiry.host),
                )
            )
        body = codec.encode(inquiry)

        def ask(host: str) -> None:
            try:
                reply = self._peers.request(host, messages.INQUIRY, body)
                answers.append(codec.decode(messages.Answer, reply))
            except (errors.PeerUnreachable, errors.Refused) as exc:
                eliot.log_message(
                    "openings.no_answer", peer=host, reason=str(exc)
                )

        tasks = [
            gevent.spawn(ask, host)
            for host in self._peers.available_hosts()
            if host != inquiry.host
        ]
        self._wait(tasks)
        return list(answers)

    def _wait(self, tasks: list[gevent.Greenlet]) -> None:
        """Waits until all tasks have ended, or for the timeout."""
        until = self._timers.now() + ASK_TIMEOUT_SECONDS
        for task in tasks:
            done = gevent.event.Event()
            task.rawlink(lambda _, done=done: done.set())
            self._timers.wait(done, max(until - self._timers.now(), 0.0))

    def _ask_about_own(self) -> None:
        own = self._peers.rows.own
        if not own.lost_told:
            return
        inquiry = messages.Inquiry(
            self._host,
            own.lost_at,
            self._seconds_since(own.lost_at) + self._witness.matters_for(),
            replaces=False,
        )
        if self._ask(inquiry):
            self._is_own_clear = True
