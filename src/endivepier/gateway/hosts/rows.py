"""The rows in the store by which the entry hosts know each other.

Each process writes a row when it starts, and deletes it when it is told to
stop. The row of a process that ended otherwise stays until its host starts
again.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import eliot
import gevent

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.store import follower as follower_lib
from endivepier.gateway.store import rows
from endivepier.internal import codec
from endivepier.internal import failures
from endivepier.storage import ports

FIRST_ANNOUNCE_BACKOFF_SECONDS = 0.1
MAX_ANNOUNCE_BACKOFF_SECONDS = 2.0
# Losses count together if there is no more between them. Turns are retained for
# less.
LOSSES_SECONDS = 3600.0
# Longer than any grace period: a process that leaves sends messages for a while
# after it has deleted its row.
LEAVING_SECONDS = 60.0
MAX_HEARD = 4000  # unlisted hosts that are remembered, the newest ones


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The stored row of a process, by which other entry hosts reach it.

    Attributes:
        address: "ip:port" for other entry hosts.
        data_centre: the data centre of the host.
        since: when the process started, Unix seconds; 0 if the whole fleet
            started for the first time; None if it is a former build, which
            does not tell.
        lost_at: when it was found that a former process of the host had ended
            without deleting its row, Unix seconds; 0 if none had.
        has_left: whether the process has stopped. Such a row stays as long as
            `lost_at` matters.
        losses: how many processes of the host were lost one after the other.
        listed_since: since when there has been a row of the host, Unix seconds;
            0 if the whole fleet started for the first time; None if it is a
            former build, which does not tell.
        tells_openings: whether the process tells other hosts before it opens
            programs without the store; a former build does not.
        lost_told: whether all lost processes of the host did.
        confirms_terms: whether the process confirms the terms in which others
            use shares of accounts; a former build does not.
    """

    address: str
    data_centre: str
    since: float | None = None
    lost_at: float = 0.0
    has_left: bool = False
    losses: int = 0
    listed_since: float | None = None
    tells_openings: bool = False
    lost_told: bool = False
    confirms_terms: bool = False


class HostRows:
    """Writes this host's row and follows those of all hosts.

    Attributes:
        own: the row of this process.
        listed: the rows of the hosts that have not left, by host.
        entries: the last row of each host. Hosts whose row is deleted respond
            until they stop.
        left: the rows of hosts that have left.
        departed: when a host was last found to have no row any more, or one
            that says that it has left, monotonic seconds.
        heard: when a message last came from a host that was not listed then,
            monotonic seconds.
        is_leaving: whether this process has been told to stop.
        has_unrecorded: returns whether this process has granted something that
            is recorded nowhere, so that its row must stay if it stops.
    """

    def __init__(
        self,
        host: str,
        own: Entry,
        table: ports.Table,
        feed: ports.Feed,
        timers: timers_lib.Timers,
        *,
        is_first_start: bool = False,
    ) -> None:
        """Initializes without reading or writing anything.

        Args:
            host: name of this host.
            own: address and data centre of this process.
            table: stores the rows.
            feed: tells of their changes.
            timers: the timer service.
            is_first_start: whether the whole fleet starts for the first time.
        """
        self.own = own
        self.listed: dict[str, Entry] = {}
        self.entries: dict[str, Entry] = {}
        self.left: dict[str, Entry] = {}
        self.departed: dict[str, float] = {}
        self.heard: dict[str, float] = {}
        self.is_leaving = False
        self.has_unrecorded: Callable[[], bool] = lambda: False
        self._host = host
        self._table = table
        self._timers = timers
        self._is_first_start = is_first_start
        self._is_announced = False
        self._tasks: list[gevent.Greenlet] = []
        self._listeners: list[Callable[[str], None]] = []
        self._follower = follower_lib.Follower(
            feed,
            timers,
            rows.HOSTS,
            self._apply_snapshot,
            self._apply_changes,
            poll_seconds=follower_lib.SLOW_POLL_SECONDS,
        )

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Calls `callback` with the name of each host that has a new row."""
        self._listeners.append(callback)

    @property
    def is_settled(self) -> bool:
        """Whether this process is listed and knows the other hosts."""
        return self._is_announced and self._follower.version is not None

    @property
    def read_at(self) -> float:
        """When the rows were last read, monotonic seconds."""
        contact = self._follower.last_contact
        return float("-inf") if contact is None else contact

    def hear(self, host: str, *, introduces_itself: bool = False) -> None:
        """Notes a message of a host, whose row may not have been read yet.

        Args:
            host: the host.
            introduces_itself: whether the message comes from a process that
                has joined; others of an unlisted host may come from one that
                leaves.
        """
        if host in self.listed or host == self._host:
            return
        departed_at = self.departed.get(host, float("-inf"))
        is_leaving = self._timers.now() - departed_at < LEAVING_SECONDS
        if is_leaving and not introduces_itself:
            return
        now = self._timers.now()
        if host not in self.heard and self._follower.last_contact is not None:
            eliot.log_message(
                "peers.unlisted_host",
                peer=host,
                hosts=len(self.listed),
                rows_age=round(now - self.read_at, 3),
            )
        # A name may be anyone's choice: whoever reaches the port can send one.
        self.heard.pop(host, None)
        self.heard[host] = now
        if len(self.heard) > MAX_HEARD:
            del self.heard[next(iter(self.heard))]

    def unlisted(self, seconds: float) -> set[str]:
        """Returns the hosts that exist but whose rows were not read yet.

        Args:
            seconds: how long a host counts if the rows that were read since
                its message don't list it either.
        """
        now = self._timers.now()
        return {
            host
            for host, at in self.heard.items()
            if now - at < seconds or self.read_at < at
        }

    def members(self) -> dict[str, Entry]:
        """Returns the rows of all hosts, this one and those left included."""
        return {**self.left, **self.listed, self._host: self.own}

    def start(self) -> None:
        """Starts to follow the rows and to write this process's own."""
        self._follower.start()
        self._tasks.append(gevent.spawn(self._announce))

    def leave(self) -> None:
        """Deletes this process's row, or marks it if it still matters."""
        self.is_leaving = True
        gevent.killall(self._tasks)
        if self.has_unrecorded():
            eliot.log_message("peers.row_kept", reason="unrecorded budgets")
            return
        key = rows.single_part_key(rows.HOSTS, self._host)
        write: ports.Write = ports.Delete(key)
        if self.own.lost_at:
            left = dataclasses.replace(self.own, has_left=True)
            write = ports.Put(key, codec.encode(left))
        try:
            self._table.transact(ports.Transaction((), (write,)))
        except (errors.Unavailable, errors.OutcomeUnknown) as exc:
            eliot.log_message("peers.not_deleted", reason=str(exc))

    def stop(self) -> None:
        """Stops following the rows."""
        self._follower.stop()
        gevent.killall(self._tasks)

    def _announce(self) -> None:
        key = rows.single_part_key(rows.HOSTS, self._host)
        backoff = FIRST_ANNOUNCE_BACKOFF_SECONDS
        is_known = self._is_announced
        while True:
            try:
                if not is_known:
                    self.own = self._follow_up(self._table.get(key))
                    is_known = True
                put = ports.Put(key, codec.encode(self.own))
                self._table.transact(ports.Transaction((), (put,)))
                self._is_announced = True
                return
            except (errors.Unavailable, errors.OutcomeUnknown) as exc:
                eliot.log_message("peers.not_announced", reason=str(exc))
            except Exception as exc:
                failures.log(exc)
            self._timers.sleep(backoff)
            backoff = min(backoff * 2, MAX_ANNOUNCE_BACKOFF_SECONDS)

    def _follow_up(self, before: ports.Row | None) -> Entry:
        """Returns this process's row, given the one that is stored now."""
        if before is None and self._is_first_start:
            return dataclasses.replace(self.own, since=0.0, listed_since=0.0)
        now = self._timers.wall()
        if before is None:
            return dataclasses.replace(self.own, since=now, listed_since=now)
        entry: Entry = rows.decode(Entry, before) or Entry("", "")
        losses = 0
        if now - entry.lost_at < LOSSES_SECONDS:
            losses = max(entry.losses, 1)
        if entry.has_left:
            return dataclasses.replace(
                self.own,
                since=now,
                lost_at=entry.lost_at,
                losses=losses,
                listed_since=now,
                lost_told=entry.lost_told,
            )
        return dataclasses.replace(
            self.own,
            since=now,
            lost_at=now,
            losses=losses + 1,
            listed_since=entry.listed_since
            if entry.listed_since is not None
            else now,
            lost_told=entry.lost_told and entry.tells_openings,
        )

    def _apply_snapshot(self, changes: ports.Changes) -> None:
        listed_before = set(self.listed)
        self.listed.clear()
        self.left.clear()
        self._apply_changes(changes)
        for host in listed_before - set(self.listed):
            self.departed[host] = self._timers.now()

    def _apply_changes(self, changes: ports.Changes) -> None:
        for key in changes.removed:
            host = key.rpartition("/")[2]
            self.listed.pop(host, None)
            self.left.pop(host, None)
            self.departed[host] = self._timers.now()
            if host == self._host and not self.is_leaving:
                # The row was deleted late by this host's previous process.
                self._tasks.append(gevent.spawn(self._announce))
        for row in changes.rows:
            host = row.key.rpartition("/")[2]
            entry: Entry | None = rows.decode(Entry, row)
            if entry is None:
                continue
            if entry.has_left:
                self.listed.pop(host, None)
                self.left[host] = entry
                self.departed[host] = self._timers.now()
                if host == self._host and not self.is_leaving:
                    self._tasks.append(gevent.spawn(self._announce))
                continue
            self.left.pop(host, None)
            self.heard.pop(host, None)
            self.listed[host] = self.entries[host] = entry
            for callback in self._listeners:
                failures.contain(callback, host)
