"""Decides which host may begin a program without the store.

A program's budget is kept in a row of the store. In an outage, one host may
open a program with a part of its budget, and record it when the store is back.
It can't see whether there is a row, and if it is lost before the store is back,
nobody knows what it granted. So that the budget holds whatever is lost:

* Only the first choice among all listed hosts opens a program, whether or not
  the others respond to it. It has been the first choice for as long as programs
  come back, and knows all that have come to it. If it was suspended, it reads
  the rows of hosts first.
* A process whose predecessor ended without recording everything may open a
  program with a smaller part, once it has read which programs have a row.
  After a second loss, nothing is opened.
* Before it opens any, half of the other hosts or more have noted that it does
  (`budgets.notices`).
* Any other host that begins a program counts both parts as held by others, and
  so does a process after a loss, until it has found out that nobody opened the
  program (`budgets.doubts`).
* A host that has joined asks the same of the next choices, down to the first
  one that was there before: one of them was the first choice until then. It
  counts on one only once that host has confirmed that it knows of the new one:
  the store may turn a host away, so that it reads no rows.
"""

from __future__ import annotations

from collections.abc import Callable

from endivepier import timers as timers_lib
from endivepier.gateway.budgets import doubts as doubts_lib
from endivepier.gateway.budgets import known_programs
from endivepier.gateway.budgets import notices as notices_lib
from endivepier.gateway.budgets import opening_messages
from endivepier.gateway.budgets import recorded_programs
from endivepier.gateway.budgets import witness as witness_lib
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.hosts import rows as host_rows
from endivepier.internal import codec
from endivepier.internal import rendezvous

# Parts of a budget that a process may grant without a row, and its successor
# after a loss. Others count both as spent. What is left carries most programs
# to their end.
OPENED_PERCENT = 26
REOPENED_PERCENT = 24
# After this, the other hosts know that a host has joined, and what they opened
# in an outage that has ended is recorded.
SETTLE_SECONDS = 3.0
CLOCK_MARGIN_SECONDS = witness_lib.CLOCK_MARGIN_SECONDS
SUSPENDED_SECONDS = 1.0  # without a tick, the process was suspended
# How often other hosts are told not to open a program that runs here.
CLEARANCE_SECONDS = 30.0


class Openers:
    """Knows which programs this host may open, and which others may have."""

    def __init__(
        self,
        host: str,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        retention: Callable[[], float],
        recorded: recorded_programs.RecordedPrograms | None = None,
        notices: notices_lib.Notices | None = None,
        doubts: doubts_lib.Doubts | None = None,
    ) -> None:
        """Initializes.

        Args:
            host: name of this host.
            peers: the other hosts.
            timers: the timer service.
            retention: returns for how long a program may come back, in seconds.
            recorded: the programs that have a row, read if this process follows
                a lost one; None if it opens nothing then.
            notices: has the other hosts note that this one opens programs;
                None if they need not.
            doubts: finds out what others have opened; None if that stays
                unknown.
        """
        self._notices = notices
        self._doubts = doubts
        self._forgo: Callable[[str], bool] = lambda _: True
        self._recorded = recorded
        self._host = host
        self._peers = peers
        self._timers = timers
        self._retention = retention
        self._started_at = timers.now()
        self._ticked_at = self._started_at
        self._awake_since = float("-inf")  # since the last suspension
        self._known = known_programs.KnownPrograms(timers, self._horizon)

    def is_new(self, program: str) -> bool:
        """Returns whether a program has come here for the first time.

        From then on the program is known, until it can't come back. To be
        called for each use.
        """
        return self._known.note_use(program)

    def use_ledger(
        self, open_pending: Callable[[], None], forgo: Callable[[str], bool]
    ) -> None:
        """Sets what this host's ledger does for others.

        Args:
            open_pending: opens the programs that wait for it, now that the
                other hosts have noted it.
            forgo: has a program never be opened, and returns whether nothing
                of it is unrecorded.
        """
        self._forgo = forgo
        if self._notices is not None:
            self._notices.subscribe(open_pending)
        if self._doubts is not None:
            self._peers.register(opening_messages.CLAIM, self._handle_claim)

    def _handle_claim(self, body: bytes) -> bytes:
        """Handles a peer's `Claim`."""
        assert self._doubts is not None
        claim: opening_messages.Claim = codec.decode(
            opening_messages.Claim, body
        )
        # It is not opened from then on. The next claim of a program that still
        # runs there comes this much later.
        self._known.note_use(claim.program, used_for=CLEARANCE_SECONDS)
        began_at = self._timers.wall() - claim.seconds
        is_recorded = self._forgo(claim.program)
        is_clear = is_recorded and self._doubts.is_own_clear(began_at)
        return codec.encode(opening_messages.Claimed(is_clear))

    def may_grant_opened(self) -> bool:
        """Returns whether tokens of opened programs may still be granted."""
        if self._notices is None:
            return True
        return self._notices.is_noted(witness_lib.GRANT_SECONDS)

    def is_resolved(
        self, program: str, assumption: opening_messages.Assumption
    ) -> bool:
        """Returns whether no host can have opened a program; may wait."""
        if self._doubts is None:
            return False
        return self._doubts.is_resolved(program, assumption)

    def tick(self, *, all_recorded: bool = False) -> None:
        """Notes that the process runs; to be called several times a second.

        Args:
            all_recorded: whether all that was opened here is in the store, and
                the store responds.
        """
        now = self._timers.now()
        if now - self._ticked_at > SUSPENDED_SECONDS:
            self._awake_since = now
        self._ticked_at = now
        self._introduce()
        if self._doubts is not None:
            self._doubts.tick()
        if self._notices is not None:
            self._notices.tick(
                all_recorded=all_recorded, is_clear=self._is_own_clear()
            )
        if self._recorded is not None and self._follows_a_loss():
            self._recorded.start()

    def _is_own_clear(self) -> bool:
        """Returns whether no lost process of this host matters any more."""
        if self._doubts is None:
            return not self._is_recent(self._peers.rows.own.lost_at)
        return self._doubts.is_own_clear(self._timers.wall())

    def tokens_to_open(self, program: str, budget: int) -> int:
        """Returns the tokens that this host may grant without a row, or 0.

        The first time, 0 until the other hosts have noted it.

        Args:
            program: a program that is new here.
            budget: its whole budget.
        """
        part = self._part_to_open(program, budget)
        if not part or self._notices is None:
            return part
        return part if self._notices.request_opening() else 0

    def _part_to_open(self, program: str, budget: int) -> int:
        """Returns the tokens that this host may grant once it is noted, or 0.

        Args:
            program: a program that is new here.
            budget: its whole budget.
        """
        if not self._is_first_choice(program):
            return 0
        own = self._peers.rows.own
        if not (self._is_recent(own.since) or self._is_recent(own.lost_at)):
            return budget * OPENED_PERCENT // 100
        if self._recorded is None or not self._follows_a_loss():
            return 0
        if own.losses != 1 or not self._recorded.rules_out(program):
            return 0
        return budget * REOPENED_PERCENT // 100

    def basis(self) -> dict[str, object]:
        """Returns what the choice among the hosts rests on, for the log."""
        rows = self._peers.rows
        return {
            "hosts": len(rows.members()),
            "unlisted": len(rows.unlisted(self._horizon())),
            "rows_age": round(self._timers.now() - rows.read_at, 3),
        }

    def may_open(self, program: str) -> bool:
        """Returns whether this host may begin a program that is new here."""
        return self._part_to_open(program, 100) > 0

    def may_be_open(self, program: str) -> bool:
        """Returns whether another process may have opened a program.

        To be asked for a program that is new here.
        """
        return self.doubtful_hosts(program) is not None

    def doubtful_hosts(self, program: str) -> tuple[str, ...] | None:
        """Returns the hosts of which a process may have opened a program.

        To be asked for a program that is new here.

        Returns:
            None if there are none; nothing if they are unknown.
        """
        rows = self._peers.rows
        if not rows.is_settled:
            return ()
        members = rows.members()
        doubtful = []
        is_first = True
        for name in self._former_choices(program):
            member = members.get(name)
            if member is None or self._may_have_opened(name, member, is_first):
                doubtful.append(name)
            if member is not None and not member.has_left:
                is_first = False
        return tuple(doubtful) or None

    def tokens_assumed(self, budget: int, doubtful: tuple[str, ...]) -> int:
        """Returns the tokens that count as held by others.

        Args:
            budget: the whole budget of a program.
            doubtful: see `doubtful_hosts`.
        """
        percent = OPENED_PERCENT + REOPENED_PERCENT
        if doubtful == (self._host,) and self._peers.rows.own.losses == 1:
            percent = OPENED_PERCENT  # the other part is this process's own
        return budget * percent // 100

    def _may_have_opened(
        self, name: str, member: host_rows.Entry, is_first: bool
    ) -> bool:
        """Returns whether a host may have opened a program.

        Args:
            name: a former choice for the program.
            member: its row.
            is_first: whether it is the first one that has not left.
        """
        if self._is_recent(member.lost_at):
            return name != self._host or not self._is_own_clear()
        if member.has_left:
            return False
        if name == self._host:
            return self._is_joining()
        if is_first or not self._peers.is_available(name):
            return True
        return not self._peers.introductions.is_known_to(name)

    def _former_choices(self, program: str) -> list[str]:
        """Returns the hosts that lately may have been the first choice.

        These are the first choice now, and the next ones down to the first
        that was there before. Hosts without a row here count as new.
        """
        members = self._peers.rows.members()
        names = {*members, *self._peers.rows.unlisted(self._horizon())}
        former = []
        for name in rendezvous.rank(program, names, len(names)):
            former.append(name)
            member = members.get(name)
            if member is not None and not (
                member.has_left or self._is_recent(member.since)
            ):
                break
        return former

    def other_choices(self, program: str) -> dict[str, host_rows.Entry | None]:
        """Returns the hosts that may open a program that runs here.

        Returns:
            The row of the last known process of each.
        """
        if not self._peers.rows.is_settled:
            return {}
        members = self._peers.rows.members()
        return {
            name: members.get(name)
            for name in self._former_choices(program)
            if name != self._host
        }

    def is_available(self, host: str) -> bool:
        """Returns whether another host responds."""
        return self._peers.is_available(host)

    def _follows_a_loss(self) -> bool:
        """Returns whether this process directly follows one that was lost.

        Its host was listed all the time, so that no other one can have been the
        first choice for its programs.
        """
        own = self._peers.rows.own
        return (
            self._peers.rows.is_settled
            and self._is_recent(own.lost_at)
            and own.since == own.lost_at
            and self._was_always_listed()
        )

    def _was_always_listed(self) -> bool:
        """Returns whether this host was listed for as long as counts."""
        return not self._is_recent(self._peers.rows.own.listed_since)

    def _is_first_choice(self, program: str) -> bool:
        """Returns whether all hosts agree that this one opens a program."""
        rows = self._peers.rows
        if rows.is_leaving or not rows.is_settled:
            return False
        self.tick()
        if rows.read_at < self._awake_since:
            return False
        members = rows.members()
        # Processes of a former build don't count what is opened as spent.
        if any(member.listed_since is None for member in members.values()):
            return False
        now = self._timers.now()
        if now < self._known.forgot_until:
            return False
        departed = {
            host
            for host, at in rows.departed.items()
            if now - at < self._horizon()
        }
        unlisted = rows.unlisted(self._horizon())
        names = {*members, *departed, *unlisted, self._host}
        return rendezvous.choose(program, names) == self._host

    def _is_recent(self, at: float | None) -> bool:
        """Returns whether programs of a Unix time may still come back."""
        return at is None or self._timers.wall() - at < self._horizon()

    def _horizon(self) -> float:
        return self._retention() + CLOCK_MARGIN_SECONDS

    def _introduce(self) -> None:
        """Has the other hosts confirm that they know this process.

        Only a host that has joined counts on that. A process that follows a
        lost one counts on no other host anyway.
        """
        rows = self._peers.rows
        if not rows.is_settled or rows.is_leaving:
            return
        if self._is_recent(rows.own.since) and not self._is_recent(
            rows.own.lost_at
        ):
            self._peers.introductions.introduce()

    def _is_joining(self) -> bool:
        """Returns whether other hosts may not know this process yet."""
        if not self._peers.rows.own.since:
            return False
        return self._timers.now() - self._started_at < SETTLE_SECONDS
