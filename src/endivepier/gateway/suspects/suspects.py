"""Requests that were at targets when these ended.

A request that crashes its targets comes again: as another attempt, as a retry
by the client, at any host, with the same content. All other calls at such a
target break off as well, so that being there once says little. What tells them
apart is that the request at fault comes again at another target, and that other
requests run to their end elsewhere:

* Only runs count of which each began after the end of the one before. Copies of
  a request at several targets that end together, as in a restart of all, count
  once.
* A run that a target completes clears the request. A request is known by all of
  its content and by its start (see `fingerprints`): those that begin alike are
  taken for one as long as none of them is completed.
* What a request did that is known to end targets does not count for those that
  were there with it.
* Once requests that begin alike are refused and a target completes one of them,
  their common start is ignored, and only whole requests count.

Hosts pass on what they saw with the messages that they exchange anyway, so
that all know it, and a host that has just started learns it from any other.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import eliot

from endivepier import timers as timers_lib
from endivepier.gateway.hosts import statements
from endivepier.gateway.suspects import fingerprints
from endivepier.internal import bounded_map
from endivepier.internal import quantities
from endivepier.telemetry import metrics as metrics_lib

ENDS_TO_REFUSE = 3  # targets that a request has ended when it is refused
SUSPECT_SECONDS = 60.0  # for how long a run at a target that ended counts
REFUSE_SECONDS = 600.0  # after its last end; the target may have been mended
MAX_REQUESTS = 5_000  # an entry takes some 500 bytes
MAX_REFUSED = 1_000  # requests; the oldest one is forgotten first
MAX_RUNS = 8  # for each request
# A statement is passed on for so long. Hosts exchange messages many times a
# second; only what is refused is passed on as long as it holds.
SHARE_SECONDS = 10.0
# The headers of a message between hosts have 16 kB, half of it for their load.
MAX_MESSAGE_BYTES = 2_500
MAX_REFUSED_BYTES = 1_000  # of it, for what is refused
MAX_SHARED_REQUESTS = 200  # suspected requests that statements are chosen from
ENCODE_SECONDS = 0.02  # how long an encoded message is used again
CALL = "call"  # source of what a call of this host showed
COMPLETED = "completed"  # in place of a target's incarnation
REFUSED = "refused"  # likewise


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A run of a request at a target that ended meanwhile.

    Attributes:
        began: when the request was sent, monotonic seconds.
        ended: when its connection broke, monotonic seconds.
    """

    began: float
    ended: float


@dataclasses.dataclass(slots=True, eq=False)
class History:
    """What is known of a request.

    Attributes:
        runs: its runs at targets that ended, by the target's incarnation.
        completed: when a target last completed it, monotonic seconds.
        changed: when something was last added, monotonic seconds.
        start: fingerprint of the start of its body, if known; else empty.
    """

    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    completed: float = float("-inf")
    changed: float = 0.0
    start: str = ""


class Suspects:
    """The requests that may end their targets, by their fingerprints."""

    def __init__(
        self, timers: timers_lib.Timers, metrics: metrics_lib.Metrics
    ) -> None:
        self._timers = timers
        self._metrics = metrics
        self._histories: bounded_map.BoundedMap[History] = (
            bounded_map.BoundedMap(MAX_REQUESTS)
        )
        # Since when a request is refused, monotonic seconds. It is kept apart,
        # so that many suspected requests don't displace it.
        self._refused: bounded_map.BoundedMap[float] = bounded_map.BoundedMap(
            MAX_REFUSED
        )
        # Starts of bodies that are ignored, and since when, monotonic seconds.
        self._ignored: bounded_map.BoundedMap[float] = bounded_map.BoundedMap(
            MAX_REFUSED
        )
        # The fingerprints of what is to be passed on; the newest are last.
        self._shared: dict[str, None] = {}
        self._shared_refused: dict[str, None] = {}
        # The refused request that explains the end of a target.
        self._explained: bounded_map.BoundedMap[str] = bounded_map.BoundedMap(
            MAX_REQUESTS
        )
        self._listeners: list[Callable[[], None]] = []
        self._encoded = b""
        self._encoded_at = float("-inf")

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` when other hosts should hear of a call's end."""
        self._listeners.append(callback)

    def _notify(self) -> None:
        for callback in self._listeners:
            callback()

    def is_refused(self, content: str) -> bool:
        """Returns whether a request has ended too many targets.

        Args:
            content: fingerprint of the request.
        """
        refused_since = self._refused.get(content)
        if refused_since is None:
            return False
        if self._timers.now() - refused_since < REFUSE_SECONDS:
            return True
        self._histories.drop(content)
        eliot.log_message("content.lapsed", content=content)
        self._lift(content)
        return False

    def refused_seconds(self, content: str) -> float:
        """Returns for how long a request has been refused; 0 if it is not."""
        now = self._timers.now()
        return now - (self._refused.get(content) or now)

    def _lift(self, content: str) -> None:
        self._refused.drop(content)
        self._shared_refused.pop(content, None)
        self._metrics.set("contents_refused", len(self._refused))

    def was_at_end(self, content: str) -> bool:
        """Returns whether a target ended while it ran a request.

        Unlike `ends`, this counts ends that another request explains.
        """
        history = self._histories.get(content)
        return history is not None and any(
            run.ended > history.completed for run in history.runs.values()
        )

    def ends(self, content: str) -> int:
        """Returns how many targets ended while a request ran, one by one."""
        history = self._histories.get(content)
        if history is None or self._is_ignored(content):
            return 0
        oldest = self._timers.now() - SUSPECT_SECONDS
        count = 0
        last_end = max(oldest, history.completed)
        for run in self._unexplained_runs(content, history):
            if run.ended > oldest and run.began >= last_end:
                count += 1
                last_end = run.ended
        return count

    def _unexplained_runs(self, content: str, history: History) -> list[Run]:
        runs = [
            run
            for target, run in history.runs.items()
            if self._explained.get(target) in (None, content, history.start)
        ]
        return sorted(runs, key=lambda run: run.ended)

    def add_end(
        self,
        content: str,
        target: str,
        run: Run,
        source: str,
        *,
        start: str = "",
        **details: str,
    ) -> None:
        """Records that a target ended while it ran a request.

        Args:
            content: fingerprint of the request.
            target: incarnation of the target.
            run: the run.
            source: who saw it: `CALL`, or the name of a peer.
            start: fingerprint of the start of the request's body, if known. An
                end that it explains counts for the request, too.
            details: what to log besides, such as the request's id.
        """
        history = self._ensure(content)
        history.start = start or history.start
        if target in history.runs:
            return
        history.runs[target] = run
        while len(history.runs) > MAX_RUNS:
            del history.runs[next(iter(history.runs))]
        self._changed(content, history)
        ends = self.ends(content)
        if source == CALL or ends > 1:
            eliot.log_message(
                "content.ended_target",
                content=content,
                target=target,
                source=source,
                seconds=round(run.ended - run.began, 3),
                age=round(self._timers.now() - run.ended, 3),
                ends=ends,
                **details,
            )
        if ends >= ENDS_TO_REFUSE:
            self._refuse(content, run.ended, source)
        if source == CALL:
            self._notify()

    def add_completion(
        self, content: str, at: float, source: str = CALL
    ) -> None:
        """Records that a target completed a request, if it was suspected.

        Args:
            content: fingerprint of the request.
            at: when, monotonic seconds.
            source: who saw it: `CALL`, or the name of a peer.
        """
        history = self._histories.get(content)
        if history is None or at <= history.completed:
            return
        ends = self.ends(content)
        history.completed = at
        refused_since = self._refused.get(content)
        if not ends and refused_since is None:
            return
        if refused_since is not None and refused_since < at:
            self._lift(content)
            if fingerprints.is_start(content):
                self._ignored.put(content, at)
        self._changed(content, history)
        eliot.log_message("content.cleared", content=content, source=source)
        # Until the others know, they let such requests run one at a time.
        if source == CALL and ends > 1:
            self._notify()

    def refuse(self, content: str, **details: str) -> None:
        """Refuses a request that ended a target without any other beside it.

        Args:
            content: fingerprint of the request.
            details: what to log besides, such as the request's id.
        """
        self._refuse(content, self._timers.now(), CALL, **details)

    def _is_ignored(self, content: str) -> bool:
        since = self._ignored.get(content)
        return since is not None and self._timers.now() - since < REFUSE_SECONDS

    def _refuse(
        self, content: str, since: float, source: str, **details: str
    ) -> None:
        history = self._ensure(content)
        now = self._timers.now()
        is_decided = content in self._refused or self._is_ignored(content)
        if is_decided or since <= history.completed:
            return
        if now - since >= REFUSE_SECONDS:
            return
        self._refused.put(content, since)
        self._shared_refused[content] = None
        self._shared.pop(content, None)
        self._encoded_at = float("-inf")
        for target in history.runs:
            self._explained.put(target, content)
        eliot.log_message(
            "content.refused",
            content=content,
            source=source,
            targets=list(history.runs),
            seconds=REFUSE_SECONDS,
            **details,
        )
        self._metrics.set("contents_refused", len(self._refused))

    def encode(self) -> bytes:
        """Returns what to tell a peer; empty if there is nothing."""
        now = self._timers.now()
        if now - self._encoded_at > ENCODE_SECONDS:
            self._encoded = self._encode(now)
            self._encoded_at = now
        return self._encoded

    def _encode(self, now: float) -> bytes:
        refused: list[str] = []
        for content in list(self._shared_refused):
            since = self._refused.get(content)
            if since is None or not self.is_refused(content):
                self._shared_refused.pop(content, None)
                continue
            age = now - since
            refused.append(_encode_item(content, REFUSED, age, age))
        urgent: list[str] = []
        suspected: list[str] = []
        completed: list[str] = []
        for content in list(self._shared):
            history = self._histories.get(content)
            if history is None or now - history.changed > SHARE_SECONDS:
                del self._shared[content]
                continue
            ends = self.ends(content)
            items = urgent if ends > 1 else suspected if ends else completed
            items.extend(_encode_history(content, history, now))
        message = _join([refused], MAX_REFUSED_BYTES)
        rest = _join(
            [urgent, suspected, completed], MAX_MESSAGE_BYTES - len(message)
        )
        return statements.join(filter(None, (message, rest)))

    def receive(self, host: str, encoded: bytes) -> None:
        """Records what a peer passes on.

        Raises:
            ValueError: the message is malformed.
        """
        now = self._timers.now()
        for content, kind, began, ended in statements.split(encoded, 4):
            fingerprints.check(content)
            at = now - quantities.parse(ended)
            if kind == COMPLETED:
                self.add_completion(content, at, host)
            elif kind == REFUSED:
                self._refuse(content, at, host)
            else:
                run = Run(now - quantities.parse(began), at)
                self.add_end(content, kind, run, host)

    def _ensure(self, content: str) -> History:
        history = self._histories.get(content)
        if history is None:
            history = History()
            self._histories.put(content, history)
        return history

    def _changed(self, content: str, history: History) -> None:
        history.changed = self._timers.now()
        self._shared.pop(content, None)
        self._shared[content] = None
        if len(self._shared) > MAX_SHARED_REQUESTS:
            del self._shared[next(iter(self._shared))]
        self._encoded_at = float("-inf")


def _join(groups: list[list[str]], max_bytes: int) -> str:
    """Joins statements, of the first groups first and the newest of each."""
    items: list[str] = []
    size = 0
    for item in (item for group in groups for item in reversed(group)):
        size += len(item) + len(statements.SEPARATOR)
        if size > max_bytes:
            break
        items.append(item)
    return statements.SEPARATOR.join(reversed(items))


def _encode_item(content: str, kind: str, began: float, ended: float) -> str:
    """Returns a statement about a request.

    Args:
        content: fingerprint of the request.
        kind: a target's incarnation, `COMPLETED` or `REFUSED`.
        began: seconds since the run began.
        ended: seconds since the run ended.
    """
    return statements.item(content, kind, f"{began:.3f}", f"{ended:.3f}")


def _encode_history(content: str, history: History, now: float) -> list[str]:
    """Returns the statements about a suspected request."""
    items = [
        _encode_item(content, target, now - run.began, now - run.ended)
        for target, run in history.runs.items()
        if run.ended > history.completed
    ]
    if history.completed > float("-inf"):
        age = now - history.completed
        items.append(_encode_item(content, COMPLETED, age, age))
    return items
