"""Chooses the engine for a model call: the owner's own, or another.

A program's prefix is where its last call ran. That target is preferred as
long as what the call would wait for there costs less than to go elsewhere and
recompute the prefix or move it. All costs are estimates in seconds, from
measured rates; the place of a prefix comes from the answers that passed
through here, so that cache events which are late or lost change nothing.
"""

from __future__ import annotations

from collections.abc import Generator
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import functools
import random

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import peers as peers_lib
from endivepier.internal import recent
from endivepier.membership import members
from endivepier.membership import view as view_lib
from endivepier.membership import watched
from endivepier.scheduling import dispatch
from endivepier.scheduling import ejection
from endivepier.scheduling import engine_timing
from endivepier.scheduling import load as load_lib
from endivepier.scheduling import policies
from endivepier.scheduling import retries as retries_lib
from endivepier.scheduling import work as work_lib
from endivepier.targets import ports as target_ports
from endivepier.targets import tokens

PLACES = 100000
RELEASE_SECONDS = 1.0
# So many targets besides the one with the prefix are compared for a call.
CANDIDATES = 3
RETRIED = frozenset({errors.Code.TARGET_FAILED, errors.Code.NOT_READY})


@dataclasses.dataclass(frozen=True, slots=True)
class _Place:
    """Where a session's prefix is.

    Attributes:
        address: of the sidecar beside the engine.
        tokens: length of the prefix.
    """

    address: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    """A target for a call.

    Attributes:
        member: the sidecar beside it.
        seconds: what the call is expected to cost there.
        prefix_at: from where the prefix is moved there, or empty.
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
    ) -> None:
        """Makes a router.

        Args:
            dispatcher: the way to the engine beside this sidecar.
            peers: the way to other sidecars.
            view: which of them are there.
            timers: the timer service.
            policy: how to choose; the owner's engine first if None.
            rng: the source of random numbers.
        """
        self._dispatcher = dispatcher
        self._peers = peers
        self._view = view
        self._timers = timers
        self._policy = policy or policies.OwnerFirst()
        self._rng = rng or random.Random(0)
        self._load_estimator = load_lib.LoadEstimator()
        self._budget = retries_lib.RetryBudget()
        self._places: recent.Recent[_Place] = recent.Recent(PLACES)

    def generate(
        self, req: work_lib.Generate
    ) -> Iterator[target_ports.EngineEvent]:
        """Runs the call on the engine that the policy chooses.

        A call whose target failed before the first token is sent to another
        one, as far as the policy and the budget for retries allow; model
        calls have no effects at an engine.

        Raises:
            errors.Refused: it did not run, or the engine broke off.
        """
        self._budget.deposit()
        tried: set[str] = set()
        while True:
            choice = self._choose(req, tried)
            begun = False
            try:
                for event in self._send(choice, req, len(tried)):
                    begun = True
                    yield event
                return
            except errors.Refused as exc:
                tried.add(choice.member.address)
                if begun or not self._may_retry(exc, tried):
                    raise

    def is_ejected(self) -> bool:
        """Returns whether the target beside this sidecar is too slow."""
        me = self._view.me()
        return me.address in self._ejected(self._view.ready("sidecar", me.pool))

    def looks_slow(self) -> bool:
        """Returns whether that target seems slower than most of its pool."""
        me = self._view.me()
        pool = self._view.ready("sidecar", me.pool)
        return ejection.looks_slow(pool, me.address)

    def release(self, session: str) -> bool:
        """Frees the engine memory of a program that has ended.

        Returns:
            Whether it is certain that the last engine holds none any more;
            if not, call again later.
        """
        me = self._view.me()
        place = self._places.get(session)
        address = me.address if place is None else place.address
        req = work_lib.ReleasePrefix(session)
        try:
            if address == me.address:
                self._dispatcher.release_prefix(req)
            elif self._view.find(address) is not None:
                self._peers.call(
                    address, req, work_lib.Released, seconds=RELEASE_SECONDS
                )
        except (errors.Refused, errors.PeerUnreachable):
            return False
        self._places.drop(session)
        return True

    def _may_retry(self, exc: errors.Refused, tried: set[str]) -> bool:
        match self._policy:
            case policies.OwnerFirst(max_retries=limit):
                allowed = exc.code in RETRIED and len(tried) <= limit
                return allowed and self._budget.withdraw()
            case _:
                return False

    def _choose(self, req: work_lib.Generate, tried: set[str]) -> _Choice:
        me = self._view.me()
        pool = self._view.ready("sidecar", me.pool)
        match self._policy:
            case policies.RandomRoute():
                chosen = self._rng.choice(pool) if pool else me
                return _Choice(chosen, 0.0)
            case policies.OwnerOnly():
                return _Choice(me, 0.0)
            case policies.OwnerFirst() as policy:
                return self._cheapest(policy, req, me, pool, tried)

    def _cheapest(
        self,
        policy: policies.OwnerFirst,
        req: work_lib.Generate,
        me: members.Member,
        pool: Sequence[members.Member],
        tried: set[str],
    ) -> _Choice:
        """Returns the target that is sooner than the preferred one, or that."""
        out = self._ejected(pool) | tried
        usable = [m for m in pool if m.address not in out]
        if not usable:
            return _Choice(me, 0.0)
        place = self._places.get(req.request.session)
        wanted = me.address if place is None else place.address
        home = [m for m in usable if m.address == wanted]
        others = [m for m in usable if m.address != wanted]
        if len(others) > CANDIDATES:
            others = self._rng.sample(others, CANDIDATES)
        choices = [self._cost(policy, req, m, place) for m in home + others]
        if not home:
            return min(choices, key=lambda choice: choice.seconds)
        bound = choices[0].seconds - policy.min_gain_seconds
        for choice in sorted(choices[1:], key=lambda c: c.seconds):
            if choice.seconds >= bound:
                break
            checked = self._check(policy, req, choice, place)
            if checked is not None and checked.seconds < bound:
                return checked
        return choices[0]

    def _check(
        self,
        policy: policies.OwnerFirst,
        req: work_lib.Generate,
        choice: _Choice,
        place: _Place | None,
    ) -> _Choice | None:
        """Asks a target for its load before a call leaves its home for it.

        Heartbeats may be many seconds old, and a call that leaves its prefix
        for a target which is busy as well loses twice.
        """
        if not policy.checks_load:
            return choice
        if choice.member.address == self._view.me().address:
            return choice
        member = self._view.probe(choice.member.address)
        if member is None or member.state is not members.MemberState.READY:
            return None
        return self._cost(policy, req, member, place)

    def _cost(
        self,
        policy: policies.OwnerFirst,
        req: work_lib.Generate,
        member: members.Member,
        place: _Place | None,
    ) -> _Choice:
        """Estimates the seconds until the call ends at `member`."""
        timing = self._dispatcher.timing
        prompt = tokens.count_messages(req.request.messages)
        known = 0 if place is None else min(place.tokens, prompt)
        seconds = self._load_estimator.wait_seconds(member)
        seconds += member.token_seconds * req.request.max_tokens
        if place is None or place.address == member.address:
            seconds += (prompt - known) * timing.prefill.value
            return _Choice(member, seconds)
        recompute = known * timing.prefill.value
        move = engine_timing.MIN_MOVE_SECONDS + known * timing.move.value
        seconds += (prompt - known) * timing.prefill.value
        alive = self._view.find(place.address) is not None
        if policy.moves_prefixes and alive and move < recompute:
            return _Choice(member, seconds + move, place.address)
        return _Choice(member, seconds + recompute)

    def _ejected(self, pool: Sequence[members.Member]) -> frozenset[str]:
        match self._policy:
            case policies.OwnerFirst() as policy:
                return ejection.ejected_addresses(pool, policy)
            case _:
                return frozenset()

    def _send(
        self, choice: _Choice, req: work_lib.Generate, attempt: int
    ) -> Iterator[target_ports.EngineEvent]:
        """Runs the call at a target and notes where its prefix is then."""
        # A second try has a name of its own, so that what ends the first one
        # can't end it as well.
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
                    self._note_place(choice.member, req, event)
                yield event
        finally:
            events.close()

    def _note_place(
        self,
        member: members.Member,
        req: work_lib.Generate,
        event: target_ports.Finished,
    ) -> None:
        session = req.request.session
        size = event.prompt_tokens + event.completion_tokens
        self._places.put(session, _Place(member.address, size))

    def _remote(
        self, member: members.Member, req: work_lib.Generate
    ) -> Generator[target_ports.EngineEvent, None, None]:
        ask = functools.partial(
            self._peers.stream,
            member.address,
            req,
            target_ports.EngineEvent,
            seconds=req.work.seconds,
        )
        events = watched.while_alive(
            self._view, self._timers, member.address, ask
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
