"""Command line of the soak, see docs/SOAK.md."""

from __future__ import annotations

import argparse
import collections
from collections.abc import Iterator
import pathlib
import signal
import sys

from soak import fleet as fleet_lib
from soak import plan
from soak import readiness
from soak import run
from soak import settings as settings_lib
from soak import shapes

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
CALLERS = 24
LISTED = 5  # violations that are printed, of each kind


def main(args: list[str] | None = None) -> int:
    """Plays one or several seeds and prints a line about each.

    Returns:
        The exit code.
    """
    cfg = _parse(args)
    # So that a run that is stopped ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    worst = EXIT_HELD
    for options in _options(cfg):
        name = f"seed {options.seed} {options.shape.name}"
        try:
            result = run.play(options)
        except readiness.NotRun as exc:
            print(f"{name}: not run: {exc}", flush=True)
            worst = max(worst, EXIT_NOT_RUN)
            continue
        verdict = "BROKEN" if result.violations else "held"
        if result.violations and worst == EXIT_HELD:
            worst = EXIT_BROKEN
        print(f"{name}: {verdict}; {summary(result)}", flush=True)
        for line in result.lines:
            print(f"  {line}")
        if result.kept_in is not None:
            print(f"  record in {result.kept_in}", flush=True)
    return worst


def summary(result: run.Result) -> str:
    """Returns the counts of a run in one line."""
    kinds = collections.Counter(one.kind for one in result.violations)
    groups = {
        "streams": result.counts,
        "faults": result.faults,
        "violations": dict(sorted(kinds.items())),
    }
    return "; ".join(
        f"{name}: "
        + (", ".join(f"{k} {v}" for k, v in counts.items()) or "none")
        for name, counts in groups.items()
    )


def _parse(args: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", help="a range such as 1-20")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument(
        "--shape", choices=sorted(shapes.SHAPES), default="kantavaranto"
    )
    parser.add_argument(
        "--tree",
        type=pathlib.Path,
        default=fleet_lib.ROOT,
        help="the repository whose entry hosts run",
    )
    parser.add_argument(
        "--no-build",
        action="store_true",
        help="run entry hosts with this interpreter and its packages",
    )
    parser.add_argument(
        "--framing",
        default=",".join(settings_lib.Framing),
        help="how targets' responses end, separated by commas",
    )
    parser.add_argument(
        "--faults",
        default=",".join(sorted(plan.KINDS)),
        help="series of faults to draw from, separated by commas",
    )
    parser.add_argument("--hosts", type=int)
    parser.add_argument("--targets", type=int)
    parser.add_argument("--callers", type=int, default=CALLERS)
    parser.add_argument(
        "--keep",
        type=pathlib.Path,
        default=pathlib.Path("soak-records"),
        help="folder for the records of runs with violations",
    )
    cfg = parser.parse_args(args)
    unknown = set(filter(None, cfg.faults.split(","))) - plan.KINDS
    if unknown:
        parser.error(f"unknown series of faults: {sorted(unknown)}")
    unknown = set(cfg.framing.split(",")) - set(settings_lib.Framing)
    if unknown:
        parser.error(f"unknown framings: {sorted(unknown)}")
    return cfg


def _options(cfg: argparse.Namespace) -> Iterator[run.Options]:
    first, _, last = (cfg.seeds or str(cfg.seed)).partition("-")
    shape = shapes.SHAPES[cfg.shape]
    for seed in range(int(first), int(last or first) + 1):
        yield run.Options(
            seed=seed,
            seconds=cfg.seconds,
            shape=shape,
            tree=cfg.tree.resolve(),
            uses_build=not cfg.no_build,
            framings=tuple(cfg.framing.split(",")),
            faults=frozenset(filter(None, cfg.faults.split(","))),
            host_count=cfg.hosts or shape.host_count,
            target_count=cfg.targets or shape.target_count,
            caller_count=cfg.callers,
            keep=cfg.keep.resolve(),
        )


if __name__ == "__main__":
    sys.exit(main())
