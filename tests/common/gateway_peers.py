"""The other hosts of one host, in the same process and in simulated time."""

from endivepier import errors


class PeersOf:
    """A `gateway.peers.Peers` that calls the other hosts' answers itself.

    Attributes:
        cut: whether the host is cut off from all others.
        blind: whether it knows of no other.
    """

    def __init__(self, name, hosts, timers, seconds):
        """Joins `hosts`, the peers of all hosts by name.

        A question and its answer take `seconds`.
        """
        self.name = name
        self.hosts = hosts
        self.timers = timers
        self.seconds = seconds
        self.answers = {}
        self.cut = False
        self.blind = False
        hosts[name] = self

    def register(self, operation, answer):
        self.answers[operation] = answer

    def available_hosts(self):
        if self.blind:
            return []
        return [name for name in self.hosts if name != self.name]

    def is_available(self, host):
        return host in self.hosts and host != self.name

    def request(self, host, operation, body, seconds=None):
        other = self.hosts[host]
        self.timers.sleep(self.seconds)
        if self.cut or other.cut:
            raise errors.PeerUnreachable(host, "cut", sent=True)
        return other.answers[operation](body)
