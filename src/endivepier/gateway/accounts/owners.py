"""The hosts that own shares of an account's rate limit.

Each account has a few owner hosts, chosen by rendezvous hashing, that split
its rate equally and lend tokens to all other hosts. There are several, so
that the account keeps most of its rate when one is lost: the share of a lost
owner becomes free only when its lease ends. There are few, so that one host
has enough tokens for programs to complete.
"""

from __future__ import annotations

from endivepier.gateway import model
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.internal import rendezvous

# Burst that each owner must get, in tokens: enough for four programs at once.
TOKENS_PER_OWNER = 40.0
MIN_OWNERS = 2  # one may be lost at any time
# Hosts that follow an account's row, so that the one that becomes its owner has
# timed the leases of the former ones.
STANDBY_OWNERS = 1
# Below this burst, an account has one home owner: its owners' shares hold less
# than two programs need.
SINGLE_HOME_TOKENS = 25.0


class AccountOwners:
    """Ranks the known hosts for each account.

    Attributes:
        holder: name of this host.
        is_draining: whether this host owns nothing if it knows another one.
    """

    def __init__(
        self, holder: str, peers: peers_lib.Peers, tolerance: float
    ) -> None:
        """Initializes without ranking any hosts.

        Args:
            holder: name of this host.
            peers: the other hosts.
            tolerance: requests that each account may make beyond its burst.
        """
        self.holder = holder
        self.is_draining = False
        self._peers = peers
        self._tolerance = tolerance
        self._ranked_hosts: list[str] = []
        self._ranks: dict[tuple[str, int], list[str]] = {}

    def owners(self, account: model.Account) -> list[str]:
        """Returns the owners of an account, in rendezvous order.

        A host that drains counts as an owner only if it knows no other host.
        """
        return self._rank(account, self._owner_count(account))

    def follows(self, account: model.Account) -> bool:
        """Returns whether this host owns a share, or is next to own one."""
        count = self._owner_count(account) + STANDBY_OWNERS
        return self.holder in self._rank(account, count)

    def wanted_fraction(self, account: model.Account) -> float:
        """Returns the fraction of an account that this host should hold."""
        owners = self.owners(account)
        return 1.0 / len(owners) if self.holder in owners else 0.0

    def has_single_home(self, account: model.Account) -> bool:
        """Returns whether one owner is home to all programs of an account."""
        tokens = account.burst + self._tolerance
        return account.rate > 0 and tokens < SINGLE_HOME_TOKENS

    def is_single_home(self, account: model.Account) -> bool:
        """Returns whether this host is home to all programs of an account."""
        if not self.has_single_home(account):
            return False
        return self.owners(account)[0] == self.holder

    def home_owner(self, account: model.Account, program: str) -> str:
        """Returns the home owner of a program.

        Without a program, the owner is chosen by the name of this host.
        """
        owners = self.owners(account)
        if self.has_single_home(account):
            return owners[0]
        return rendezvous.choose(program or self.holder, owners)

    def _owner_count(self, account: model.Account) -> int:
        tokens = account.burst + self._tolerance
        return max(MIN_OWNERS, int(tokens / TOKENS_PER_OWNER))

    def _rank(self, account: model.Account, count: int) -> list[str]:
        """Returns the first hosts for an account, in rendezvous order."""
        hosts = self._peers.available_hosts()
        if not (self.is_draining and hosts):
            hosts.append(self.holder)
        if hosts != self._ranked_hosts:
            self._ranked_hosts = hosts
            self._ranks.clear()
        key = (account.name, count)
        ranked = self._ranks.get(key)
        if ranked is None:
            ranked = rendezvous.rank(account.name, hosts, count)
            self._ranks[key] = ranked
        return ranked.copy()
