"""Keeps the share-holders agreed: follows the table, proposes changes.

One small row is read each second. It names the epoch; the epoch's row is read
only when that changes, so neither reads nor writes grow with the accounts.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import math
from typing import Any

import gevent.pool
import xxhash

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.internal import peers as peers_lib
from endivepier.limits import leases
from endivepier.limits import messages
from endivepier.limits import rights as rights_lib
from endivepier.limits import rows
from endivepier.limits import witness as witness_lib
from endivepier.membership import members
from endivepier.membership import view as view_lib
from endivepier.storage import commit
from endivepier.storage import ports

POLL_SECONDS = 1.0
READ_SECONDS = 1.5
ASK_SECONDS = 0.5
COMMIT_SECONDS = 2.0
JOIN_SECONDS = 0.4
REJOIN_SECONDS = 20.0
SETTLE_SECONDS = 2.0
SPREAD_SECONDS = 2.0
WITNESS_SECONDS = 5.0
ABANDON_AFTER_SECONDS = 10.0
CONCURRENT_QUESTIONS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class _Verdicts:
    """What the witnesses said: how many granted, how many said nothing."""

    granted: int
    silent: int


class Agreement:
    """Follows and changes the epochs for one share-holder."""

    def __init__(
        self,
        rights: rights_lib.Rights,
        witness: witness_lib.Witness,
        table: ports.Table,
        committer: commit.Committer,
        peers: peers_lib.Peers,
        view: view_lib.View,
        timers: timers_lib.Timers,
        ids: ids_lib.Ids,
        loans_left: Callable[[], float],
    ) -> None:
        """Makes the service; it reads nothing until `start`.

        Args:
            rights: what this process may use.
            witness: this process's own witness.
            table: the platform's table.
            committer: commits to it.
            peers: the way to other witnesses.
            view: the processes that are there.
            timers: the timer service.
            ids: makes write ids.
            loans_left: returns how long loans of this process may last yet.
        """
        self._rights = rights
        self._witness = witness
        self._table = table
        self._committer = committer
        self._peers = peers
        self._view = view
        self._timers = timers
        self._ids = ids
        self._loans_left = loans_left
        self._head: ports.Row | None = None
        self._last_read = -math.inf
        self._misfit_since = math.inf
        self._judged = 0
        self._was_holder = False
        self._handle: timers_lib.Handle | None = None
        self._stopped = False

    def start(self) -> None:
        """Reads the epoch, proposes the first one, then follows."""
        if self._read() and self._rights.me not in self._rights.epoch.holders:
            self._propose(self._joined())
            self._read()
        self._arm()

    def drain(self) -> None:
        """Gives up the shares and hands them back; loans still serve."""
        self.stop()
        holders = self._rights.epoch.holders
        rest = tuple(item for item in holders if item != self._rights.me)
        if rest != holders:
            self._propose(rest, handed_back=True)

    def stop(self) -> None:
        """Stops following, and gives up the shares."""
        self._stopped = True
        if self._handle is not None:
            self._handle.cancel()
        self._rights.give_up()

    def poll(self) -> None:
        """Renews the rights, from the table or from the witnesses."""
        if self._read():
            self._adapt()
            return
        since = self._timers.now() - self._last_read
        if self._rights.epoch.number and since < leases.ABANDON_SECONDS:
            self._gather_vouches()

    def _arm(self) -> None:
        """Sets the timer for the next poll; a new holder is in a hurry."""
        joined = self._rights.is_holder()
        seconds = POLL_SECONDS if joined else JOIN_SECONDS
        self._handle = self._timers.after(seconds, self._fire)

    def _fire(self) -> None:
        if self._stopped:
            return
        try:
            self.poll()
        finally:
            if not self._stopped:
                self._arm()

    def _read(self) -> bool:
        """Reads the epoch in force; returns whether the table answered."""
        started = self._timers.now()
        try:
            with self._timers.limit(READ_SECONDS):
                epoch = self._read_epoch()
        except (errors.Unavailable, errors.DeadlineExceeded):
            return False
        if epoch is not None:
            self._rights.follow(epoch, started)
            self._was_holder |= self._rights.is_holder()
            self._last_read = started
        return True

    def _read_epoch(self) -> rows.Epoch | None:
        found = self._table.get(rows.HEAD_KEY)
        if found is None:
            return None
        head = codec.decode(rows.Head, found.value)
        if head.epoch == self._rights.epoch.number:
            self._head = found
            return self._rights.epoch
        row = self._table.get(rows.epoch_key(head.epoch))
        if row is None:
            raise errors.Unavailable(f"the row of epoch {head.epoch} is gone")
        epoch: rows.Epoch = codec.decode(rows.Epoch, row.value)
        # Kept only together with its epoch, since the condition of the next
        # proposal must be the version that its number follows.
        self._head = found
        return epoch

    def _gather_vouches(self) -> None:
        epoch = self._rights.epoch
        started = self._timers.now()
        verdicts = self._ask(
            lambda witness: messages.Vouch(epoch.number, witness.incarnation)
        )
        if verdicts.granted < epoch.vouches_needed:
            return
        lease = started + leases.usable(leases.LEASE_SECONDS)
        end = self._last_read + leases.usable(leases.ABANDON_SECONDS)
        self._rights.renew(min(lease, end))

    def _adapt(self) -> None:
        """Proposes other holders or witnesses if these stay unfit."""
        now = self._timers.now()
        if self._rights.epoch.number != self._judged:
            # Another's change deserves its time, or they would go on forever.
            self._judged = self._rights.epoch.number
            self._misfit_since = math.inf
        holders = self._wanted_holders()
        if holders is None and self._witnesses_fit():
            self._misfit_since = math.inf
            return
        self._misfit_since = min(self._misfit_since, now)
        patience = self._patience()
        if holders is None:
            patience += WITNESS_SECONDS
        if now - self._misfit_since >= patience:
            self._propose(holders or self._rights.epoch.holders)

    def _wanted_holders(self) -> tuple[rows.Process, ...] | None:
        """Returns the holders that there should be; None if they are."""
        holders = self._rights.epoch.holders
        if self._rights.me not in holders:
            return self._joined()
        kept = tuple(item for item in holders if self._is_there(item))
        return None if kept == holders else kept

    def _is_there(self, holder: rows.Process) -> bool:
        """Returns whether a holder, or a later incarnation, answers.

        A later incarnation takes the place of the earlier one by itself. Who
        drains hands back by itself.
        """
        return self._view.find(holder.address) is not None

    def _joined(self) -> tuple[rows.Process, ...]:
        """Returns the holders with this process in addition.

        A process that joins removes nobody but its own earlier incarnation,
        since its view may not be whole yet.
        """
        me = self._rights.me
        others = {
            item
            for item in self._rights.epoch.holders
            if item.address != me.address
        }
        return _in_order(others | {me})

    def _patience(self) -> float:
        """Returns how long to wait, so that not all propose at once."""
        holders = self._rights.epoch.holders
        me = self._rights.me
        if me not in holders:
            # Who was removed although it is there would be removed again.
            return REJOIN_SECONDS if self._was_holder else 0.0
        rank = list(holders).index(me) / len(holders)
        return SETTLE_SECONDS + SPREAD_SECONDS * rank

    def _witnesses_fit(self) -> bool:
        """Returns whether enough of the witnesses are still there."""
        alive = {_process(member) for member in self._view.reachable_members()}
        listed = self._rights.epoch.witnesses
        there = sum(1 for witness in listed if witness in alive)
        wanted = min(rows.MAX_WITNESSES, len(alive))
        return 4 * there >= 3 * max(wanted, len(listed))

    def _propose(
        self, holders: tuple[rows.Process, ...], *, handed_back: bool = False
    ) -> None:
        """Tries to have the next epoch written; gives up quietly."""
        old = self._rights.epoch
        removed = tuple(item for item in old.holders if item not in holders)
        lapse = self._lapse_agreed(old, removed, handed_back=handed_back)
        if lapse is None:
            return
        epoch = rows.Epoch(
            number=old.number + 1,
            holders=holders,
            witnesses=self._choose_witnesses(),
            lapse_seconds=max(lapse, self._rights.settled_in()),
            earlier=self._rights.predecessors(),
        )
        try:
            self._write(epoch)
        except (
            errors.ConditionFailed,
            errors.Unavailable,
            errors.OutcomeUnknown,
        ):
            return
        self._misfit_since = math.inf

    def _lapse_agreed(
        self,
        old: rows.Epoch,
        removed: tuple[rows.Process, ...],
        *,
        handed_back: bool,
    ) -> float | None:
        """Returns when the old epoch's rights are over; None if refused."""
        if old.number == 0:
            return 0.0
        deposed = tuple(
            holder
            for holder in removed
            if holder.address != self._rights.me.address
        )
        verdicts = self._ask(
            lambda witness: messages.Consent(old.number, deposed)
        )
        if verdicts.granted >= old.consents_needed:
            # Who hands back has stopped already, and the shares of all others
            # only grow, so that just its loans have to be waited for.
            return self._loans_left() if handed_back else leases.LEASE_SECONDS
        most = len(old.witnesses) - verdicts.silent
        waited = self._timers.now() - self._misfit_since
        if most < old.consents_needed and waited >= ABANDON_AFTER_SECONDS:
            return leases.ABANDON_SECONDS
        return None

    def _write(self, epoch: rows.Epoch) -> None:
        value = codec.encode(rows.Head(epoch.number, self._ids.unique()))
        condition: ports.Condition = ports.Absent(rows.HEAD_KEY)
        if self._head is not None:
            condition = ports.VersionIs(rows.HEAD_KEY, self._head.version)
        txn = ports.Transaction(
            (condition,),
            (
                ports.Put(rows.HEAD_KEY, value),
                ports.Put(rows.epoch_key(epoch.number), codec.encode(epoch)),
                ports.Delete(rows.epoch_key(epoch.number - 1)),
            ),
        )
        proof = commit.Proof(rows.HEAD_KEY, lambda found: found == value)
        self._committer.commit(txn, proof, seconds=COMMIT_SECONDS)

    def _choose_witnesses(self) -> tuple[rows.Process, ...]:
        """Returns some of the processes that are there, this one included."""
        me = self._rights.me
        others = [
            _process(member)
            for member in self._view.reachable_members()
            if member.address != me.address
            and member.state is not members.MemberState.DRAINING
            and member.incarnation
        ]
        others.sort(
            key=lambda item: xxhash.xxh3_64_intdigest(item.address.encode())
        )
        return _in_order({me, *others[: rows.MAX_WITNESSES - 1]})

    def _ask(self, make: Callable[[rows.Process], Any]) -> _Verdicts:
        """Asks all witnesses of the epoch at the same time."""
        verdicts: list[bool] = []

        def ask(witness: rows.Process) -> None:
            try:
                verdict = self._ask_one(witness, make(witness))
            except (errors.PeerUnreachable, errors.Refused):
                return
            verdicts.append(verdict.granted)

        witnesses = self._rights.epoch.witnesses
        pool = gevent.pool.Pool(CONCURRENT_QUESTIONS)
        for witness in witnesses:
            pool.spawn(ask, witness)
        pool.join()
        return _Verdicts(sum(verdicts), len(witnesses) - len(verdicts))

    def _ask_one(
        self, witness: rows.Process, req: messages.Vouch | messages.Consent
    ) -> messages.Verdict:
        verdict: messages.Verdict
        if witness.address != self._rights.me.address:
            verdict = self._peers.call(
                witness.address, req, messages.Verdict, seconds=ASK_SECONDS
            )
            return verdict
        match req:
            case messages.Vouch():
                return self._witness.vouch(req)
            case messages.Consent():
                return self._witness.consent(req)


def _process(member: members.Member) -> rows.Process:
    return rows.Process(member.address, member.incarnation)


def _in_order(processes: set[rows.Process]) -> tuple[rows.Process, ...]:
    return tuple(
        sorted(processes, key=lambda item: (item.address, item.incarnation))
    )
