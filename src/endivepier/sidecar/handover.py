"""Hands shards over to another sidecar without interrupting calls.

Shards are handed over when the process stops and when another sidecar becomes
their preferred owner. The successor raises the shard's epoch. Running calls
continue at the former owner and commit under the successor's lease. Further
calls of the same programs wait at the successor until the running ones have
finished, as they would have waited at the former owner.
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

REBALANCE_INTERVAL_SECONDS = 5.0
STABLE_PREFERENCE_SECONDS = 15.0
MAX_DEFERRAL_SECONDS = 60.0
SHARD_IDLE_SECONDS = 5.0
CALL_TIMEOUT_SECONDS = 2.0
STOP_TIMEOUT_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 0.05
MAX_CONCURRENT_HANDOVERS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Adopt:
    """Request to take a shard over from the sender.

    Attributes:
        shard: name of the shard.
        epoch: the epoch of the sender's ownership.
        version: version of the shard's row in the table.
        inherited: see `leases.ShardRow`.
        sender: address of the sender.
        incarnation: incarnation of the sender's process.
        in_use: ids of programs with a running call or unflushed changes.
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
    """Reply: the epoch and row version under which the shard was taken."""

    epoch: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """Tells the successor that the sender no longer uses these programs."""

    programs: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Attend:
    """Asks a shard's owner whether all of its programs are flushed."""

    shard: str


@dataclasses.dataclass(frozen=True, slots=True)
class Attended:
    """Reply: whether the owner has programs with unflushed changes."""

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
        # By shard: the preferred owner's address, and since when it has been
        # preferred.
        self._preferred_since: dict[str, tuple[str, float]] = {}
        self._unfinished_handovers = 0
        self._subscription: timers_lib.Subscription | None = None

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Registers the handlers of handover messages."""
        inbox.register(Adopt, Adopted, self.handle_adopt)
        inbox.register(Finished, Finished, self.handle_finished)
        inbox.register(Attend, Attended, self.handle_attend)

    def start(self) -> None:
        """Starts to move shards to their preferred owners periodically."""
        self._subscription = self._timers.every(
            REBALANCE_INTERVAL_SECONDS, self.rebalance
        )

    def drain(self) -> None:
        """Hands all shards over; running calls continue here."""
        pool = gevent.pool.Pool(MAX_CONCURRENT_HANDOVERS)
        for lease in self._shards.held():
            successor = self._shards.preferred_owner(lease.shard)
            if successor is not None and successor.address != self._me.address:
                pool.spawn(self.hand_over, lease, successor)
        pool.join()

    def stop(self) -> None:
        """Waits for running calls of moved shards and for pending commits."""
        if self._subscription is not None:
            self._subscription.cancel()
        deadline = self._timers.now() + STOP_TIMEOUT_SECONDS
        while self._unfinished_handovers and self._timers.now() < deadline:
            self._timers.sleep(POLL_INTERVAL_SECONDS)
        self._journal.flush(max(0.0, deadline - self._timers.now()))

    def rebalance(self) -> None:
        """Moves at most one shard that is due to its preferred owner.

        Also renews replica lists, evicts programs from memory and drops
        replicated turns that their owner has flushed.
        """
        self._shards.refresh_replicas()
        self._registry.evict()
        for shard in self._replicas.shards():
            self._drop_flushed(shard)
        for lease in self._shards.held():
            successor = self._shards.preferred_owner(lease.shard)
            if successor is None or successor.address == self._me.address:
                self._preferred_since.pop(lease.shard, None)
            elif self._is_due(lease.shard, successor.address):
                self._preferred_since.pop(lease.shard)
                self.hand_over(lease, successor)
                return

    def hand_over(self, lease: leases.Lease, successor: members.Member) -> bool:
        """Hands a shard over; returns whether `successor` owns it now."""
        in_use = self._registry.begin_handover(lease.shard)
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
            reply = self._peers.call(
                successor.address,
                message,
                Adopted,
                seconds=CALL_TIMEOUT_SECONDS,
            )
            successor_lease = leases.Lease(
                lease.shard, reply.epoch, reply.version
            )
            self._shards.record_handover(
                lease, successor_lease, successor.address
            )
        except (errors.PeerUnreachable, errors.Refused):
            return False
        finally:
            self._registry.end_handover(lease.shard)
        self._unfinished_handovers += 1
        gevent.spawn(
            self._report_finished, lease.shard, successor.address, in_use
        )
        return True

    def handle_adopt(self, req: Adopt) -> Adopted:
        """Takes a shard over from its owner.

        Calls of programs that the former owner still uses wait here; see
        `handle_finished`.
        """
        former_owner = registry_lib.FormerOwner(req.sender, req.incarnation)
        self._registry.block_calls(list(req.in_use), former_owner)
        try:
            lease = self._shards.adopt(
                req.shard, req.epoch, req.version, req.inherited
            )
        except errors.Refused:
            self._registry.unblock_calls(req.in_use)
            raise
        return Adopted(lease.epoch, lease.version)

    def handle_finished(self, req: Finished) -> Finished:
        """Admits calls of programs that the former owner no longer uses."""
        self._registry.unblock_calls(req.programs)
        return req

    def handle_attend(self, req: Attend) -> Attended:
        """Returns whether the shard has unflushed programs.

        Takes the shard over first if its owner is gone; that recovers what
        the replicas hold.
        """
        self._shards.acquire(_placeholder_program(req.shard))
        unflushed = any(
            self._journal.has_unflushed(program.stored)
            for _, program in self._registry.programs(req.shard)
        )
        return Attended(req.shard, unflushed)

    def _drop_flushed(self, shard: str) -> None:
        """Drops this replica's turns of a shard once they are flushed.

        The request makes a new owner take the shard if the former one is
        gone, so that turns held here are recovered before the next call.
        """
        snapshot = self._replicas.snapshot(shard)
        try:
            reply = self._owners.call(
                _placeholder_program(shard),
                Attend(shard),
                Attended,
                seconds=CALL_TIMEOUT_SECONDS,
            )
        except errors.Refused:
            return
        if not reply.unflushed:
            self._replicas.drop(shard, snapshot)

    def _is_due(self, shard: str, address: str) -> bool:
        """Returns whether a shard should move to `address` now.

        The preferred owner must have been the same for
        `STABLE_PREFERENCE_SECONDS`, so that an unstable host does not move
        shards back and forth. No program may be in use, and the shard must
        be idle, so that few prompt prefixes are computed again; after
        `MAX_DEFERRAL_SECONDS` it need not be idle any more.
        """
        now = self._timers.now()
        preferred, since = self._preferred_since.setdefault(
            shard, (address, now)
        )
        if preferred != address:
            self._preferred_since[shard] = (address, now)
            return False
        if now - since < STABLE_PREFERENCE_SECONDS:
            return False
        programs = [program for _, program in self._registry.programs(shard)]
        if any(self._registry.in_use(program) for program in programs):
            return False
        last_used = max(
            (program.last_used for program in programs), default=0.0
        )
        is_idle = now - last_used >= SHARD_IDLE_SECONDS
        return is_idle or now - since >= MAX_DEFERRAL_SECONDS

    def _report_finished(
        self, shard: str, successor: str, in_use: list[str]
    ) -> None:
        """Notifies the successor as programs stop being in use here."""
        pending = set(in_use)
        while pending:
            finished = [
                program_id
                for program_id in pending
                if (program := self._registry.peek(program_id)) is None
                or not self._registry.in_use(program)
            ]
            if finished:
                pending.difference_update(finished)
                self._notify(successor, Finished(tuple(finished)))
            self._timers.sleep(POLL_INTERVAL_SECONDS)
        if self._shards.handed_over_to(shard):
            self._registry.drop_shard(shard)
        self._unfinished_handovers -= 1

    def _notify(self, successor: str, message: Finished) -> None:
        try:
            self._peers.call(
                successor, message, Finished, seconds=CALL_TIMEOUT_SECONDS
            )
        except (errors.PeerUnreachable, errors.Refused):
            return


def _placeholder_program(shard: str) -> ids_lib.ProgramId:
    """Returns a program id that addresses the shard, not a real program."""
    return ids_lib.parse_program(f"{shard}.{0:024x}")
