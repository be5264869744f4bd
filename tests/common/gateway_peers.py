"""Peers of an entry host, in the same process and in simulated time."""

import contextlib

import gevent

from endivepier import errors

AVOID_SECONDS = 1.0  # after a failed request


class SimulatedPeers:
    """A `gateway.hosts.peers.Peers` that calls the handlers of others directly.

    Attributes:
        cut: whether the host can't exchange messages with any other.
        is_settled: whether the host knows the others.
        sees_no_peers: whether `available_hosts` returns no hosts.
    """

    def __init__(self, name, hosts, timers, request_seconds):
        """Adds this host's object to `hosts`.

        Args:
            name: name of the host.
            hosts: the `SimulatedPeers` of all hosts by name, shared by them.
            timers: the timer service.
            request_seconds: duration of each request to a peer.
        """
        self.name = name
        self.hosts = hosts
        self.timers = timers
        self.request_seconds = request_seconds
        self.handlers = {}
        self.cut = False
        self.sees_no_peers = False
        self.is_settled = True
        self.avoided_until = {}
        self.failed = set()  # hosts whose last request failed
        self.known_to = set()
        self.introductions = self  # has the methods of `Introductions` itself
        self.processes = {}  # the row of each host's process, if it is known
        self.rows = None  # the rows of hosts, if they limit whom it knows
        hosts[name] = self

    def register(self, operation, handler):
        self.handlers[operation] = handler

    def available_hosts(self):
        if self.sees_no_peers:
            return []
        return [name for name in self.hosts if self.is_available(name)]

    def process(self, host):
        if self.rows is not None:
            return self.rows.entries.get(host)
        return self.processes.get(host)

    def other_hosts(self):
        return [name for name in self.hosts if name != self.name]

    def is_near(self, host):
        return True

    def is_available(self, host):
        if host == self.name or host not in self.hosts:
            return False
        if self.rows is not None and host not in self.rows.listed:
            return False
        until = self.avoided_until.get(host, 0.0)
        return until <= self.timers.now()

    def has_failed(self, host):
        return host in self.failed

    def is_known_to(self, host):
        return host in self.known_to

    def introduce(self):
        for host in self.available_hosts():
            if host not in self.known_to:
                gevent.spawn(self._introduce, host)

    def _introduce(self, host):
        with contextlib.suppress(errors.PeerUnreachable):
            other = self._send(host)
            if other.rows is not None:
                other.rows.hear(self.name, introduces_itself=True)
            self.known_to.add(host)

    def request(self, host, operation, body, seconds=None):
        return self._send(host).handlers[operation](body)

    def _send(self, host):
        """Takes the time of a request, and returns the host that gets it."""
        other = self.hosts[host]
        self.timers.sleep(self.request_seconds)
        if self.cut or other.cut:
            self.avoided_until[host] = self.timers.now() + AVOID_SECONDS
            self.failed.add(host)
            raise errors.PeerUnreachable(host, "cut", sent=True)
        if other.rows is not None:
            other.rows.hear(self.name)
        self.failed.discard(host)
        other.failed.discard(self.name)
        return other
