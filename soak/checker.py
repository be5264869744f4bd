"""Judges streams by what callers and targets saw; has no side effects."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from soak import records


@dataclasses.dataclass(frozen=True)
class Violation:
    """A stream that broke a rule.

    Attributes:
        kind: which rule, such as "early end".
        detail: what was seen.
        stream: the stream.
    """

    kind: str
    detail: str
    stream: records.Stream


def check(
    streams: Sequence[records.Stream], runs: Iterable[records.Run]
) -> list[Violation]:
    """Returns all violations.

    Args:
        streams: the streams of all callers. Two may share attempts, if their
            caller resumed a stream twice.
        runs: what the targets recorded.
    """
    runs_by_attempt = collections.defaultdict(list)
    for run in sorted(runs, key=lambda run: run.at):
        runs_by_attempt[run.attempt].append(run)
    violations = []
    for stream in streams:
        found = [
            *_check_ids(stream),
            *_check_ends(stream),
            *_check_origins(stream),
            *_check_joins(stream),
        ]
        for part in stream.parts:
            found += _check_runs(stream, part, runs_by_attempt[part.attempt])
        violations += [Violation(*pair, stream) for pair in found]
    return violations


def _check_ids(stream: records.Stream) -> Iterator[tuple[str, str]]:
    """Yields ids that are missing, repeated or too great."""
    last = 0
    for part in stream.parts:
        for event in part.events:
            if event.id <= last:
                yield "repeated", f"event {event.id} after event {last}"
            elif event.id > last + 1:
                yield "missing", f"event {event.id} after event {last}"
            if event.id > stream.event_count:
                yield (
                    "surplus",
                    f"event {event.id} of a stream of {stream.event_count}",
                )
            last = max(last, event.id)


def _check_ends(stream: records.Stream) -> Iterator[tuple[str, str]]:
    """Yields ends that look complete and are not."""
    last = 0
    for part in stream.parts:
        last = max([last, *(event.id for event in part.events)])
        if part.end is not records.End.COMPLETE:
            continue
        if last < stream.event_count:
            yield (
                "early end",
                f"attempt {part.attempt} is complete after event {last} of"
                f" {stream.event_count}",
            )
        if part.rest:
            yield (
                "cut event",
                f"attempt {part.attempt} is complete with {part.rest} bytes"
                f" after event {last}",
            )


def _check_origins(stream: records.Stream) -> Iterator[tuple[str, str]]:
    """Yields data of other requests, and data of several versions."""
    digest = records.digest(stream.program, stream.body)
    versions: dict[str, int] = {}
    for part in stream.parts:
        for event in part.events:
            origin = records.decode_origin(event.data)
            if origin is None:
                yield "foreign", f"event {event.id} has data {event.data!r}"
                continue
            versions.setdefault(origin.version, event.id)
            expected = (event.id, stream.event_count, digest, part.attempt)
            found = (
                origin.id,
                origin.event_count,
                origin.digest,
                origin.attempt,
            )
            if found != expected:
                yield (
                    "foreign",
                    f"event {event.id} was made for {found}, not {expected}",
                )
    if len(versions) > 1:
        yield "versions", f"first events by version: {versions}"


def _check_joins(stream: records.Stream) -> Iterator[tuple[str, str]]:
    """Yields runs that were joined where streams can't be resumed."""
    if stream.is_resumable:
        return
    origins = [records.decode_origin(event.data) for event in stream.events]
    made_by = {
        (origin.target, origin.born, origin.attempt)
        for origin in origins
        if origin is not None
    }
    if len(made_by) > 1:
        yield "joined", f"events of several runs: {sorted(made_by)}"


def _check_runs(
    stream: records.Stream, part: records.Part, runs: Sequence[records.Run]
) -> Iterator[tuple[str, str]]:
    """Yields what was wrong about the runs of an attempt at targets."""
    if not stream.is_resumable and len(runs) > 1:
        yield (
            "second run",
            f"attempt {part.attempt} ran at"
            f" {', '.join(run.target for run in runs)}",
        )
    asked = part.last_event
    sent = asked or 0  # the last event that the host can have
    for run in runs:
        if run.body != stream.body:
            yield (
                "chain" if stream.previous else "body",
                f"attempt {part.attempt} at {run.target} has body"
                f" {run.body!r}, not {stream.body!r}",
            )
        after = run.last_event
        if after != asked and not (asked or 0) < (after or 0) <= sent:
            yield (
                "last event",
                f"attempt {part.attempt} goes on after {asked}, and was sent"
                f" to {run.target} after {after} where {sent} had been made",
            )
        sent = max(sent, run.sent)
