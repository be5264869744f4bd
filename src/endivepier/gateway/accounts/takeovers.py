"""Has the terms of silent hosts end, so that their shares can be taken."""

from __future__ import annotations

import eliot
import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.accounts import term_messages as messages
from endivepier.gateway.accounts import term_witness
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.hosts import quorums
from endivepier.internal import codec

ASK_TIMEOUT_SECONDS = 0.1  # a little more than the timeout of a request
RETRY_SECONDS = 0.25  # until witnesses that refused are asked again
MAX_ENDED = 1000  # terms that are remembered


class Takeovers:
    """Asks the witnesses of other hosts to end their terms."""

    def __init__(
        self,
        host: str,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        witness: term_witness.TermWitness,
    ) -> None:
        """Initializes.

        Args:
            host: name of this host.
            peers: the other hosts.
            timers: the timer service.
            witness: answers as this host, if it is a witness itself.
        """
        self._host = host
        self._peers = peers
        self._timers = timers
        self._witness = witness
        # By term: whether it has ended, and when that was found.
        self._results: dict[str, tuple[bool, float]] = {}

    def has_ended(self, holder: str, term: messages.Term) -> bool:
        """Returns whether a host can't use its shares in a term any more.

        Has the witnesses end the term if the host is silent; waits up to a
        tenth of a second for them.
        """
        if not term.witnesses or self._peers.is_available(holder):
            return False
        now = self._timers.now()
        is_ended, at = self._results.get(term.id, (False, float("-inf")))
        if is_ended or now - at < RETRY_SECONDS:
            return is_ended
        is_ended = self._end(holder, term)
        while len(self._results) >= MAX_ENDED:
            del self._results[next(iter(self._results))]
        self._results[term.id] = (is_ended, self._timers.now())
        return is_ended

    def _end(self, holder: str, term: messages.Term) -> bool:
        ended: list[str] = []
        body = codec.encode(messages.End(holder, term.id))

        def ask(witness: str) -> None:
            try:
                reply = self._peers.request(witness, messages.END, body)
                answer: messages.Ended = codec.decode(messages.Ended, reply)
            except (errors.PeerUnreachable, errors.Refused) as exc:
                eliot.log_message(
                    "shares.witness_silent", peer=witness, reason=str(exc)
                )
                return
            if answer.is_ended:
                ended.append(witness)

        tasks = []
        for witness in term.witnesses:
            if witness == self._host:
                if self._witness.end(holder, term.id):
                    ended.append(witness)
            elif self._peers.is_available(witness):
                tasks.append(gevent.spawn(ask, witness))
        until = self._timers.now() + ASK_TIMEOUT_SECONDS
        for task in tasks:
            done = gevent.event.Event()
            task.rawlink(lambda _, done=done: done.set())
            self._timers.wait(done, max(until - self._timers.now(), 0.0))
        count = len(ended)
        needed = quorums.to_replace(len(term.witnesses))
        eliot.log_message(
            "shares.term_ended" if count >= needed else "shares.term_lasts",
            peer=holder,
            term=term.id,
            ended_by=count,
            needed=needed,
            witnesses=len(term.witnesses),
        )
        return count >= needed
