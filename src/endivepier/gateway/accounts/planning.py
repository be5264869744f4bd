"""Plans how this host changes its entry in the row of an account's shares."""

from __future__ import annotations

import eliot

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import model
from endivepier.gateway.accounts import owners as account_owners
from endivepier.gateway.accounts import rows as share_rows
from endivepier.gateway.accounts import takeovers as takeovers_lib
from endivepier.gateway.accounts import term_messages
from endivepier.gateway.accounts import terms as terms_lib
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.internal import codec
from endivepier.limits import bucket as bucket_lib
from endivepier.limits import leases

# Longer than the store outages stated for the deployments (9 s), so that
# accounts keep their rates through one.
LEASE_SECONDS = 15.0
RENEW_INTERVAL_SECONDS = 4.0  # a lease survives three lost renewals
# A restart takes at least this long. The host admitted nothing meanwhile, so
# its bucket starts with the tokens that were refilled in this time.
RESTART_SECONDS = 0.3
# A restarted host does not know what its former process admitted. If it
# started without tokens, it would refuse most requests for seconds. The rest of
# the tolerance covers what both may have admitted, but not for several restarts
# within this time.
CREDIT_INTERVAL_SECONDS = 15.0


class Planner:
    """Decides which share this host writes, given the row of an account.

    Attributes:
        is_blocked: whether an entry of another host has lately been in the way
            of a share that this host should have.
    """

    def __init__(
        self,
        owners: account_owners.AccountOwners,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        terms: terms_lib.Terms,
        takeovers: takeovers_lib.Takeovers,
        restart_credit: float,
    ) -> None:
        """Initializes.

        Args:
            owners: ranks the hosts for each account.
            peers: the other hosts.
            timers: the timer service.
            terms: the terms in which shares are used.
            takeovers: has the terms of silent hosts end.
            restart_credit: tokens of each account that a restarted host gets.
        """
        self.is_blocked = False
        self.holder = owners.holder
        self.owners = owners
        self.terms = terms
        self._peers = peers
        self._timers = timers
        self._takeovers = takeovers
        self._restart_credit = restart_credit
        # By account and holder: its last write, and when it was first read.
        self._last_writes: dict[tuple[str, str], tuple[str, float]] = {}

    def plan(
        self,
        account: model.Account,
        share: share_rows.Share,
        before: share_rows.Row,
        write_id: str,
        now: float,
    ) -> tuple[share_rows.Row, share_rows.Plan] | None:
        """Returns the row with this host's new entry, and what it changes.

        Returns None if the entry needs neither a change nor a renewal.
        """
        wanted = self.owners.wanted_fraction(account)
        other_entries = self._entries_in_use(account, before, wanted, now)
        free = 1.0 - sum(entry.fraction for entry in other_entries.values())
        fraction = max(0.0, min(wanted, free))
        own_entry = before.holders.get(self.holder)
        if own_entry is None and share.fraction:
            self._clear_taken(account.name, share, before, now)
        held_fraction = share.fraction if now < share.lease_until else 0.0
        if not (fraction or held_fraction) and (
            own_entry is None or not own_entry.fraction
        ):
            return None
        if fraction < held_fraction and not self._is_taken(
            account, other_entries
        ):
            fraction = held_fraction
        unchanged = (
            abs(fraction - held_fraction) <= bucket_lib.ROUNDING_TOLERANCE
        )
        if (
            unchanged
            and own_entry
            and now - share.written_at < RENEW_INTERVAL_SECONDS
            and not self.needs_other_term(share)
        ):
            return None
        # Former builds know a renewal by its number, so a new entry must not
        # begin with that of an entry which a former process had.
        renewals = int(write_id, 16) >> 2  # fits 64 bits with a sign
        if own_entry is not None:
            renewals = own_entry.renewals + 1
        credited_at = 0.0 if own_entry is None else own_entry.credited_at
        released = before.released
        tokens = 0.0
        if fraction and not held_fraction:
            bucket = share.bucket
            tokens, released = released, 0.0
            was_restarted = (
                own_entry is not None
                and own_entry.fraction > 0
                and not share.written_at
            )
            if was_restarted:
                tokens += fraction * RESTART_SECONDS * bucket.rate
                wall = self._timers.wall()
                if abs(wall - credited_at) >= CREDIT_INTERVAL_SECONDS:
                    credited_at = wall
                    tokens += fraction * self._restart_credit
            tokens = min(tokens, fraction * bucket.burst)
        elif not fraction:
            share.update_bucket(now)
            released += max(share.bucket.level, 0.0)
        term = self.terms.current
        entry = share_rows.Entry(
            fraction, renewals, write_id, credited_at, term
        )
        row = share_rows.Row({**other_entries, self.holder: entry}, released)
        return row, share_rows.Plan(share, fraction, tokens, term)

    def needs_other_term(self, share: share_rows.Share) -> bool:
        """Returns whether a share's term should be replaced at once."""
        current = self.terms.current
        if share.terms == (current,):
            return False
        if not self.terms.is_confirmed(current):
            return False
        if not self.terms.may_use(share.terms):
            return True
        return any(
            len(current.witnesses) > len(term.witnesses) for term in share.terms
        )

    def _entries_in_use(
        self,
        account: model.Account,
        row: share_rows.Row,
        wanted: float,
        now: float,
    ) -> dict[str, share_rows.Entry]:
        """Returns the entries of other hosts that may still use them.

        If this host lacks a share, the terms of hosts that are silent end.
        """
        entries = self._live_entries(account.name, row, now)
        free = 1.0 - sum(entry.fraction for entry in entries.values())
        if wanted - free <= bucket_lib.ROUNDING_TOLERANCE:
            return entries
        self.is_blocked = True
        for holder, entry in list(entries.items()):
            if not self._takeovers.has_ended(holder, entry.term):
                continue
            del entries[holder]
            eliot.log_message(
                "shares.taken_over",
                account=account.name,
                peer=holder,
                fraction=round(entry.fraction, 4),
                term=entry.term.id,
            )
        return entries

    def _live_entries(
        self, account: str, row: share_rows.Row, now: float
    ) -> dict[str, share_rows.Entry]:
        """Returns the entries of other hosts whose leases may not be over.

        A lease is timed by this host's clock, from when it first read the
        latest write of the entry.
        """
        live = {}
        for holder, entry in row.holders.items():
            if holder == self.holder:
                continue
            last_write = self._last_writes.get((account, holder))
            if last_write is None or last_write[0] != entry.write:
                last_write = (entry.write, now)
                self._last_writes[account, holder] = last_write
            if now - last_write[1] <= leases.expired_after(LEASE_SECONDS):
                live[holder] = entry
        return live

    def _clear_taken(
        self,
        account: str,
        share: share_rows.Share,
        row: share_rows.Row,
        now: float,
    ) -> None:
        """Clears a share whose entry another host has removed."""
        eliot.log_message(
            "shares.taken",
            account=account,
            fraction=round(share.fraction, 4),
            written=round(now - share.written_at, 2),
            holders=sorted(row.holders),
        )
        share.clear(now)

    def _is_taken(
        self, account: model.Account, entries: dict[str, share_rows.Entry]
    ) -> bool:
        """Returns whether the owners of an account respond, as far as is known.

        A host that was silent is tried again after a while. Its share must not
        be released to it before it responds.
        """
        if self.owners.is_draining:
            return True
        body = codec.encode(term_messages.Confirm(self.holder, ()))
        for host in self.owners.owners(account):
            if host == self.holder or not self._peers.has_failed(host):
                continue
            if host in entries:
                continue
            try:
                self._peers.request(
                    host, term_messages.CONFIRM, body, terms_lib.REPLY_SECONDS
                )
            except (errors.PeerUnreachable, errors.Refused):
                if not self._peers.is_available(host):
                    return False
        return True
