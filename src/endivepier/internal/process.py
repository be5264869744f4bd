"""The components that every process of the system has, whatever its role.

An `Environment` contains the external dependencies of a process, such as time,
peers and the platform. A daemon passes real ones; tests pass stand-ins.
"""

from __future__ import annotations

import dataclasses
import random

from endivepier import errors
from endivepier import kernel as kernel_lib
from endivepier import timers as timers_lib
from endivepier.configuration import current as current_lib
from endivepier.configuration import follower as follower_lib
from endivepier.configuration import store as store_lib
from endivepier.internal import ids as ids_lib
from endivepier.internal import peers as peers_lib
from endivepier.limits import rows
from endivepier.limits import witness as witness_lib
from endivepier.membership import members
from endivepier.membership import view as view_lib
from endivepier.storage import clients as storage_clients
from endivepier.storage import commit
from endivepier.telemetry import metrics as metrics_lib

RETRY_AFTER_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """The external dependencies and the identity of a process.

    Attributes:
        address: "ip:port" at which other processes reach this one.
        data_centre: the name of its data centre.
        timers: the timer service.
        peers: sends messages to other processes.
        inbox: the registry of handlers for messages from other processes.
        platform: clients of the platform's table, objects and host list.
        rng: the source of random numbers.
        fleet_secret: the secret that all processes share.
    """

    address: str
    data_centre: str
    timers: timers_lib.Timers
    peers: peers_lib.Peers
    inbox: peers_lib.Inbox
    platform: storage_clients.Platform
    rng: random.Random
    fleet_secret: str


class Base:
    """The components that entry hosts and sidecars have in common.

    Attributes:
        incarnation: an id of this start of the process.
        state: the state set by start, drain and stop; see
            `effective_state` for the one that is reported.
    """

    def __init__(self, env: Environment, role: str, target: str = "") -> None:
        self.env = env
        self.kernel = kernel_lib.Kernel()
        self.ids = ids_lib.Ids(env.rng)
        self.metrics = metrics_lib.Metrics()
        self.current = current_lib.CurrentConfiguration()
        self.incarnation = self.ids.unique()
        self.state = members.MemberState.STARTING
        self.committer = commit.Committer(
            env.platform.table, env.timers, env.rng
        )
        self.store = store_lib.Store(
            env.platform.table,
            env.platform.objects,
            self.committer,
            env.timers,
        )
        self._role = role
        self._target = target
        self.view = view_lib.View(
            env.platform.hosts, env.peers, env.timers, self.describe
        )
        self.view.register(env.inbox)
        self.witness = witness_lib.Witness(self.incarnation, self._is_reachable)
        self.witness.register(env.inbox)
        self.follower = follower_lib.Follower(
            self.store,
            self.current,
            self.view,
            env.peers,
            env.timers,
            self.metrics,
            env.rng,
        )
        self.follower.register(env.inbox)
        self.kernel.register("configuration", self.follower)
        self.kernel.register("membership", self.view)

    def describe(self) -> members.Member:
        """Returns the membership entry that this process reports."""
        target = self.current.state.targets.get(self._target)
        return members.Member(
            address=self.env.address,
            role=self._role,
            data_centre=self.env.data_centre,
            target=self._target,
            pool="" if target is None else target.pool,
            state=self.effective_state(),
            incarnation=self.incarnation,
            revision=self.current.state.revision,
        )

    def _is_reachable(self, holder: rows.Process) -> bool:
        """Returns whether a process that holds rate limit rights is alive."""
        return self.view.find(holder.address) is not None

    def effective_state(self) -> members.MemberState:
        """Returns the state that this process reports to others.

        It differs from `state` in two cases. A process whose configuration is
        too old reports STARTING, and one that the platform's host list marks
        as leaving reports DRAINING.
        """
        if self.state is not members.MemberState.READY:
            return self.state
        if not self.follower.freshness.is_fresh():
            return members.MemberState.STARTING
        if self.view.is_leaving(self.env.address):
            return members.MemberState.DRAINING
        return self.state

    def check_ready(self) -> None:
        """Checks that this process accepts new work.

        Raises:
            errors.Refused: `NOT_READY`, if it does not.
        """
        state = self.effective_state()
        if state is not members.MemberState.READY:
            raise errors.Refused(
                errors.Code.NOT_READY,
                503,
                f"this process is {state.value}; use another one",
                retry_after=RETRY_AFTER_SECONDS,
            )

    def start(self) -> None:
        """Starts all services, then sets the state to READY."""
        self.kernel.start()
        self.state = members.MemberState.READY

    def drain(self) -> None:
        """Stops accepting work and drains all services; requests continue."""
        self.state = members.MemberState.DRAINING
        self.kernel.drain()

    def stop(self) -> None:
        """Stops all services; no request must be running then."""
        self.kernel.stop()
        self.state = members.MemberState.GONE
