"""Detects that this host reaches neither the store nor any other entry host.

An isolated host can't read budgets and has only its own shares of the accounts'
rates, so that other hosts serve clients better. `process` therefore reports it
as not ready and closes each connection after the next response. If the store is
down for all hosts, no host counts as isolated, since its peers still respond.
"""

from __future__ import annotations

import random

import eliot

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.store import access as store_access

# Time without a response of store or peers after which peers are probed. It is
# longer than a usual response of the store, a lost packet and a probe together.
ISOLATION_SILENCE_SECONDS = 1.0
MAX_PROBED_PEERS = 3  # finds a live one if one is down and one is frozen


class Isolation:
    """Tracks whether this host is isolated.

    Attributes:
        isolated: whether neither the store nor a peer has responded recently;
            False if there are no peers.
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
        """Updates `isolated`; probes some peers if the store is unreachable.

        To be called periodically.
        """
        since = self._store.unreachable_since
        now = self._timers.now()
        if since is None or now - since < ISOLATION_SILENCE_SECONDS:
            self._set_isolated(isolated=False)
            return
        hosts = self._peers.other_hosts()
        if (
            self._peers.last_contact_at > now - ISOLATION_SILENCE_SECONDS
            or not hosts
        ):
            self._set_isolated(isolated=False)
            return
        count = min(MAX_PROBED_PEERS, len(hosts))
        responded = any(map(self._probe, self._rng.sample(hosts, count)))
        self._set_isolated(isolated=not responded)

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
