"""Stores turns, so that a later turn can continue an earlier one by its id.

A turn is stored with the full history of its chain: the input that the target
received, which includes the earlier turns, followed by the output. Any host
can then continue any turn by reading its rows. A turn that is too long for one
row is split over several rows of one part of the table. The first row is
written last, and a turn without its first row doesn't exist, so that readers
see a turn as a whole or not at all.

The store may refuse some parts of a table while it serves others. A turn whose
part is refused is written to a second one. A turn doesn't exist if it is in
neither.

A turn is durable before the client has received the whole response: its stream
ends only after `TurnStore.commit` has returned.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools

import eliot

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.store import rows
from endivepier.storage import ports
from endivepier.storage import scans

PIECE_BYTES = 44_000  # rows hold 65,536 bytes, and encoding adds a third
MAX_TRANSACTION_ROWS = 16  # transactions hold 1 MB
MAX_DELETED_ROWS = 100  # in one transaction
CACHE_BYTES = 16 * 1024 * 1024  # a tenth of an entry host's memory
FIRST_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.25
DELETE_INTERVAL_SECONDS = 5.0
# Turns are kept this much longer than their retention, since a turn that
# continues them may still be running.
RETENTION_MARGIN_SECONDS = 30.0
SECOND_PART_SHIFT = rows.PARTS // 2


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """A turn whose response is complete.

    Attributes:
        id: the id of the call.
        account: the client account that the turn belongs to.
        history: all inputs and outputs of the turn's chain, in order; its own
            are the last.
    """

    id: str
    account: str
    history: bytes


class TurnStore:
    """Reads and writes the turns of all programs.

    Recently used turns are cached in memory.
    """

    def __init__(self, table: ports.Table, timers: timers_lib.Timers) -> None:
        self._table = table
        self._timers = timers
        self._cache: collections.OrderedDict[str, Turn] = (
            collections.OrderedDict()
        )
        self._cached_bytes = 0
        self._expirations: collections.deque[tuple[float, list[str]]] = (
            collections.deque()
        )

    def start(self) -> None:
        """Starts the periodic deletion of expired turns."""
        self._timers.every(DELETE_INTERVAL_SECONDS, self._delete_expired)

    def stop(self) -> None:
        """Does nothing: turns are durable before their responses end."""

    def find(self, turn_id: str, account: str) -> Turn | None:
        """Returns a turn of an account, or None if it doesn't exist.

        A turn of another account counts as nonexistent.

        Raises:
            errors.Unavailable: the store did not answer, so it is unknown
                whether the turn exists.
        """
        turn = self._cache.get(turn_id)
        if turn is None:
            turn = self._read(turn_id)
            if turn is not None:
                self._cache_turn(turn)
        else:
            self._cache.move_to_end(turn_id)
        if turn is None or turn.account != account:
            return None
        return turn

    def commit(self, turn: Turn, retention: float, deadline: float) -> None:
        """Makes a turn durable, with retries until `deadline`.

        Writes are idempotent, so they are retried after a lost reply too.

        Args:
            turn: the turn.
            retention: how long the turn must be kept, in seconds.
            deadline: until when to retry, in monotonic seconds.

        Raises:
            errors.OutcomeUnknown: the store did not confirm the writes in
                time.
        """
        started_at = self._timers.now()
        keys = self._write_with_retries(turn, deadline)
        expires = self._timers.now() + retention + RETENTION_MARGIN_SECONDS
        self._expirations.append((expires, keys))
        self._cache_turn(turn)
        eliot.log_message(
            "turn.stored",
            request=turn.id,
            bytes=len(turn.history),
            rows=len(keys),
            seconds=round(self._timers.now() - started_at, 4),
        )

    def _write_with_retries(self, turn: Turn, deadline: float) -> list[str]:
        """Writes a turn to one of its parts.

        Returns:
            The keys of the rows that it may have written, in either part.
        """
        prefixes = _prefixes(turn.id)
        keys: set[str] = set()
        backoff = FIRST_BACKOFF_SECONDS
        for tries in itertools.count(1):
            try:
                keys.update(self._write(turn, prefixes[(tries - 1) % 2]))
                break
            except (errors.Unavailable, errors.OutcomeUnknown) as exc:
                if isinstance(exc, errors.OutcomeUnknown):
                    keys.update(_keys(turn, prefixes[(tries - 1) % 2]))
                if self._timers.now() + backoff >= deadline:
                    raise errors.OutcomeUnknown(
                        f"turn {turn.id} was not confirmed by the store: {exc}"
                    ) from exc
            if tries % 2 == 0:
                self._timers.sleep(backoff)
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
        return sorted(keys)

    def _write(self, turn: Turn, prefix: str) -> list[str]:
        keys = _keys(turn, prefix)
        puts = [
            ports.Put(key, piece)
            for key, piece in zip(keys, _split(turn), strict=True)
        ]
        for end in range(len(puts), 0, -MAX_TRANSACTION_ROWS):
            batch = tuple(puts[max(end - MAX_TRANSACTION_ROWS, 0) : end])
            self._table.transact(ports.Transaction((), batch))
        return keys

    def _read(self, turn_id: str) -> Turn | None:
        """Reads a turn from the part that has it.

        Raises:
            errors.Unavailable: one part can't be read, and the other one does
                not have the turn.
        """
        unavailable: errors.Unavailable | None = None
        for prefix in _prefixes(turn_id):
            try:
                rows_found = scans.read_all(self._table, prefix)
            except errors.Unavailable as exc:
                unavailable = exc
                continue
            values = {row.key: row.value for row in rows_found}
            first = values.get(f"{prefix}0")
            if first is None:
                continue
            account, count, history = first.split(b"\n", 2)
            keys = [f"{prefix}{n}" for n in range(1, int(count))]
            if missing := [key for key in keys if key not in values]:
                eliot.log_message(
                    "turn.rows_missing",
                    turn=turn_id,
                    rows=int(count),
                    missing=len(missing),
                    first_missing=missing[0],
                    read_bytes=sum(len(row.value) for row in rows_found),
                )
                raise errors.Unavailable(
                    f"{len(missing)} of the {count.decode()} rows of turn "
                    f"{turn_id} are missing"
                )
            rest = [values[key] for key in keys]
            return Turn(turn_id, account.decode(), b"".join([history, *rest]))
        if unavailable is not None:
            raise unavailable
        return None

    def _cache_turn(self, turn: Turn) -> None:
        replaced = self._cache.pop(turn.id, None)
        if replaced is not None:
            self._cached_bytes -= len(replaced.history)
        self._cache[turn.id] = turn
        self._cached_bytes += len(turn.history)
        while self._cached_bytes > CACHE_BYTES:
            _, evicted = self._cache.popitem(last=False)
            self._cached_bytes -= len(evicted.history)

    def _delete_expired(self) -> None:
        """Deletes expired turns that this process wrote."""
        now = self._timers.now()
        expired: dict[str, list[str]] = collections.defaultdict(list)
        while self._expirations and self._expirations[0][0] <= now:
            for key in self._expirations.popleft()[1]:
                expired[key.rpartition("/")[0]].append(key)
        batches = [
            keys[start : start + MAX_DELETED_ROWS]
            for keys in expired.values()
            for start in range(0, len(keys), MAX_DELETED_ROWS)
        ]
        for keys in batches:
            writes = tuple(ports.Delete(key) for key in keys)
            try:
                self._table.transact(ports.Transaction((), writes))
            except (errors.Unavailable, errors.OutcomeUnknown) as exc:
                eliot.log_message(
                    "turns.not_deleted", rows=len(keys), reason=str(exc)
                )
                self._expirations.append((now + DELETE_INTERVAL_SECONDS, keys))


def _prefixes(turn_id: str) -> tuple[str, str]:
    """Returns what the keys of a turn's rows begin with, in either part."""
    return (
        f"{rows.key(rows.TURNS, turn_id)}.",
        f"{rows.key(rows.TURNS, turn_id, shift=SECOND_PART_SHIFT)}.",
    )


def _keys(turn: Turn, prefix: str) -> list[str]:
    return [f"{prefix}{number}" for number in range(len(_split(turn)))]


def _split(turn: Turn) -> list[bytes]:
    """Returns the values of a turn's rows, in order of piece number.

    The first value starts with a line that holds the account and one that
    holds the number of rows.
    """
    history = turn.history
    pieces = [
        history[start : start + PIECE_BYTES]
        for start in range(0, max(len(history), 1), PIECE_BYTES)
    ]
    head = f"{turn.account}\n{len(pieces)}\n".encode()
    return [head + pieces[0], *pieces[1:]]
