"""Chooses the engine for each model call of this sidecar's programs.

The cached prefix of a program is at the engine that ran its last call. That
target is preferred unless the wait for it costs more than to run the call
elsewhere and recompute or move the prefix. All costs are estimates in seconds
from measured rates. The location of a prefix is taken from the answers that
pass through this process, not from the engines' cache events, since these may
be late or lost.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Generator
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import functools
import random

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import bounded_map
from endivepier.internal import peers as peers_lib
from endivepier.membership import liveness
from endivepier.membership import members
from endivepier.membership import view as view_lib
from endivepier.scheduling import dispatch
from endivepier.scheduling import ejection
from endivepier.scheduling import engine_timing
from endivepier.scheduling import load as load_lib
from endivepier.scheduling import policies
from endivepier.scheduling import retries as retries_lib
from endivepier.scheduling import work as work_lib
from endivepier.targets import ports as target_ports
from endivepier.targets import tokens

MAX_PREFIX_LOCATIONS = 100000
RELEASE_TIMEOUT_SECONDS = 1.0
# How many targets are compared with the preferred one for each call.
MAX_ALTERNATIVES = 3
EVACUATED_RETRY_SECONDS = 2.0  # evacuations last for seconds or longer
RETRYABLE_CODES = frozenset({errors.Code.TARGET_FAILED, errors.Code.NOT_READY})


@dataclasses.dataclass(frozen=True, slots=True)
class _PrefixLocation:
    """The engine that holds a session's prefix.

    Attributes:
        address: address of the sidecar beside the engine.
        tokens: length of the prefix in tokens.
    """

    address: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    """A target for a call.

    Attributes:
        member: the sidecar beside the target.
        seconds: the estimated time until the call ends there.
        prefix_at: the address from which the prefix is moved, or empty.
    """

    member: members.Member
    seconds: float
    prefix_at: str = ""


class Router:
    """Runs the model calls of the programs that this sidecar owns."""

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        peers: peers_lib.Peers,
        view: view_lib.View,
        timers: timers_lib.Timers,
        *,
        policy: policies.RoutePolicy | None = None,
        rng: random.Random | None = None,
        evacuated: Callable[[], Container[str]] = tuple,
    ) -> None:
        """Makes a router.

        Args:
            dispatcher: sends calls to the engine beside this sidecar.
            peers: sends messages to other sidecars.
            view: knows the members of the fleet and their state.
            timers: the timer service.
            policy: how to choose a target; `OwnerFirst` if None.
            rng: the source of random numbers.
            evacuated: returns the data centres whose targets get no calls.
        """
        self._dispatcher = dispatcher
        self._peers = peers
        self._view = view
        self._timers = timers
        self._policy = policy or policies.OwnerFirst()
        self._evacuated = evacuated
        self._rng = rng or random.Random(0)
        self._load_estimator = load_lib.LoadEstimator()
        self._retry_budget = retries_lib.RetryBudget()
        self._prefix_locations: bounded_map.BoundedMap[_PrefixLocation] = (
            bounded_map.BoundedMap(MAX_PREFIX_LOCATIONS)
        )

    def generate(
        self, req: work_lib.Generate
    ) -> Iterator[target_ports.EngineEvent]:
        """Runs the call on the engine that the policy chooses.

        A call that fails before its first token is retried at another target,
        within the limits of the policy and of the retry budget. This is safe
        since model calls have no side effects at an engine.

        Raises:
            errors.Refused: the call did not run, or the engine failed before
                the answer was complete.
        """
        self._retry_budget.deposit()
        tried: set[str] = set()
        while True:
            choice = self._choose(req, tried)
            streaming = False
            try:
                for event in self._send(choice, req, len(tried)):
                    streaming = True
                    yield event
                return
            except errors.Refused as exc:
                tried.add(choice.member.address)
                if streaming or not self._may_retry(exc, tried):
                    raise

    def is_ejected(self) -> bool:
        """Returns whether the target beside this sidecar is ejected."""
        me = self._view.me()
        return me.address in self._ejected(self._view.ready("sidecar", me.pool))

    def looks_slow(self) -> bool:
        """Returns whether the target beside this sidecar should be probed."""
        me = self._view.me()
        pool = self._view.ready("sidecar", me.pool)
        return ejection.looks_slow(pool, me.address)

    def release(self, session: str) -> bool:
        """Releases the cached prefix of a program that has ended.

        Returns:
            False if the engine of the last call failed to release it; call
            again later in that case. True if it was released, or if the
            sidecar of that engine does not answer heartbeats.
        """
        me = self._view.me()
        location = self._prefix_locations.get(session)
        address = me.address if location is None else location.address
        req = work_lib.ReleasePrefix(session)
        try:
            if address == me.address:
                self._dispatcher.release_prefix(req)
            elif self._view.find(address) is not None:
                self._peers.call(
                    address,
                    req,
                    work_lib.Released,
                    seconds=RELEASE_TIMEOUT_SECONDS,
                )
        except (errors.Refused, errors.PeerUnreachable):
            return False
        self._prefix_locations.drop(session)
        return True

    def _may_retry(self, exc: errors.Refused, tried: set[str]) -> bool:
        match self._policy:
            case policies.OwnerFirst(max_retries=limit):
                allowed = exc.code in RETRYABLE_CODES and len(tried) <= limit
                return allowed and self._retry_budget.withdraw()
            case _:
                return False

    def _choose(self, req: work_lib.Generate, tried: set[str]) -> _Choice:
        me = self._view.me()
        evacuated = self._evacuated()
        pool = [
            member
            for member in self._view.ready("sidecar", me.pool)
            if member.data_centre not in evacuated
        ]
        if not pool and me.data_centre in evacuated:
            raise errors.Refused(
                errors.Code.NOT_READY,
                503,
                f"no engine of pool {me.pool!r} is outside the evacuated data "
                "centres",
                retry_after=EVACUATED_RETRY_SECONDS,
            )
        match self._policy:
            case policies.RandomRoute():
                chosen = self._rng.choice(pool) if pool else me
                return _Choice(chosen, 0.0)
            case policies.OwnerOnly():
                return _Choice(me, 0.0)
            case policies.OwnerFirst() as policy:
                return self._choose_by_cost(policy, req, me, pool, tried)

    def _choose_by_cost(
        self,
        policy: policies.OwnerFirst,
        req: work_lib.Generate,
        me: members.Member,
        pool: Sequence[members.Member],
        tried: set[str],
    ) -> _Choice:
        """Returns the preferred target unless another is much faster.

        The preferred target holds the prefix or, before the first call, is
        beside this sidecar. If it is not usable, returns the cheapest of the
        others; if no target is usable, returns the one beside this sidecar.
        """
        excluded = self._ejected(pool) | tried
        usable = [m for m in pool if m.address not in excluded]
        if not usable and me.data_centre in self._evacuated():
            return _Choice(pool[0], 0.0)
        if not usable:
            return _Choice(me, 0.0)
        location = self._prefix_locations.get(req.request.session)
        preferred_address = me.address if location is None else location.address
        preferred = [m for m in usable if m.address == preferred_address]
        others = [m for m in usable if m.address != preferred_address]
        if len(others) > MAX_ALTERNATIVES:
            others = self._rng.sample(others, MAX_ALTERNATIVES)
        choices = [
            self._estimate_cost(policy, req, m, location)
            for m in preferred + others
        ]
        if not preferred:
            return min(choices, key=lambda choice: choice.seconds)
        max_seconds = choices[0].seconds - policy.min_gain_seconds
        for choice in sorted(choices[1:], key=lambda c: c.seconds):
            if choice.seconds >= max_seconds:
                break
            rechecked = self._recheck_cost(policy, req, choice, location)
            if rechecked is not None and rechecked.seconds < max_seconds:
                return rechecked
        return choices[0]

    def _recheck_cost(
        self,
        policy: policies.OwnerFirst,
        req: work_lib.Generate,
        choice: _Choice,
        location: _PrefixLocation | None,
    ) -> _Choice | None:
        """Estimates the cost again, with the target's current load.

        Heartbeats may be many seconds old. A call that leaves the target with
        its prefix for one that is busy, too, loses the prefix and still waits.

        Returns:
            The new estimate; None if the target is not ready.
        """
        if not policy.checks_load:
            return choice
        if choice.member.address == self._view.me().address:
            return choice
        member = self._view.probe(choice.member.address)
        if member is None or member.state is not members.MemberState.READY:
            return None
        return self._estimate_cost(policy, req, member, location)

    def _estimate_cost(
        self,
        policy: policies.OwnerFirst,
        req: work_lib.Generate,
        member: members.Member,
        location: _PrefixLocation | None,
    ) -> _Choice:
        """Estimates the seconds until the call ends at `member`.

        The rates of prefill and of moves are those of the local engine, since
        members report their token rates only.
        """
        timing = self._dispatcher.timing
        prompt_tokens = tokens.count_messages(req.request.messages)
        prefix_tokens = (
            0 if location is None else min(location.tokens, prompt_tokens)
        )
        seconds = self._load_estimator.wait_seconds(member)
        seconds += member.token_seconds * req.request.max_tokens
        if location is None or location.address == member.address:
            seconds += (prompt_tokens - prefix_tokens) * timing.prefill.value
            return _Choice(member, seconds)
        recompute_seconds = prefix_tokens * timing.prefill.value
        move_seconds = (
            engine_timing.MIN_MOVE_SECONDS + prefix_tokens * timing.move.value
        )
        seconds += (prompt_tokens - prefix_tokens) * timing.prefill.value
        reachable = self._view.find(location.address) is not None
        if (
            policy.moves_prefixes
            and reachable
            and move_seconds < recompute_seconds
        ):
            return _Choice(member, seconds + move_seconds, location.address)
        return _Choice(member, seconds + recompute_seconds)

    def _ejected(self, pool: Sequence[members.Member]) -> frozenset[str]:
        match self._policy:
            case policies.OwnerFirst() as policy:
                return ejection.ejected_addresses(pool, policy)
            case _:
                return frozenset()

    def _send(
        self, choice: _Choice, req: work_lib.Generate, attempt: int
    ) -> Iterator[target_ports.EngineEvent]:
        """Runs the call at a target and records that it holds the prefix."""
        # Each attempt has its own request id, so that a late cancellation of
        # an earlier attempt can't end it.
        request = dataclasses.replace(
            req.request, request_id=f"{req.request.request_id}-{attempt}"
        )
        req = dataclasses.replace(
            req, request=request, prefix_at=choice.prefix_at
        )
        me = self._view.me()
        if choice.member.address == me.address:
            events = self._dispatcher.generate(req)
        else:
            self._load_estimator.record_sent(choice.member)
            events = self._remote(choice.member, req)
        try:
            for event in events:
                if isinstance(event, target_ports.Finished):
                    self._record_location(choice.member, req, event)
                yield event
        finally:
            events.close()

    def _record_location(
        self,
        member: members.Member,
        req: work_lib.Generate,
        event: target_ports.Finished,
    ) -> None:
        session = req.request.session
        prefix_tokens = event.prompt_tokens + event.completion_tokens
        self._prefix_locations.put(
            session, _PrefixLocation(member.address, prefix_tokens)
        )

    def _remote(
        self, member: members.Member, req: work_lib.Generate
    ) -> Generator[target_ports.EngineEvent, None, None]:
        open_stream = functools.partial(
            self._peers.stream,
            member.address,
            req,
            target_ports.EngineEvent,
            seconds=req.work.seconds,
        )
        events = liveness.while_alive(
            self._view, self._timers, member.address, open_stream
        )
        try:
            yield from events
        except errors.PeerUnreachable as exc:
            self._view.suspect(member.address)
            raise errors.Refused(
                errors.Code.TARGET_FAILED,
                502,
                str(exc),
                ran=errors.Ran.UNKNOWN if exc.sent else errors.Ran.NO,
                retry_after=1.0,
            ) from None
