"""Hands shards over without a pause: at a stop, and to a preferred owner.

The successor raises the epoch; calls that run go on at the former owner and
are committed under the successor's lease, while calls of just these programs
wait at the successor, as they would have waited behind the running call.
"""

from __future__ import annotations

import dataclasses

import gevent.pool

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.history import journal as journal_lib
from endivepier.history import replicas as replicas_lib
from endivepier.internal import ids as ids_lib
from endivepier.internal import peers as peers_lib
from endivepier.membership import members
from endivepier.ownership import leases
from endivepier.ownership import shards as shards_lib
from endivepier.sidecar import child_budgets
from endivepier.sidecar import registry as registry_lib

TICK_SECONDS = 5.0
SETTLED_SECONDS = 15.0
PATIENCE_SECONDS = 60.0
IDLE_SECONDS = 5.0
ADOPT_SECONDS = 2.0
STOP_SECONDS = 5.0
POLL_SECONDS = 0.05
CONCURRENT_HANDOVERS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Adopt:
    """Message: take this shard over from the sender.

    Attributes:
        shard: the shard.
        epoch: the sender's epoch.
        version: version of the shard's row.
        inherited: see `leases.ShardRow`.
        sender: address of the sender.
        incarnation: which start of the sender.
        in_use: programs that the sender still works on.
    """

    shard: str
    epoch: int
    version: int
    inherited: int
    sender: str
    incarnation: str
    in_use: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Adopted:
    """Answer: it was taken under this epoch and version."""

    epoch: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """Message: the sender is done with these programs."""

    programs: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Attend:
    """Message: see that nothing of this shard stays unflushed."""

    shard: str


@dataclasses.dataclass(frozen=True, slots=True)
class Attended:
    """Answer: whether the owner has programs that are not flushed."""

    shard: str
    unflushed: bool


class Handover:
    """Moves shards between sidecars."""

    def __init__(
        self,
        shards: shards_lib.Shards,
        registry: registry_lib.Registry,
        journal: journal_lib.Journal,
        replicas: replicas_lib.Replicas,
        owners: child_budgets.OwnerClient,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        me: members.Member,
    ) -> None:
        self._shards = shards
        self._registry = registry
        self._journal = journal
        self._replicas = replicas
        self._owners = owners
        self._peers = peers
        self._timers = timers
        self._me = me
        self._wanted: dict[str, tuple[str, float]] = {}
        self._finishing = 0
        self._subscription: timers_lib.Subscription | None = None

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Takes the messages about handovers."""
        inbox.register(Adopt, Adopted, self.adopt)
        inbox.register(Finished, Finished, self.finished)
        inbox.register(Attend, Attended, self.attend)

    def start(self) -> None:
        """Starts to look for shards that belong elsewhere."""
        self._subscription = self._timers.every(TICK_SECONDS, self.tick)

    def drain(self) -> None:
        """Hands all shards over; calls that run go on."""
        pool = gevent.pool.Pool(CONCURRENT_HANDOVERS)
        for lease in self._shards.held():
            to = self._shards.preferred(lease.shard)
            if to is not None and to.address != self._me.address:
                pool.spawn(self.hand_over, lease, to)
        pool.join()

    def stop(self) -> None:
        """Waits for the calls that still run and for the last commits."""
        if self._subscription is not None:
            self._subscription.cancel()
        deadline = self._timers.now() + STOP_SECONDS
        while self._finishing and self._timers.now() < deadline:
            self._timers.sleep(POLL_SECONDS)
        self._journal.flush(max(0.0, deadline - self._timers.now()))

    def tick(self) -> None:
        """Moves at most one shard to its preferred owner, if it is cheap."""
        self._shards.refresh_replicas()
        self._registry.evict()
        for shard in self._replicas.shards():
            self._see_to(shard)
        for lease in self._shards.held():
            to = self._shards.preferred(lease.shard)
            if to is None or to.address == self._me.address:
                self._wanted.pop(lease.shard, None)
            elif self._is_due(lease.shard, to.address):
                self._wanted.pop(lease.shard)
                self.hand_over(lease, to)
                return

    def hand_over(self, lease: leases.Lease, to: members.Member) -> bool:
        """Hands a shard over; returns whether `to` has it now."""
        in_use = self._registry.leave(lease.shard)
        message = Adopt(
            shard=lease.shard,
            epoch=lease.epoch,
            version=lease.version,
            inherited=lease.inherited,
            sender=self._me.address,
            incarnation=self._me.incarnation,
            in_use=tuple(in_use),
        )
        try:
            answer = self._peers.call(
                to.address, message, Adopted, seconds=ADOPT_SECONDS
            )
            new = leases.Lease(lease.shard, answer.epoch, answer.version)
            self._shards.pass_on(lease, new, to.address)
        except (errors.PeerUnreachable, errors.Refused):
            return False
        finally:
            self._registry.left(lease.shard)
        self._finishing += 1
        gevent.spawn(self._finish, lease.shard, to.address, in_use)
        return True

    def adopt(self, req: Adopt) -> Adopted:
        """Takes a shard over from an owner that offers it."""
        finisher = registry_lib.Finisher(req.sender, req.incarnation)
        self._registry.await_finishing(list(req.in_use), finisher)
        try:
            lease = self._shards.adopt(
                req.shard, req.epoch, req.version, req.inherited
            )
        except errors.Refused:
            self._registry.finished(req.in_use)
            raise
        return Adopted(lease.epoch, lease.version)

    def finished(self, req: Finished) -> Finished:
        """Lets calls of programs run here that the sender is done with."""
        self._registry.finished(req.programs)
        return req

    def attend(self, req: Attend) -> Attended:
        """Takes the shard if its owner is gone; tells if all is flushed."""
        self._shards.lease(_probe(req.shard))
        unflushed = any(
            self._journal.is_open(program.stored)
            for _, program in self._registry.programs(req.shard)
        )
        return Attended(req.shard, unflushed)

    def _see_to(self, shard: str) -> None:
        """Has the owner of a shard, or a new one, flush what is held here."""
        before = self._replicas.snapshot(shard)
        try:
            answer = self._owners.call(
                _probe(shard), Attend(shard), Attended, seconds=ADOPT_SECONDS
            )
        except errors.Refused:
            return
        if not answer.unflushed:
            self._replicas.drop(shard, before)

    def _is_due(self, shard: str, address: str) -> bool:
        """Returns whether a shard should move to `address` now.

        The preferred owner must have been the same for a while, so that a
        host that comes and goes moves nothing, and the shard must be quiet,
        so that few prefixes are computed again.
        """
        now = self._timers.now()
        wanted, since = self._wanted.setdefault(shard, (address, now))
        if wanted != address:
            self._wanted[shard] = (address, now)
            return False
        if now - since < SETTLED_SECONDS:
            return False
        programs = [program for _, program in self._registry.programs(shard)]
        if any(self._registry.in_use(program) for program in programs):
            return False
        last = max((program.used for program in programs), default=0.0)
        quiet = now - last >= IDLE_SECONDS
        return quiet or now - since >= PATIENCE_SECONDS

    def _finish(self, shard: str, to: str, in_use: list[str]) -> None:
        """Tells the successor about each program once it is done here."""
        left = set(in_use)
        while left:
            done = [
                name
                for name in left
                if (program := self._registry.peek(name)) is None
                or not self._registry.in_use(program)
            ]
            if done:
                left.difference_update(done)
                self._tell(to, Finished(tuple(done)))
            self._timers.sleep(POLL_SECONDS)
        if self._shards.passed_on_to(shard):
            self._registry.forget(shard)
        self._finishing -= 1

    def _tell(self, to: str, message: Finished) -> None:
        try:
            self._peers.call(to, message, Finished, seconds=ADOPT_SECONDS)
        except (errors.PeerUnreachable, errors.Refused):
            return


def _probe(shard: str) -> ids_lib.ProgramId:
    """Returns the id of a program that a shard could have."""
    return ids_lib.parse_program(f"{shard}.{0:024x}")
