"""Follows the epoch of the share-holders in the table and proposes the next.

A share-holder is a process that may use a fraction of the accounts' rate and
burst. An epoch lists the share-holders. Each share-holder reads one small row
a second, which holds the number of the current epoch, and reads the epoch's
own row only when that number changes. So neither reads nor writes grow with
the number of accounts.
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
READ_TIMEOUT_SECONDS = 1.5
WITNESS_TIMEOUT_SECONDS = 0.5
COMMIT_TIMEOUT_SECONDS = 2.0
JOIN_POLL_SECONDS = 0.4
REJOIN_DELAY_SECONDS = 20.0
PROPOSAL_DELAY_SECONDS = 2.0
PROPOSAL_STAGGER_SECONDS = 2.0
WITNESS_CHANGE_DELAY_SECONDS = 5.0
QUORUM_LOSS_SECONDS = 10.0
MAX_CONCURRENT_REQUESTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class _Votes:
    """How many witnesses granted a request, and how many did not reply."""

    granted: int
    unanswered: int


class Agreement:
    """Follows the epochs and proposes new ones, for one share-holder."""

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
        loan_seconds_left: Callable[[], float],
    ) -> None:
        """Creates the service; it reads nothing until `start`.

        Args:
            rights: the fractions of the accounts that this process may use.
            witness: the witness of this process.
            table: the platform's table.
            committer: commits transactions to the table.
            peers: sends requests to the witnesses of other processes.
            view: the processes that are reachable.
            timers: the timer service.
            ids: generates write ids.
            loan_seconds_left: returns the seconds until all loans that this
                process has granted have ended.
        """
        self._rights = rights
        self._witness = witness
        self._table = table
        self._committer = committer
        self._peers = peers
        self._view = view
        self._timers = timers
        self._ids = ids
        self._loan_seconds_left = loan_seconds_left
        self._head_row: ports.Row | None = None
        self._last_read_at = -math.inf
        self._unfit_since = math.inf
        self._assessed_epoch = 0
        self._was_holder = False
        self._poll_timer: timers_lib.Handle | None = None
        self._stopped = False

    def start(self) -> None:
        """Reads the epoch, proposes to join the holders, starts polling."""
        if self._follow() and self._rights.me not in self._rights.epoch.holders:
            self._propose(self._holders_with_me())
            self._follow()
        self._schedule_poll()

    def drain(self) -> None:
        """Gives up and returns the shares; granted loans stay valid."""
        self.stop()
        holders = self._rights.epoch.holders
        others = tuple(item for item in holders if item != self._rights.me)
        if others != holders:
            self._propose(others, drains=True)

    def stop(self) -> None:
        """Stops polling and gives up the shares."""
        self._stopped = True
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._rights.give_up()

    def poll(self) -> None:
        """Renews the rights from the table, or else from the witnesses."""
        if self._follow():
            self._propose_if_unfit()
            return
        since = self._timers.now() - self._last_read_at
        if self._rights.epoch.number and since < leases.MAX_VOUCHED_SECONDS:
            self._gather_vouches()

    def _schedule_poll(self) -> None:
        """Schedules the next poll, sooner while this process is no holder."""
        is_holder = self._rights.is_holder()
        seconds = POLL_SECONDS if is_holder else JOIN_POLL_SECONDS
        self._poll_timer = self._timers.after(seconds, self._run_poll)

    def _run_poll(self) -> None:
        if self._stopped:
            return
        try:
            self.poll()
        finally:
            if not self._stopped:
                self._schedule_poll()

    def _follow(self) -> bool:
        """Follows the current epoch; returns whether the table replied."""
        started = self._timers.now()
        try:
            with self._timers.limit(READ_TIMEOUT_SECONDS):
                epoch = self._read_epoch()
        except (errors.Unavailable, errors.DeadlineExceeded):
            return False
        if epoch is not None:
            self._rights.follow(epoch, started)
            self._was_holder |= self._rights.is_holder()
            self._last_read_at = started
        return True

    def _read_epoch(self) -> rows.Epoch | None:
        head_row = self._table.get(rows.HEAD_KEY)
        if head_row is None:
            return None
        head = codec.decode(rows.Head, head_row.value)
        if head.epoch == self._rights.epoch.number:
            self._head_row = head_row
            return self._rights.epoch
        row = self._table.get(rows.epoch_key(head.epoch))
        if row is None:
            raise errors.Unavailable(f"no row for epoch {head.epoch}")
        epoch: rows.Epoch = codec.decode(rows.Epoch, row.value)
        # Set only once the epoch's row was read: the next proposal's number
        # follows this epoch's, so it must require this version of the head.
        self._head_row = head_row
        return epoch

    def _gather_vouches(self) -> None:
        """Renews the rights if a majority of witnesses vouches for them."""
        epoch = self._rights.epoch
        started = self._timers.now()
        votes = self._query_witnesses(
            lambda witness: messages.Vouch(epoch.number, witness.incarnation)
        )
        if votes.granted < epoch.vouches_needed:
            return
        until = started + leases.usable(leases.LEASE_SECONDS)
        latest = self._last_read_at + leases.usable(leases.MAX_VOUCHED_SECONDS)
        self._rights.renew(min(until, latest))

    def _propose_if_unfit(self) -> None:
        """Proposes a new epoch if the current one stays unfit for a delay.

        An epoch is unfit if this process is not a holder, if a holder is
        unreachable, or if too few witnesses are reachable.
        """
        now = self._timers.now()
        if self._rights.epoch.number != self._assessed_epoch:
            # Restarts the delay after a new epoch by another process. Otherwise
            # the processes could replace each other's epochs without end.
            self._assessed_epoch = self._rights.epoch.number
            self._unfit_since = math.inf
        holders = self._desired_holders()
        if holders is None and self._has_enough_witnesses():
            self._unfit_since = math.inf
            return
        self._unfit_since = min(self._unfit_since, now)
        delay = self._proposal_delay()
        if holders is None:
            delay += WITNESS_CHANGE_DELAY_SECONDS
        if now - self._unfit_since >= delay:
            self._propose(holders or self._rights.epoch.holders)

    def _desired_holders(self) -> tuple[rows.Process, ...] | None:
        """Returns the holders to propose; None to keep the current ones."""
        holders = self._rights.epoch.holders
        if self._rights.me not in holders:
            return self._holders_with_me()
        reachable = tuple(item for item in holders if self._is_reachable(item))
        return None if reachable == holders else reachable

    def _is_reachable(self, holder: rows.Process) -> bool:
        """Returns whether a process at the holder's address is reachable.

        It may be a later incarnation, which proposes by itself to replace the
        earlier one. A holder that drains proposes its own removal.
        """
        return self._view.find(holder.address) is not None

    def _holders_with_me(self) -> tuple[rows.Process, ...]:
        """Returns the current holders and this process.

        A process that joins removes only its own earlier incarnation, since
        its view of the other processes may be incomplete.
        """
        me = self._rights.me
        others = {
            item
            for item in self._rights.epoch.holders
            if item.address != me.address
        }
        return _sorted(others | {me})

    def _proposal_delay(self) -> float:
        """Returns the seconds before a proposal, staggered over the holders."""
        holders = self._rights.epoch.holders
        me = self._rights.me
        if me not in holders:
            # A process that was removed while it runs is probably still
            # unreachable for some holders, which would remove it again.
            return REJOIN_DELAY_SECONDS if self._was_holder else 0.0
        rank = list(holders).index(me) / len(holders)
        return PROPOSAL_DELAY_SECONDS + PROPOSAL_STAGGER_SECONDS * rank

    def _has_enough_witnesses(self) -> bool:
        """Returns whether three quarters of the witnesses are reachable.

        The base is the number of witnesses that this epoch lists, or the
        number that a new epoch could list if that is larger.
        """
        alive = {_process(member) for member in self._view.reachable_members()}
        listed = self._rights.epoch.witnesses
        reachable = sum(1 for witness in listed if witness in alive)
        wanted = min(rows.MAX_WITNESSES, len(alive))
        return 4 * reachable >= 3 * max(wanted, len(listed))

    def _propose(
        self, holders: tuple[rows.Process, ...], *, drains: bool = False
    ) -> None:
        """Tries to write the next epoch; later polls retry a failure."""
        old = self._rights.epoch
        removed = tuple(item for item in old.holders if item not in holders)
        lapse = self._agree_lapse(old, removed, drains=drains)
        if lapse is None:
            return
        epoch = rows.Epoch(
            number=old.number + 1,
            holders=holders,
            witnesses=self._choose_witnesses(),
            lapse_seconds=max(lapse, self._rights.seconds_until_unbounded()),
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
        self._unfit_since = math.inf

    def _agree_lapse(
        self,
        old: rows.Epoch,
        removed: tuple[rows.Process, ...],
        *,
        drains: bool,
    ) -> float | None:
        """Returns how long old rights stay valid; None if `old` can't end."""
        if old.number == 0:
            return 0.0
        removed_others = tuple(
            holder
            for holder in removed
            if holder.address != self._rights.me.address
        )
        votes = self._query_witnesses(
            lambda witness: messages.Consent(old.number, removed_others)
        )
        if votes.granted >= old.consents_needed:
            # A holder that returns its shares has stopped using them, and the
            # shares of all others only grow. So only its loans must end.
            return self._loan_seconds_left() if drains else leases.LEASE_SECONDS
        # If too few witnesses reply to ever consent, the old rights still end
        # MAX_VOUCHED_SECONDS after the last read of the table.
        max_votes = len(old.witnesses) - votes.unanswered
        unfit_for = self._timers.now() - self._unfit_since
        if max_votes < old.consents_needed and unfit_for >= QUORUM_LOSS_SECONDS:
            return leases.MAX_VOUCHED_SECONDS
        return None

    def _write(self, epoch: rows.Epoch) -> None:
        value = codec.encode(rows.Head(epoch.number, self._ids.unique()))
        condition: ports.Condition = ports.Absent(rows.HEAD_KEY)
        if self._head_row is not None:
            condition = ports.VersionIs(rows.HEAD_KEY, self._head_row.version)
        txn = ports.Transaction(
            (condition,),
            (
                ports.Put(rows.HEAD_KEY, value),
                ports.Put(rows.epoch_key(epoch.number), codec.encode(epoch)),
                ports.Delete(rows.epoch_key(epoch.number - 1)),
            ),
        )
        proof = commit.Proof(rows.HEAD_KEY, lambda stored: stored == value)
        self._committer.commit(txn, proof, seconds=COMMIT_TIMEOUT_SECONDS)

    def _choose_witnesses(self) -> tuple[rows.Process, ...]:
        """Returns this process and reachable others, chosen by hash."""
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
        return _sorted({me, *others[: rows.MAX_WITNESSES - 1]})

    def _query_witnesses(self, make: Callable[[rows.Process], Any]) -> _Votes:
        """Sends a request to all witnesses of the epoch concurrently."""
        votes: list[bool] = []

        def query(witness: rows.Process) -> None:
            try:
                verdict = self._query_witness(witness, make(witness))
            except (errors.PeerUnreachable, errors.Refused):
                return
            votes.append(verdict.granted)

        witnesses = self._rights.epoch.witnesses
        pool = gevent.pool.Pool(MAX_CONCURRENT_REQUESTS)
        for witness in witnesses:
            pool.spawn(query, witness)
        pool.join()
        return _Votes(sum(votes), len(witnesses) - len(votes))

    def _query_witness(
        self, witness: rows.Process, req: messages.Vouch | messages.Consent
    ) -> messages.Verdict:
        verdict: messages.Verdict
        if witness.address != self._rights.me.address:
            verdict = self._peers.call(
                witness.address,
                req,
                messages.Verdict,
                seconds=WITNESS_TIMEOUT_SECONDS,
            )
            return verdict
        match req:
            case messages.Vouch():
                return self._witness.vouch(req)
            case messages.Consent():
                return self._witness.consent(req)


def _process(member: members.Member) -> rows.Process:
    return rows.Process(member.address, member.incarnation)


def _sorted(processes: set[rows.Process]) -> tuple[rows.Process, ...]:
    return tuple(
        sorted(processes, key=lambda item: (item.address, item.incarnation))
    )
