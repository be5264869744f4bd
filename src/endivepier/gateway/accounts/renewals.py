"""Renews the leases on this host's shares of the accounts' rates.

An account's owners, see `accounts.owners`, hold its shares.
"""

from __future__ import annotations

import random
import uuid

import eliot
import gevent
import gevent.event

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import model
from endivepier.gateway.accounts import owners as account_owners
from endivepier.gateway.accounts import planning
from endivepier.gateway.accounts import rows as share_rows
from endivepier.gateway.accounts import takeovers as takeovers_lib
from endivepier.gateway.accounts import term_witness
from endivepier.gateway.accounts import terms as terms_lib
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.store import rows
from endivepier.gateway.targets import catalog as catalog_lib
from endivepier.internal import codec
from endivepier.internal import failures
from endivepier.limits import bucket as bucket_lib
from endivepier.limits import leases
from endivepier.storage import commit
from endivepier.storage import ports
from endivepier.storage import scans

# How often an owner looks for a share that it lacks, and how late it notices
# that the share of a lost owner is free.
POLL_INTERVAL_SECONDS = 1.0
BLOCKED_INTERVAL_SECONDS = 0.25  # while another host's entry is in the way
COMMIT_TIMEOUT_SECONDS = 2.0  # less than the interval of renewals
# Above this many rows, one scan of the table is cheaper than single reads.
MAX_SINGLE_READS = 16
# A transaction holds 100 entries, and a row takes a condition and a put.
MAX_BATCH_ROWS = 45

# Fraction of the operators' tolerance that is added to each burst. A bucket
# admits whole tokens only, so that a small account would otherwise lose most
# of its burst by the split over owners.
TOLERANCE_FRACTION = 0.7


class Renewals:
    """Keeps the leases of one host.

    Attributes:
        ready: whether a round of renewals has succeeded.
        started_at: when this process started, monotonic seconds.
        host_count: number of known hosts, this one included.
        local: the shares of this host.
        owners: ranks the hosts for each account.
        terms: the terms in which shares are used.
        holder: name of this host, the same after a restart.
    """

    def __init__(
        self,
        holder: str,
        catalog: catalog_lib.Catalog,
        table: ports.Table,
        timers: timers_lib.Timers,
        rng: random.Random,
        peers: peers_lib.Peers,
        tolerance: float,
    ) -> None:
        """Initializes without renewing anything; see `start`.

        Args:
            holder: name of this host, the same after a restart.
            catalog: declares the accounts.
            table: stores the rows.
            timers: the timer service.
            rng: spreads renewals over time.
            peers: the other hosts.
            tolerance: requests beyond the burst that the operators tolerate
                of each account, over all hosts.
        """
        self.ready = False
        self.started_at = timers.now()
        self.host_count = 1
        self.holder = holder
        self._catalog = catalog
        self._table = table
        self._timers = timers
        self._rng = rng
        self._peers = peers
        self.local = share_rows.LocalShares(tolerance * TOLERANCE_FRACTION)
        self.owners = account_owners.AccountOwners(
            holder, peers, self.local.tolerance
        )
        self._committer = commit.Committer(table, timers, rng)
        self.terms = terms_lib.Terms(
            holder, peers, timers, rng, self._has_rates
        )
        self.terms.subscribe(lambda: self._wake.set())
        self._planner = planning.Planner(
            self.owners,
            peers,
            timers,
            self.terms,
            takeovers_lib.Takeovers(
                holder,
                peers,
                timers,
                term_witness.TermWitness(uuid.uuid4().hex[:16], peers, timers),
            ),
            tolerance * (1.0 - TOLERANCE_FRACTION),
        )
        self._read_at: dict[str, float] = {}  # by account: its last read
        self._is_failing = False
        self._wake = gevent.event.Event()
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the task that renews the leases."""
        self.terms.start(self.local.terms)
        self._task = gevent.spawn(self._run)

    def is_usable(self, share: share_rows.Share) -> bool:
        """Returns whether no other host can have taken over a share."""
        return self.terms.may_use(share.terms)

    def _has_rates(self) -> bool:
        declaration = self._catalog.declaration
        return declaration is not None and any(
            account.rate > 0 for account in declaration.accounts.values()
        )

    def drain(self) -> None:
        """Releases this host's shares, so that others can use them at once."""
        self.owners.is_draining = True
        self._wake.set()

    def stop(self) -> None:
        """Stops renewing, so that the leases lapse."""
        if self._task is not None:
            self._task.kill()

    def _run(self) -> None:
        while True:
            self._wake.clear()
            try:
                self._renew_all()
                self._log_change(None)
            except errors.ConditionFailed:
                # Another host wrote a row first; the next round reads it.
                self._timers.sleep(self._rng.uniform(0.005, 0.05))
                continue
            except (errors.Unavailable, errors.OutcomeUnknown) as exc:
                self._log_change(exc)
            except Exception as exc:
                failures.log(exc)
                self._log_change(exc)
            self._clear_lapsed()
            seconds = POLL_INTERVAL_SECONDS
            if not self.ready:
                seconds = POLL_INTERVAL_SECONDS / 10
            elif self._planner.is_blocked:
                seconds = BLOCKED_INTERVAL_SECONDS
            self._timers.wait(self._wake, seconds * self._rng.uniform(0.8, 1.2))

    def _log_change(self, exc: Exception | None) -> None:
        """Logs when renewals start to fail and when they succeed again."""
        if exc is not None and not self._is_failing:
            eliot.log_message("shares.not_renewed", reason=str(exc))
        if exc is None and self._is_failing:
            eliot.log_message("shares.renewed")
        self._is_failing = exc is not None

    def _clear_lapsed(self) -> None:
        """Logs shares whose leases have ended, once each, and clears them."""
        now = self._timers.now()
        for account, share in self.local.lapsed(now):
            eliot.log_message(
                "shares.lapsed",
                account=account,
                fraction=round(share.fraction, 4),
                written=round(now - share.written_at, 2),
                lease=planning.LEASE_SECONDS,
                action="requests of the account need a token of another owner",
            )
            share.fraction = 0.0

    def _renew_all(self) -> None:
        self._planner.is_blocked = False
        declaration = self._catalog.declaration
        if declaration is None:
            return
        self.host_count = len(self._peers.available_hosts()) + 1
        now = self._timers.now()
        # The first round also finds shares of this host's former process.
        due = [
            account
            for account in declaration.accounts.values()
            if account.rate > 0
            and (not self.ready or self._is_due(account, now))
        ]
        if due:
            stored = self._read_rows(due)
            for start in range(0, len(due), MAX_BATCH_ROWS):
                self._renew(due[start : start + MAX_BATCH_ROWS], stored)
            self._read_at.update((account.name, now) for account in due)
        self.ready = True

    def _is_due(self, account: model.Account, now: float) -> bool:
        """Returns whether to read and perhaps renew an account's row.

        If every host read the rows of all accounts, the bytes read would grow
        with the number of hosts times that of accounts.
        """
        share = self.local.ensure(account, now)
        held = share.fraction if now < share.lease_until else 0.0
        wanted = self.owners.wanted_fraction(account)
        if abs(held - wanted) > bucket_lib.ROUNDING_TOLERANCE:
            return True
        if held and self._planner.needs_other_term(share):
            return True
        if not held and not self.owners.follows(account):
            return False
        last = share.written_at if held else self._read_at.get(account.name)
        return last is None or now - last >= planning.RENEW_INTERVAL_SECONDS

    def _read_rows(self, accounts: list[model.Account]) -> dict[str, ports.Row]:
        """Returns the rows of accounts that have one, by key."""
        if len(accounts) <= MAX_SINGLE_READS:
            keys = [
                rows.single_part_key(rows.SHARES, account.name)
                for account in accounts
            ]
            found = [self._table.get(key) for key in keys]
            return {row.key: row for row in found if row is not None}
        prefix = rows.single_part_key(rows.SHARES, "")
        return {row.key: row for row in scans.read_all(self._table, prefix)}

    def _renew(
        self, accounts: list[model.Account], stored: dict[str, ports.Row]
    ) -> None:
        now = self._timers.now()
        write_id = f"{self._rng.getrandbits(64):016x}"
        conditions: list[ports.Condition] = []
        puts: list[ports.Write] = []
        plans: list[share_rows.Plan] = []
        for account in accounts:
            key = rows.single_part_key(rows.SHARES, account.name)
            row = stored.get(key)
            before: share_rows.Row | None = share_rows.Row({})
            if row is not None:
                before = rows.decode(share_rows.Row, row)
            if before is None:  # it may hold shares of other hosts
                continue
            share = self.local.ensure(account, now)
            planned = self._planner.plan(account, share, before, write_id, now)
            if planned is None:
                continue
            after, plan = planned
            conditions.append(
                ports.Absent(key)
                if row is None
                else ports.VersionIs(key, row.version)
            )
            puts.append(ports.Put(key, codec.encode(after)))
            plans.append(plan)
        if puts:
            self._commit(conditions, puts, plans, write_id, now)

    def _commit(
        self,
        conditions: list[ports.Condition],
        puts: list[ports.Write],
        plans: list[share_rows.Plan],
        write_id: str,
        now: float,
    ) -> None:
        # A released fraction must not be used once other hosts can read that
        # it is free, so the smaller fraction applies before the commit.
        for plan in plans:
            share = plan.share
            share.update_bucket(now)
            share.fraction = min(share.fraction, plan.fraction)
            share.update_bucket(now)
            if plan.term not in share.terms:
                share.terms = (*share.terms, plan.term)
        first = puts[0]
        assert isinstance(first, ports.Put)

        def is_ours(value: bytes) -> bool:
            own_entry = codec.decode(share_rows.Row, value).holders.get(
                self.holder
            )
            return own_entry is not None and own_entry.write == write_id

        self._committer.commit(
            ports.Transaction(tuple(conditions), tuple(puts)),
            commit.Proof(first.key, is_ours),
            seconds=COMMIT_TIMEOUT_SECONDS,
        )
        lease_until = now + leases.usable(planning.LEASE_SECONDS)
        for plan in plans:
            share = plan.share
            share.update_bucket(self._timers.now())
            share.fraction = plan.fraction
            share.terms = (plan.term,)
            share.lease_until = lease_until
            share.written_at = now
            share.update_bucket(self._timers.now())
            share.bucket.level += plan.tokens
        eliot.log_message(
            "shares.renewed",
            accounts=len(plans),
            holders=self.host_count,
            fractions=[round(plan.fraction, 4) for plan in plans[:16]],
            tokens=[round(plan.tokens, 1) for plan in plans[:16]],
            seconds=round(self._timers.now() - now, 4),
        )
