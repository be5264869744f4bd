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
from endivepier.gateway import reach

# Longer than a store's usual answers, a lost packet and a probe together.
ISOLATED_SECONDS = 1.0
PEERS_PROBED = 3  # of them one may be down and one frozen


class Isolation:
    """Watches for the loss of all others.

    Attributes:
        isolated: whether neither store nor peer has answered lately.
    """

    def __init__(
        self,
        store: reach.Store,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        rng: random.Random,
    ) -> None:
        self.isolated = False
        self._store = store
        self._peers = peers
        self._timers = timers
        self._rng = rng

    def look(self) -> None:
        """Asks some peers if the store is silent; to be called regularly."""
        since = self._store.lost_at
        now = self._timers.now()
        if since is None or now - since < ISOLATED_SECONDS:
            self._set(isolated=False)
            return
        others = self._peers.others()
        if self._peers.heard_at > now - ISOLATED_SECONDS or not others:
            self._set(isolated=False)
            return
        count = min(PEERS_PROBED, len(others))
        answers = any(map(self._probe, self._rng.sample(others, count)))
        self._set(isolated=not answers)

    def _probe(self, host: str) -> bool:
        try:
            self._peers.ask(host, peers_lib.PROBE, b"{}")
        except errors.PeerUnreachable:
            return False
        return True

    def _set(self, *, isolated: bool) -> None:
        if isolated != self.isolated:
            eliot.log_message(
                "host.isolated" if isolated else "host.connected",
                store_silent_since=self._store.lost_at,
                peer_heard_at=self._peers.heard_at,
            )
        self.isolated = isolated
