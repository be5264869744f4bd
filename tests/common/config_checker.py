"""Checks a recorded history of the configuration.

The input is plain records: the revision in force on each process over time,
the replies to operators, and the rows of the table at the end. The checker
shares no code with the product, so that it can't share its faults.
"""

import dataclasses
import json

MAX_STALE_SECONDS = 10.0
MAX_IN_FORCE_DELAY_SECONDS = 5.0
SLACK_SECONDS = 0.3


@dataclasses.dataclass(frozen=True)
class Sample:
    """The configuration in force on one process at one time.

    Attributes:
        time: simulated time, in seconds.
        address: address of the process.
        incarnation: identifies one run of the process.
        serving: whether the process would serve callers.
        revision: the revision in force.
        chain: the chain digest in force.
        state: the state in force, without its revision and chain.
        healthy_since: end of the last fault at the process; infinite during
            a fault.
    """

    time: float
    address: str
    incarnation: str
    serving: bool
    revision: int
    chain: str
    state: object
    healthy_since: float


@dataclasses.dataclass(frozen=True)
class Reply:
    """The reply to an operator who applied a change."""

    time: float
    change_id: str
    status: int
    ran: str
    revision: int | None


def check(samples, replies, rows):
    """Returns descriptions of all violations."""
    violations = []
    violations += _decreasing_revisions(samples)
    violations += _outdated_processes(samples, replies)
    violations += _diverging_states(samples)
    violations += _wrong_deltas(replies, rows)
    return violations


def _decreasing_revisions(samples):
    last_revision, last_served = {}, {}
    for sample in samples:
        if sample.revision < last_revision.get(sample.incarnation, 0):
            yield (
                f"{sample.address} went back to revision {sample.revision}"
                f" at {sample.time:.2f}"
            )
        last_revision[sample.incarnation] = sample.revision
        if sample.serving:
            if sample.revision < last_served.get(sample.address, 0):
                yield (
                    f"{sample.address} serves older revision {sample.revision}"
                    f" at {sample.time:.2f}"
                )
            last_served[sample.address] = sample.revision


def _outdated_processes(samples, replies):
    accepted = [reply for reply in replies if reply.status == 201]
    for sample in samples:
        for reply in accepted:
            if sample.revision >= reply.revision:
                continue
            age = sample.time - reply.time
            if sample.serving and age > MAX_STALE_SECONDS + SLACK_SECONDS:
                yield (
                    f"{sample.address} serves without revision"
                    f" {reply.revision} at {sample.time:.2f}"
                )
            healthy_seconds = sample.time - max(
                reply.time, sample.healthy_since
            )
            if healthy_seconds > MAX_IN_FORCE_DELAY_SECONDS:
                yield (
                    f"{sample.address} still lacks revision {reply.revision}"
                    f" at {sample.time:.2f}"
                )


def _diverging_states(samples):
    references = {}
    for sample in samples:
        reference = references.setdefault(sample.revision, sample)
        if (reference.chain, reference.state) != (sample.chain, sample.state):
            yield (
                f"{sample.address} has a different state at revision"
                f" {sample.revision}"
            )


def _wrong_deltas(replies, rows):
    deltas = [
        json.loads(row.value)
        for row in rows
        if row.key.startswith("config/delta/")
    ]
    ids = [delta["change_id"] for delta in deltas]
    for change_id in set(ids):
        if ids.count(change_id) > 1:
            yield f"change {change_id} is applied {ids.count(change_id)} times"
    revisions = [delta["revision"] for delta in deltas]
    if revisions != list(range(1, len(revisions) + 1)):
        yield f"the revisions are {revisions}"
    revision_of = {delta["change_id"]: delta["revision"] for delta in deltas}
    accepted = {reply.change_id for reply in replies if reply.status == 201}
    for reply in replies:
        if (
            reply.status == 201
            and revision_of.get(reply.change_id) != reply.revision
        ):
            yield f"change {reply.change_id} is not revision {reply.revision}"
        # A change whose outcome is unknown may have been applied or not. Any
        # other change that was refused at every attempt must have no delta.
        outcome_unknown = any(
            other.change_id == reply.change_id and other.ran == "unknown"
            for other in replies
        )
        if (
            reply.change_id not in accepted
            and not outcome_unknown
            and reply.change_id in revision_of
        ):
            yield f"change {reply.change_id} was refused, but has a delta"
