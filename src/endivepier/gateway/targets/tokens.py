"""Tokens of targets that limit the rate of calls from all hosts together.

One host owns the tokens of a target, chosen by rendezvous hashing. The others
ask it for a token for each call to that target, so that the few hosts whose
programs have their prompts there can use the whole rate. A target states its
limit suddenly and for seconds, possibly while the store is away, so that
nothing of this is stored; the owner learns of the limit from whoever asks.

The sum over all hosts stays near the rate whatever hosts know of each other:

* A bucket starts empty, so that a new owner gives away nothing that the former
  one has given away already.
* A host that takes the place of an owner which does not respond, but may still
  be serving others, uses half of the rate.
* A host that has no token from an owner uses half of an equal part.

Cold targets (see `targets.rates`) bear no more than their rate in a second, and
a host that knows too little must not guess. So for their tokens the burst is
short, only the next hosts in the ranking take the place of an owner, and a host
that doesn't know the others yet, or has no owner, uses none.
"""

from __future__ import annotations

import dataclasses
import enum

import eliot

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import model
from endivepier.gateway.hosts import peers as peers_lib
from endivepier.gateway.targets import messages as rate_messages
from endivepier.gateway.targets import rates as target_rates
from endivepier.internal import bounded_map
from endivepier.internal import codec
from endivepier.internal import rendezvous
from endivepier.limits import bucket as bucket_lib
from endivepier.telemetry import metrics as metrics_lib

SHARE_WITHOUT_OWNER = 0.5  # of the rate, without the consent of the owner
# Tokens that a bucket holds at most: those of this time, and no fewer than a
# program needs that moves to the target.
BURST_SECONDS = 1.0
COLD_BURST_SECONDS = 0.15
COLD_SUBSTITUTES = 2  # hosts that may take the place of an owner
COLD_PAUSE_SECONDS = 0.25  # until a host without an owner asks again
TOKENS_TO_MOVE = 2.0  # leaves one to the programs that are at the target
FILLED_TO_BEGIN = 0.5  # of the bucket, besides the token for the call
MIN_RATE = 0.1  # requests/s; only responses tell when a limit ends
MAX_PAUSE_SECONDS = 1.0  # the limit may have ended meanwhile
MAX_RETRY_SECONDS = 2.0  # clients wait at most a third of their timeout of 4 s
# Time that a turn occupies a slot, to compare a rate with a number of slots.
TURN_SECONDS = 0.25


class Basis(enum.StrEnum):
    """What entitles a host to use a target's rate."""

    OWNER = "owner"  # it owns the tokens
    SUBSTITUTE = "substitute"  # the owner does not respond to it
    ALONE = "alone"  # no owner gave it a token


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """No token, and when there may be one.

    Attributes:
        wait: seconds until the next token.
        retry_after: seconds after which a client may find a token.
    """

    wait: float
    retry_after: float


_NO_OWNER = Refusal(COLD_PAUSE_SECONDS, COLD_PAUSE_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Rate and burst, in requests and per second, as a bucket needs them."""

    rate: float
    burst: float


@dataclasses.dataclass(slots=True, eq=False)
class Tokens:
    """The tokens of one target at this host.

    Attributes:
        basis: what entitles this host to them.
        bucket: the tokens.
    """

    basis: Basis
    bucket: bucket_lib.Bucket


class RateTokens:
    """Takes tokens for calls to targets that limit their rate."""

    def __init__(
        self,
        host: str,
        rates: target_rates.TargetRates,
        peers: peers_lib.Peers,
        timers: timers_lib.Timers,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Initializes without tokens and registers the handler for peers.

        Args:
            host: name of this host.
            rates: what the targets have stated.
            peers: the other hosts.
            timers: the timer service.
            metrics: counts the calls that got a token or none.
        """
        self._host = host
        self._rates = rates
        self._peers = peers
        self._timers = timers
        self._metrics = metrics
        self._tokens: bounded_map.BoundedMap[Tokens] = bounded_map.BoundedMap(
            target_rates.MAX_TARGETS
        )
        # No token is expected before the end of the refusal's wait, by
        # incarnation and claim.
        self._refused: dict[
            tuple[str, rate_messages.Claim], tuple[float, Refusal]
        ] = {}
        peers.register(rate_messages.TAKE, self._handle_take)

    def take(
        self, target: model.Target, claim: rate_messages.Claim
    ) -> Refusal | None:
        """Takes a token for a call to a target.

        Args:
            target: the target.
            claim: who gets a token first.

        Returns:
            None if the call may be sent to the target.
        """
        incarnation = target.incarnation
        rate = self._rates.rate(incarnation)
        if rate is None:
            return None
        refusal = self._standing_refusal(incarnation, claim)
        if refusal is None:
            refusal = self._take(incarnation, rate, claim)
        outcome = "taken" if refusal is None else "refused"
        self._metrics.count("target_rate_tokens", outcome=outcome)
        return refusal

    def may_take(self, target: model.Target) -> bool:
        """Returns whether a call under way may get a token now."""
        if self._rates.rate(target.incarnation) is None:
            return True
        return (
            self._standing_refusal(
                target.incarnation, rate_messages.Claim.STAYS
            )
            is None
        )

    def slots(self, target: model.Target) -> float:
        """Returns how many slots of a target its rate allows to use."""
        rate = self._rates.rate(target.incarnation)
        if rate is None:
            return target.slots
        return min(target.slots, rate * TURN_SECONDS)

    def forget(self, incarnation: str) -> None:
        """Drops the tokens of a target that no longer exists."""
        self._tokens.drop(incarnation)
        for claim in rate_messages.Claim:
            self._refused.pop((incarnation, claim), None)

    def _standing_refusal(
        self, incarnation: str, claim: rate_messages.Claim
    ) -> Refusal | None:
        """Returns a refusal of this or a better claim that still stands."""
        now = self._timers.now()
        for refused in rate_messages.Claim:
            until, refusal = self._refused.get(
                (incarnation, refused), (now, None)
            )
            if until > now and refusal is not None:
                return dataclasses.replace(refusal, wait=until - now)
            if refused is claim:
                break
        return None

    def _take(
        self, incarnation: str, rate: float, claim: rate_messages.Claim
    ) -> Refusal | None:
        owner = self._owner(incarnation)
        if self._rates.cold(incarnation) and not self._peers.is_settled:
            refusal: Refusal | None = _NO_OWNER
        elif owner == self._host:
            refusal = self._take_own(incarnation, rate, claim)
        else:
            refusal = self._take_from(owner, incarnation, rate, claim)
        if refusal is not None:
            pause = min(refusal.wait, MAX_PAUSE_SECONDS)
            until = self._timers.now() + pause
            self._refused[(incarnation, claim)] = (until, refusal)
            eliot.log_message(
                "target.rate_used_up",
                target=incarnation,
                rate=rate,
                claim=claim.value,
                wait=round(refusal.wait, 3),
            )
        return refusal

    def _take_from(
        self,
        owner: str,
        incarnation: str,
        rate: float,
        claim: rate_messages.Claim,
    ) -> Refusal | None:
        """Takes a token of the owner, or one of this host's own part."""
        age = self._rates.age(incarnation)
        take = rate_messages.Take(self._host, incarnation, rate, age, claim)
        cold = self._rates.cold(incarnation)
        if cold is not None:
            take = dataclasses.replace(
                take,
                cold_seconds=cold.until - self._timers.now(),
                cold_rate=cold.rate,
            )
        try:
            reply = self._peers.request(
                owner, rate_messages.TAKE, codec.encode(take)
            )
        except errors.PeerUnreachable as exc:
            eliot.log_message(
                "target.rate_owner_silent",
                target=incarnation,
                owner=owner,
                reason=str(exc),
            )
            return self._take_alone(incarnation, rate, claim)
        taken: rate_messages.Taken = codec.decode(rate_messages.Taken, reply)
        if cold is None:
            self._rates.note(
                incarnation, taken.rate, self._timers.now() - taken.age, owner
            )
        if not taken.is_owner:
            return self._take_alone(incarnation, rate, claim)
        if taken.wait is None:
            return None
        return Refusal(taken.wait, taken.retry_after)

    def _take_own(
        self, incarnation: str, rate: float, claim: rate_messages.Claim
    ) -> Refusal | None:
        """Takes a token that this host owns."""
        hosts = [*self._peers.other_hosts(), self._host]
        ranking = rendezvous.rank(incarnation, hosts, 1 + COLD_SUBSTITUTES)
        if self._rates.cold(incarnation) and self._host not in ranking:
            return _NO_OWNER
        if ranking[0] == self._host:
            return self._take_on(incarnation, rate, Basis.OWNER, 1.0, claim)
        return self._take_on(
            incarnation,
            rate,
            Basis.SUBSTITUTE,
            SHARE_WITHOUT_OWNER,
            claim,
        )

    def _take_alone(
        self, incarnation: str, rate: float, claim: rate_messages.Claim
    ) -> Refusal | None:
        """Takes a token of an equal part, without an owner."""
        if self._rates.cold(incarnation):
            return _NO_OWNER
        host_count = len(self._peers.other_hosts()) + 1
        fraction = SHARE_WITHOUT_OWNER / host_count
        return self._take_on(incarnation, rate, Basis.ALONE, fraction, claim)

    def _take_on(
        self,
        incarnation: str,
        rate: float,
        basis: Basis,
        fraction: float,
        claim: rate_messages.Claim,
    ) -> Refusal | None:
        now = self._timers.now()
        is_cold = self._rates.cold(incarnation) is not None
        burst_seconds = COLD_BURST_SECONDS if is_cold else BURST_SECONDS
        most = max(rate * fraction * burst_seconds, TOKENS_TO_MOVE)
        limit = Limit(max(rate, MIN_RATE), most / fraction)
        tokens = self._ensure(incarnation, basis, fraction, limit, now)
        bucket = tokens.bucket
        bucket.rate, bucket.burst = limit.rate, limit.burst
        bucket.update(now, fraction)
        bucket.record_request(now)
        needed = _tokens_needed(claim, most)
        if bucket.level >= needed - bucket_lib.ROUNDING_TOLERANCE:
            bucket.take_token()
            return None
        refill = fraction * limit.rate
        wait = (needed - bucket.level) / refill
        retry_after = wait * max(bucket.demand(now) / refill, 1.0)
        return Refusal(wait, min(retry_after, MAX_RETRY_SECONDS))

    def _ensure(
        self,
        incarnation: str,
        basis: Basis,
        fraction: float,
        limit: Limit,
        now: float,
    ) -> Tokens:
        """Returns this host's tokens, new and empty ones on another basis."""
        tokens = self._tokens.get(incarnation)
        if tokens is not None and tokens.basis is basis:
            return tokens
        eliot.log_message(
            "target.rate_part",
            target=incarnation,
            rate=limit.rate,
            basis=basis.value,
            before=None if tokens is None else tokens.basis.value,
            fraction=round(fraction, 4),
        )
        bucket = bucket_lib.Bucket(limit, fraction, now, now, full=False)
        tokens = Tokens(basis, bucket)
        self._tokens.put(incarnation, tokens)
        return tokens

    def _owner(self, incarnation: str) -> str:
        """Returns the owner of a target's tokens among the reachable hosts.

        A host that drains owns none if it knows another one.
        """
        hosts = self._peers.available_hosts()
        if not (self._peers.is_leaving and hosts):
            hosts.append(self._host)
        return rendezvous.choose(incarnation, hosts)

    def _handle_take(self, body: bytes) -> bytes:
        """Handles a peer's `Take`."""
        take: rate_messages.Take = codec.decode(rate_messages.Take, body)
        now = self._timers.now()
        if take.cold_seconds:
            self._rates.set_cold(take.target, take.cold_rate, take.cold_seconds)
        else:
            self._rates.note(take.target, take.rate, now - take.age, take.host)
        rate = self._rates.rate(take.target)
        is_owner = self._owner(take.target) == self._host
        refusal: Refusal | None = None
        if is_owner and take.cold_seconds and not self._peers.is_settled:
            refusal = _NO_OWNER
        elif is_owner and rate is not None:
            refusal = self._take_own(take.target, rate, take.claim)
        return codec.encode(
            rate_messages.Taken(
                is_owner=is_owner,
                wait=None if refusal is None else refusal.wait,
                retry_after=0.0 if refusal is None else refusal.retry_after,
                rate=rate,
                age=self._rates.age(take.target),
            )
        )


def _tokens_needed(claim: rate_messages.Claim, most: float) -> float:
    """Returns how many tokens there must be for a call to get one.

    Args:
        claim: who gets a token first.
        most: tokens that the bucket holds at most.
    """
    match claim:
        case rate_messages.Claim.STAYS:
            return 1.0
        case rate_messages.Claim.MOVES:
            return TOKENS_TO_MOVE
        case rate_messages.Claim.BEGINS:
            return 1.0 + FILLED_TO_BEGIN * most
