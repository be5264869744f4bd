"""The terms in which this host uses its shares.

A share is a lease in the store that outlasts an outage of it. So that others
need not wait for its end when a host is lost, a host uses its shares only while
enough witnesses, other hosts that its entries name, confirm its term. If the
host is silent, another one has them end the term (see `takeovers`), and takes
the share with a write of the row. Then the holder can't use the share until it
has written the row as well, whether it was lost, paused or cut off.

A term names hosts that have confirmed it, so that it can be used at once. If
some are silent, another term replaces it with the next writes.
"""

from __future__ import annotations

from collections.abc import Callable
import random

import eliot
import gevent

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.accounts import term_messages as messages
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.hosts import quorums
from endivepier.internal import codec
from endivepier.internal import failures
from endivepier.internal import rendezvous

TICK_SECONDS = 0.25
CONFIRM_SECONDS = 0.5  # how often a witness is asked
# Longer than for other requests, as no call waits for the reply: a witness that
# is slow for once is not avoided for it.
REPLY_SECONDS = 0.25
# For so long the hosts that respond must differ from the witnesses before
# another term begins; at once if too few witnesses confirm the current one.
CHANGE_SECONDS = 2.0
# How long a new term waits for all hosts that were asked.
COLLECT_SECONDS = 0.3
RETRY_SECONDS = 1.0  # after a term that nobody confirmed
KEPT_SECONDS = 5.0  # after one that no further hosts confirmed


class Terms:
    """Has the witnesses confirm this host's terms.

    Attributes:
        current: the term of the next writes.
    """

    def __init__(
        self,
        host: str,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        rng: random.Random,
        is_needed: Callable[[], bool],
    ) -> None:
        """Initializes with a term without witnesses.

        Args:
            host: name of this host.
            peers: the other hosts.
            timers: the timer service.
            rng: draws ids.
            is_needed: returns whether any account has a rate.
        """
        self.current = messages.Term()
        self._host = host
        self._peers = peers
        self._timers = timers
        self._rng = rng
        self._is_needed = is_needed
        self._used: Callable[[], set[messages.Term]] = set
        self._listeners: list[Callable[[], None]] = []
        # By term and witness: its process, and when the last request was sent
        # that it confirmed.
        self._confirmed: dict[tuple[str, str], tuple[str, float]] = {}
        self._asked_at: dict[str, float] = {}
        self._being_asked: set[str] = set()
        self._silent: set[str] = set()  # hosts whose last reply was missing
        self._next: messages.Term | None = None
        self._next_since = float("-inf")
        self._differs_since: float | None = None
        self._retry_at = float("-inf")

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` when `current` has changed."""
        self._listeners.append(callback)

    def start(self, used: Callable[[], set[messages.Term]]) -> None:
        """Starts to ask the witnesses.

        Args:
            used: returns the terms in which shares are held.
        """
        self._used = used
        self._timers.every(TICK_SECONDS, self._tick)

    def is_confirmed(self, term: messages.Term) -> bool:
        """Returns whether shares may be used in a term now."""
        if not term.witnesses:
            return True
        now = self._timers.now()
        count = 0
        for witness in term.witnesses:
            _, at = self._confirmed.get((term.id, witness), ("", float("-inf")))
            count += messages.holder_may_use(now - at)
        return count >= quorums.to_act(len(term.witnesses))

    def may_use(self, terms: tuple[messages.Term, ...]) -> bool:
        """Returns whether a share may be used that has one of some terms."""
        return all(self.is_confirmed(term) for term in terms)

    def _tick(self) -> None:
        if not self._is_needed() or not self._peers.is_settled:
            return
        self._replace_current()
        self._forget_unused()
        now = self._timers.now()
        for host in self._hosts_to_ask():
            if host in self._being_asked:
                continue
            if now - self._asked_at.get(host, float("-inf")) < CONFIRM_SECONDS:
                continue
            self._asked_at[host] = now
            self._being_asked.add(host)
            gevent.spawn(self._ask, host)

    def _terms(self) -> set[messages.Term]:
        terms = {self.current, *self._used()}
        if self._next is not None:
            terms.add(self._next)
        return {term for term in terms if term.witnesses}

    def _hosts_to_ask(self) -> set[str]:
        return {host for term in self._terms() for host in term.witnesses}

    def _wanted(self) -> tuple[str, ...]:
        """Returns the hosts that should be witnesses."""
        hosts = [
            host
            for host in self._peers.available_hosts()
            if self._confirms_terms(host)
        ]
        return tuple(
            sorted(rendezvous.rank(self._host, hosts, messages.MAX_WITNESSES))
        )

    def _confirms_terms(self, host: str) -> bool:
        """Returns whether a host is no former build."""
        entry = self._peers.process(host)
        return entry is not None and entry.confirms_terms

    def _replace_current(self) -> None:
        """Begins another term if other hosts should be witnesses."""
        now = self._timers.now()
        if self._next is not None:
            self._use_next(now)
            return
        wanted = self._wanted()
        silent = [
            witness
            for witness in self.current.witnesses
            if now - self._confirmed[self.current.id, witness][1]
            > messages.CONFIRMED_SECONDS
        ]
        if wanted == self.current.witnesses and not silent:
            self._differs_since = None
            return
        if self._differs_since is None:
            self._differs_since = now
        # With few witnesses, a term can't be ended once they are lost as well.
        is_urgent = len(wanted) > len(
            self.current.witnesses
        ) or not self.is_confirmed(self.current)
        if not is_urgent and now - self._differs_since < CHANGE_SECONDS:
            return
        if now < self._retry_at:
            return
        self._differs_since = None
        if not wanted:
            self._set_current(messages.Term())
            return
        self._next = messages.Term(f"{self._rng.getrandbits(64):016x}", wanted)
        self._next_since = now
        self._asked_at.clear()

    def _use_next(self, now: float) -> None:
        """Makes the next term the current one, with those that confirmed it."""
        assert self._next is not None
        confirmed = tuple(
            witness
            for witness in self._next.witnesses
            if (self._next.id, witness) in self._confirmed
        )
        is_complete = confirmed == self._next.witnesses
        if not is_complete and now - self._next_since < COLLECT_SECONDS:
            return
        term, self._next = messages.Term(self._next.id, confirmed), None
        if self._is_current_as_good(confirmed):
            self._retry_at = now + KEPT_SECONDS
        elif confirmed:
            self._set_current(term)
        else:
            self._retry_at = now + RETRY_SECONDS
            if not self.is_confirmed(self.current):
                self._set_current(messages.Term())

    def _is_current_as_good(self, confirmed: tuple[str, ...]) -> bool:
        """Returns whether the same hosts confirm the current term."""
        now = self._timers.now()
        return confirmed == tuple(
            witness
            for witness in self.current.witnesses
            if messages.holder_may_use(
                now - self._confirmed[self.current.id, witness][1]
            )
        ) and self.is_confirmed(self.current)

    def _set_current(self, term: messages.Term) -> None:
        if term == self.current:
            return
        eliot.log_message(
            "shares.term_begun",
            term=term.id,
            witnesses=term.witnesses,
            former=self.current.id,
        )
        self.current = term
        for callback in self._listeners:
            failures.contain(callback)

    def _forget_unused(self) -> None:
        ids = {term.id for term in self._terms()}
        for key in [key for key in self._confirmed if key[0] not in ids]:
            del self._confirmed[key]

    def _ask(self, host: str) -> None:
        terms = [t.id for t in self._terms() if host in t.witnesses]
        sent_at = self._timers.now()
        try:
            reply = self._peers.request(
                host,
                messages.CONFIRM,
                codec.encode(messages.Confirm(self._host, tuple(terms))),
                REPLY_SECONDS,
            )
            confirmed: messages.Confirmed = codec.decode(
                messages.Confirmed, reply
            )
        except (errors.PeerUnreachable, errors.Refused) as exc:
            if host not in self._silent:
                self._silent.add(host)
                eliot.log_message(
                    "shares.term_not_confirmed", peer=host, reason=str(exc)
                )
            return
        finally:
            self._being_asked.discard(host)
        self._silent.discard(host)
        for term in terms:
            if term in confirmed.ended:
                eliot.log_message("shares.term_over", peer=host, term=term)
                continue
            process, _ = self._confirmed.get(
                (term, host), (confirmed.process, 0.0)
            )
            # Another process may not know that a former one has ended it.
            if process == confirmed.process:
                self._confirmed[term, host] = (process, sent_at)
