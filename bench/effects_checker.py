"""Checks a history of non-idempotent requests for broken guarantees.

The checker is independent of the implementation (claims, rows, versions). It
compares what callers sent and received with what the services executed.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
import dataclasses
import enum
import math


class Reported(enum.Enum):
    """What a reply reported to its caller: whether the request took effect.

    The first three members have the values of `errors.Ran`.
    """

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"
    NO_REPLY = "no reply"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a caller to send a request, or one outcome look-up.

    Attributes:
        name: identifies the request, as "account/idempotency key".
        body: the request body; empty for a look-up.
        start: when the attempt was sent, in seconds.
        end: when the reply arrived, in seconds; infinite without a reply.
        reported: whether the request took effect, according to the reply.
        answer: body of the service's answer; empty if the reply had none.
        looks_up: whether this is a look-up.
    """

    name: str
    body: bytes
    start: float
    end: float = math.inf
    reported: Reported = Reported.NO_REPLY
    answer: bytes = b""
    looks_up: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """One execution of a request by a service.

    Attributes:
        name: identifies the request, as `Attempt.name` does.
        body: the request body as the service received it.
        moment: when the service executed the request, in seconds.
        answer: body of the service's answer.
    """

    name: str
    body: bytes
    moment: float
    answer: bytes


@dataclasses.dataclass(slots=True)
class Verdict:
    """Names of the requests that broke a guarantee, by guarantee.

    Attributes:
        twice: requests that ran more than once.
        false_no: requests with an effect that contradicts a reply of "no",
            which means that the attempt did not run and never will.
        wrong_answer: requests for which a caller received a "yes" that no
            earlier effect explains, or an answer other than the complete one
            of the service.
        unrequested: requests that ran with a body that no caller sent.
    """

    twice: list[str] = dataclasses.field(default_factory=list)
    false_no: list[str] = dataclasses.field(default_factory=list)
    wrong_answer: list[str] = dataclasses.field(default_factory=list)
    unrequested: list[str] = dataclasses.field(default_factory=list)

    @property
    def clean(self) -> bool:
        """Whether the history broke no guarantee."""
        return not (
            self.twice or self.false_no or self.wrong_answer or self.unrequested
        )


def check(attempts: Sequence[Attempt], effects: Sequence[Effect]) -> Verdict:
    """Returns the guarantees that a history broke."""
    verdict = Verdict()
    attempts_of = collections.defaultdict(list)
    effects_of = collections.defaultdict(list)
    for attempt in attempts:
        attempts_of[attempt.name].append(attempt)
    for effect in effects:
        effects_of[effect.name].append(effect)
    for name in sorted(attempts_of.keys() | effects_of.keys()):
        if len(effects_of[name]) > 1:
            verdict.twice.append(name)
        if any(
            not _may_have_run(attempts_of[name], item)
            for item in effects_of[name]
        ):
            verdict.false_no.append(name)
        if not all(
            _has_valid_answer(item, effects_of[name])
            for item in attempts_of[name]
        ):
            verdict.wrong_answer.append(name)
        bodies = {item.body for item in attempts_of[name] if not item.looks_up}
        if any(item.body not in bodies for item in effects_of[name]):
            verdict.unrequested.append(name)
    return verdict


def _may_have_run(attempts: Sequence[Attempt], effect: Effect) -> bool:
    """Returns whether an effect is consistent with every reply of "no".

    Some attempt must have caused the effect. It must have started before the
    effect, must not have been answered "no", and must not have been answered
    "yes" before the effect. A look-up that returned "no" is wrong if the
    effect came before the look-up started. If the effect came after the
    look-up ended, an attempt that ended before the look-up started cannot
    have caused it.
    """
    causes = [
        item
        for item in attempts
        if not item.looks_up
        and item.reported is not Reported.NO
        and item.start <= effect.moment
        and (item.reported is not Reported.YES or effect.moment <= item.end)
    ]
    for item in attempts:
        if item.looks_up and item.reported is Reported.NO:
            if effect.moment < item.start:
                return False
            causes = [
                cause
                for cause in causes
                if cause.end >= item.start or effect.moment <= item.end
            ]
    return bool(causes)


def _has_valid_answer(attempt: Attempt, effects: Sequence[Effect]) -> bool:
    """Returns whether a reply matches an effect that came before it.

    A reply other than "yes" has no answer to compare. An operator may resolve
    a request as run without its answer, so a "yes" without an answer only
    needs an effect.
    """
    if attempt.reported is not Reported.YES:
        return True
    return any(
        effect.moment <= attempt.end
        and (attempt.looks_up or effect.body == attempt.body)
        and (not attempt.answer or effect.answer == attempt.answer)
        for effect in effects
    )
