"""One run of the soak: starts the processes, plays a plan and judges."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Sequence
import dataclasses
import json
import pathlib
import shutil
import tempfile
import time
from typing import Any

from soak import callers as callers_lib
from soak import checker
from soak import fleet as fleet_lib
from soak import plan
from soak import player as player_lib
from soak import readiness
from soak import records
from soak import shapes

SPARE_TARGETS = 2  # of the second service, which routes are moved to
BUILT = "target/deps/.installed"  # as the deploy file's build leaves it
END_SECONDS = 60.0  # until the last streams have ended
NEAR_SECONDS = 1.5  # faults so long before a part or so are listed with it


@dataclasses.dataclass(frozen=True)
class Options:
    """What to run.

    Attributes:
        seed: of all draws.
        seconds: how long callers begin streams.
        shape: the deployment.
        tree: the repository whose entry hosts run.
        uses_build: whether they use its build instead of this interpreter.
        framings: how targets' responses end.
        faults: the series of faults to draw from.
        host_count: how many entry hosts.
        target_count: how many targets of the first service.
        caller_count: how many callers.
        keep: where the record of a run with violations is kept.
    """

    seed: int
    seconds: float
    shape: shapes.Shape
    tree: pathlib.Path
    uses_build: bool
    framings: tuple[str, ...]
    faults: frozenset[str]
    host_count: int
    target_count: int
    caller_count: int
    keep: pathlib.Path


@dataclasses.dataclass(frozen=True)
class Result:
    """What a run showed.

    Attributes:
        counts: of the streams.
        faults: how often each kind of fault was played.
        violations: the violations.
        lines: what was done and seen about them, for people.
        kept_in: where the record is, if it was kept.
    """

    counts: dict[str, int]
    faults: dict[str, int]
    violations: list[checker.Violation]
    lines: list[str]
    kept_in: pathlib.Path | None


def play(options: Options) -> Result:
    """Plays a run.

    Raises:
        readiness.NotRun: it can't be judged, such as since nothing happened.
    """
    if options.uses_build and not (options.tree / BUILT).exists():
        raise readiness.NotRun(f"{options.tree} has no build: no file {BUILT}")
    folder = pathlib.Path(tempfile.mkdtemp(prefix="endivepier-soak-"))
    seed = f"{options.shape.name}/{options.seed}"
    fleet = fleet_lib.Fleet(
        folder,
        options.tree,
        options.shape,
        seed,
        list(options.framings),
        uses_build=options.uses_build,
    )
    player = player_lib.Player(fleet)
    faults = plan.draw(f"{seed}/faults", options.seconds, options.faults)
    callers = callers_lib.make(options.caller_count, seed, fleet)
    try:
        try:
            asyncio.run(_play(options, fleet, player, faults, callers))
        finally:
            fleet.end()
        streams = [stream for one in callers for stream in one.streams]
        runs = fleet.runs()
        violations = checker.check(streams, runs)
        counts = _count(streams, runs)
        if not counts["complete"] or (faults and not player.played):
            raise readiness.NotRun(
                f"nothing to judge: {counts}, faults {player.played}"
            )
        lines = [
            line
            for violation in violations
            for line in _describe(violation, runs, player.log)
        ]
        kept_in = None
        if violations:
            kept_in = options.keep / f"{options.shape.name}-{options.seed}"
            _keep(folder, kept_in, faults, player, streams, lines)
        return Result(
            counts=counts,
            faults=dict(sorted(player.played.items())),
            violations=violations,
            lines=lines,
            kept_in=kept_in,
        )
    finally:
        shutil.rmtree(folder, ignore_errors=True)


async def _play(
    options: Options,
    fleet: fleet_lib.Fleet,
    player: player_lib.Player,
    faults: list[tuple[float, plan.Fault]],
    callers: Sequence[callers_lib.Caller],
) -> None:
    """Plays the faults while the callers run, and waits for the end of both."""
    counts = [options.target_count, SPARE_TARGETS]
    await fleet.start(options.host_count, counts)
    started_at = time.monotonic()
    until = started_at + options.seconds
    playing = player.play(faults, started_at)
    calling = [caller.run(options.shape, until) for caller in callers]
    try:
        async with asyncio.timeout(options.seconds + END_SECONDS):
            await asyncio.gather(playing, *calling)
    except TimeoutError as exc:
        raise readiness.NotRun(
            f"not over {END_SECONDS} s after the last stream began"
        ) from exc
    finally:
        await fleet.end_proxies()


def _count(
    streams: Sequence[records.Stream], runs: Sequence[records.Run]
) -> dict[str, int]:
    """Returns the counts of a run's streams."""
    ends = collections.Counter(
        "complete"
        if stream.is_complete
        else "refused"
        if not stream.events
        else "broken off"
        for stream in streams
        if stream.parts
    )
    resumed = [
        part
        for stream in streams
        for part in stream.parts
        if part.last_event is not None and part.status == 200
    ]
    return {
        "streams": len(streams),
        "complete": ends["complete"],
        "broken off": ends["broken off"],
        "without an event": ends["refused"],
        "resumed": len(resumed),
        "refusals": sum(
            part.end is records.End.REFUSED
            for stream in streams
            for part in stream.parts
        ),
        "kept turns": sum(s.is_kept and s.is_complete for s in streams),
        "continued turns": sum(
            s.is_complete and bool(s.previous) for s in streams
        ),
        "runs": len(runs),
    }


def _describe(
    violation: checker.Violation,
    runs: Sequence[records.Run],
    log: Sequence[tuple[float, str]],
) -> list[str]:
    """Returns the lines about a violation."""
    stream = violation.stream
    lines = [
        f"{violation.kind}: {violation.detail}",
        f"  stream {stream.name} on {stream.route}, {stream.event_count}"
        f" events, program {stream.program}"
        + (f", previous turn {stream.previous}" if stream.previous else ""),
    ]
    entries: list[tuple[float, str]] = []
    for part in stream.parts:
        ids = [event.id for event in part.events]
        lines.append(
            f"  {part.at:.3f}-{part.ended_at:.3f} attempt {part.attempt} at"
            f" {part.host}, after {part.last_event}, resumes"
            f" {part.resumes or '-'}: status {part.status}, events {ids},"
            f" {part.end} {part.note}"
        )
        for event in (*part.events[:1], *part.events[-1:]):
            lines.append(f"    {event.at:.3f} {event.data}")
        for run in runs:
            if run.attempt == part.attempt:
                lines.append(
                    f"    {run.at:.3f} ran at {run.target} {run.version}"
                    f" born {run.born}, after {run.last_event}, framing"
                    f" {run.framing}, sent {run.sent}, end {run.end or '-'}"
                )
        first, last = part.at - NEAR_SECONDS, part.ended_at + 0.1
        entries += [pair for pair in log if first <= pair[0] <= last]
    for at, text in sorted(set(entries)):
        lines.append(f"  {at:.3f} {text}")
    return lines


def _keep(
    folder: pathlib.Path,
    kept_in: pathlib.Path,
    faults: Sequence[tuple[float, plan.Fault]],
    player: player_lib.Player,
    streams: Sequence[records.Stream],
    lines: Sequence[str],
) -> None:
    """Keeps the hosts' logs, the targets' records, the plan and the streams."""
    shutil.rmtree(kept_in, ignore_errors=True)
    shutil.copytree(folder, kept_in)

    def write(name: str, texts: Sequence[str]) -> None:
        (kept_in / name).write_text("\n".join([*texts, ""]), encoding="utf-8")

    write("violations.txt", lines)
    write("plan.txt", [f"{at:8.3f} {fault}" for at, fault in faults])
    write("played.txt", [f"{at:.3f} {text}" for at, text in player.log])
    documents: list[dict[str, Any]] = [dataclasses.asdict(s) for s in streams]
    write("streams.jsonl", [json.dumps(document) for document in documents])
