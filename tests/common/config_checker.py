"""Checks a recorded history of configuration; shares no code with the product.

Works on plain records: what each process had in force when, what operators
were told, and the rows of the table at the end.
"""

import dataclasses
import json

FRESH_SECONDS = 10.0
IN_FORCE_SECONDS = 5.0
SLACK_SECONDS = 0.3


@dataclasses.dataclass(frozen=True)
class Sample:
    time: float
    address: str
    incarnation: str
    serving: bool
    revision: int
    chain: str
    state: object
    healthy_since: float


@dataclasses.dataclass(frozen=True)
class Told:
    """What an operator was told of a change: a status and a revision."""

    time: float
    change_id: str
    status: int
    ran: str
    revision: int | None


def check(samples, told, rows):
    """Returns all violations, in words."""
    found = []
    found += _falling(samples)
    found += _late(samples, told)
    found += _unequal(samples)
    found += _wrong_deltas(told, rows)
    return found


def _falling(samples):
    last, served = {}, {}
    for s in samples:
        if s.revision < last.get(s.incarnation, 0):
            yield f"{s.address} fell to {s.revision} at {s.time:.2f}"
        last[s.incarnation] = s.revision
        if s.serving:
            if s.revision < served.get(s.address, 0):
                yield f"{s.address} serves older {s.revision} at {s.time:.2f}"
            served[s.address] = s.revision


def _late(samples, told):
    accepted = [t for t in told if t.status == 201]
    for s in samples:
        for t in accepted:
            if s.revision >= t.revision:
                continue
            age = s.time - t.time
            if s.serving and age > FRESH_SECONDS + SLACK_SECONDS:
                yield f"{s.address} serves without {t.revision} at {s.time:.2f}"
            reachable = s.time - max(t.time, s.healthy_since)
            if reachable > IN_FORCE_SECONDS:
                yield f"{s.address} is late with {t.revision} at {s.time:.2f}"


def _unequal(samples):
    seen = {}
    for s in samples:
        first = seen.setdefault(s.revision, s)
        if (first.chain, first.state) != (s.chain, s.state):
            yield f"{s.address} has another revision {s.revision}"


def _wrong_deltas(told, rows):
    deltas = [
        json.loads(row.value)
        for row in rows
        if row.key.startswith("config/delta/")
    ]
    ids = [delta["change_id"] for delta in deltas]
    for change_id in set(ids):
        if ids.count(change_id) > 1:
            yield f"change {change_id} is applied {ids.count(change_id)} times"
    numbers = [delta["revision"] for delta in deltas]
    if numbers != list(range(1, len(numbers) + 1)):
        yield f"the revisions are {numbers}"
    made = {d["change_id"]: d["revision"] for d in deltas}
    accepted = {t.change_id for t in told if t.status == 201}
    for t in told:
        if t.status == 201 and made.get(t.change_id) != t.revision:
            yield f"change {t.change_id} is not revision {t.revision}"
        # An unknown outcome may be either; every other refusal of a change
        # that was never accepted by another try must have left no trace.
        unknown = any(
            other.change_id == t.change_id and other.ran == "unknown"
            for other in told
        )
        if t.change_id not in accepted and not unknown and t.change_id in made:
            yield f"change {t.change_id} was refused, but is there"
