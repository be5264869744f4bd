"""Whether this host reaches neither the store nor any other entry host.

Such a host knows no budgets and has only its own parts of accounts' rates; a
client is served better elsewhere. So it says that it isn't ready, and closes
connections after their next answer. A store that is down for all hosts does
not isolate one: its peers still answer.
"""

from __future__ import annotations

import random

import eliot

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import peers as peers_lib
from endivepier.gateway import store_access

# Longer than a store's usual answers, a lost packet and a probe together.
ISOLATION_SILENCE_SECONDS = 1.0
MAX_PROBED_PEERS = 3  # of them one may be down and one frozen


class Isolation:
    """Watches for the loss of all others.

    Attributes:
        isolated: whether neither store nor peer has answered lately.
    """

    def __init__(
        self,
        store: store_access.Store,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        rng: random.Random,
    ) -> None:
        self.isolated = False
        self._store = store
        self._peers = peers
        self._timers = timers
        self._rng = rng

    def check(self) -> None:
        """Asks some peers if the store is silent; to be called regularly."""
        since = self._store.unreachable_since
        now = self._timers.now()
        if since is None or now - since < ISOLATION_SILENCE_SECONDS:
            self._set_isolated(isolated=False)
            return
        other_hosts = self._peers.other_hosts()
        if (
            self._peers.last_contact_at > now - ISOLATION_SILENCE_SECONDS
            or not other_hosts
        ):
            self._set_isolated(isolated=False)
            return
        count = min(MAX_PROBED_PEERS, len(other_hosts))
        answers = any(map(self._probe, self._rng.sample(other_hosts, count)))
        self._set_isolated(isolated=not answers)

    def _probe(self, host: str) -> bool:
        try:
            self._peers.request(host, peers_lib.PROBE, b"{}")
        except errors.PeerUnreachable:
            return False
        return True

    def _set_isolated(self, *, isolated: bool) -> None:
        if isolated != self.isolated:
            eliot.log_message(
                "host.isolated" if isolated else "host.connected",
                store_silent_since=self._store.unreachable_since,
                peer_heard_at=self._peers.last_contact_at,
            )
        self.isolated = isolated
