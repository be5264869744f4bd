"""Judges a history of non-idempotent requests from what the edges saw.

It knows nothing of claims, rows or versions: only what callers sent and were
told, and what the services carried out.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
import dataclasses
import enum
import math


class Reported(enum.Enum):
    """What a caller was told in the end."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"
    NO_REPLY = "no reply"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One try of a caller, or one look-up.

    Attributes:
        name: names the request: client account and idempotency key.
        body: what was sent; empty for a look-up.
        start: moment at which it was sent, in seconds.
        end: moment of the answer, in seconds; infinite if there is none.
        reported: what the answer said.
        answer: the service's answer, if there was one.
        looks_up: whether it is a look-up.
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
    """What a service carried out.

    Attributes:
        name: names the request as the caller did.
        body: what arrived.
        moment: when, in seconds.
        answer: what the service answered.
    """

    name: str
    body: bytes
    moment: float
    answer: bytes


@dataclasses.dataclass(slots=True)
class Verdict:
    """What was found.

    Attributes:
        twice: names of requests that ran more than once.
        false_no: names of requests that ran although that was denied.
        wrong_answer: names whose answers are not the service's, whole.
        unrequested: names of effects that nobody asked for in that form.
    """

    twice: list[str] = dataclasses.field(default_factory=list)
    false_no: list[str] = dataclasses.field(default_factory=list)
    wrong_answer: list[str] = dataclasses.field(default_factory=list)
    unrequested: list[str] = dataclasses.field(default_factory=list)

    @property
    def clean(self) -> bool:
        """Whether every promise was kept."""
        return not (
            self.twice or self.false_no or self.wrong_answer or self.unrequested
        )


def judge(attempts: Sequence[Attempt], effects: Sequence[Effect]) -> Verdict:
    """Returns which promises a history breaks."""
    verdict = Verdict()
    asked = collections.defaultdict(list)
    ran = collections.defaultdict(list)
    for attempt in attempts:
        asked[attempt.name].append(attempt)
    for effect in effects:
        ran[effect.name].append(effect)
    for name in sorted(asked.keys() | ran.keys()):
        if len(ran[name]) > 1:
            verdict.twice.append(name)
        if any(not _may_have_run(asked[name], item) for item in ran[name]):
            verdict.false_no.append(name)
        if not all(_is_whole(item, ran[name]) for item in asked[name]):
            verdict.wrong_answer.append(name)
        bodies = {item.body for item in asked[name] if not item.looks_up}
        if any(item.body not in bodies for item in ran[name]):
            verdict.unrequested.append(name)
    return verdict


def _may_have_run(attempts: Sequence[Attempt], effect: Effect) -> bool:
    """Returns whether an effect agrees with each denial that was given.

    Some try must own the effect: one that was not denied, that began before
    it and had no certain answer yet. A look-up that said "no" leaves only
    tries that were open when it began; an effect before it disproves it.
    """
    owners = [
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
            owners = [
                owner
                for owner in owners
                if owner.end >= item.start or effect.moment <= item.end
            ]
    return bool(owners)


def _is_whole(attempt: Attempt, effects: Sequence[Effect]) -> bool:
    """Returns whether an answer is the service's own for this request."""
    if attempt.reported is not Reported.YES:
        return True
    return any(
        effect.moment <= attempt.end
        and (attempt.looks_up or effect.body == attempt.body)
        and (not attempt.answer or effect.answer == attempt.answer)
        for effect in effects
    )
