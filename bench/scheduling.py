"""Measures program latency, fairness, cache and refusals under load.

The unit of load is the capacity of the baseline: the rate at which first come
first served with random routing completes programs when it is saturated.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import math
import statistics
from typing import Literal

from bench import figures
from bench import simulation
from bench import simulation_setup as setup_lib
from bench import workloads
from endivepier.internal import loop
from endivepier.scheduling import policies

SECONDS = 33.0
FULL_SECONDS = 240.0
SATURATED_RATE = 20.0
SATURATED_SECONDS = 15.0
# Calls that are due in the last seconds may still be under way at the end.
GRACE_SECONDS = 10.0
LATE_SECONDS = 30.0
LATE_LOSS = 0.5
LOADS = (0.5, 0.8, 0.95)
FAULT_LOAD = 0.8

FIRST_COME = setup_lib.Setup(policies.FirstCome(), policies.RandomRoute())
ROUND_ROBIN = setup_lib.Setup(policies.RoundRobin(), policies.RandomRoute())
OURS = setup_lib.Setup(policies.FairShare(), policies.OwnerFirst())


BENCH = "scheduling"


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """The figures of one run."""

    mean: float
    p99: float
    worst_share: float
    recomputed: float
    refused: float
    failures: int


def main() -> None:
    """Prints the figures as JSON lines."""
    loop.configure()
    args = figures.parser(__doc__ or "").parse_args()
    seconds = FULL_SECONDS if args.full else SECONDS
    for user in workloads.User:
        for figure in _figures(user, args.seed, seconds):
            figure.emit()


def _figures(
    user: workloads.User, seed: int, seconds: float
) -> Sequence[figures.Figure]:
    reached = capacity(OURS, user, seed)
    base = capacity(FIRST_COME, user, seed)
    found = [
        figures.Figure(
            BENCH,
            f"{user}.capacity",
            reached,
            "programs/s",
            seed,
            base,
            base,
            "min",
        )
    ]
    calm: Summary | None = None
    for load in LOADS:
        plans = workloads.plans(user, seed, base * load, seconds)
        case = f"{user}.load_{load}"
        fault = setup_lib.Fault.NONE
        base_run = measure(FIRST_COME, plans, fault, seconds, seed)
        if load == FAULT_LOAD:
            calm = base_run
        found.extend(
            _compare(case, plans, fault, seconds, seed, load, base_run)
        )
    found.extend(_round_robin(user, base, seconds, seed))
    plans = workloads.plans(user, seed, base * FAULT_LOAD, seconds)
    for fault in setup_lib.Fault:
        if fault is setup_lib.Fault.NONE:
            continue
        # Late events don't concern the baseline, which reads none.
        first = calm if fault is setup_lib.Fault.LATE_EVENTS else None
        if first is None:
            first = measure(FIRST_COME, plans, fault, seconds, seed)
        case = f"{user}.{fault}"
        found.extend(
            _compare(case, plans, fault, seconds, seed, FAULT_LOAD, first)
        )
    return found


def _round_robin(
    user: workloads.User, rate: float, seconds: float, seed: int
) -> Sequence[figures.Figure]:
    """Returns the second baseline at the load of the goals, for comparison."""
    plans = workloads.plans(user, seed, rate * FAULT_LOAD, seconds)
    base = measure(ROUND_ROBIN, plans, setup_lib.Fault.NONE, seconds, seed)
    case = f"{user}.round_robin"
    found = {"mean_latency": base.mean, "p99_latency": base.p99}
    return [
        *(
            figures.Figure(BENCH, f"{case}.{name}", value, "s", seed)
            for name, value in found.items()
        ),
        figures.Figure(
            BENCH,
            f"{case}.worst_account_share",
            base.worst_share,
            "ratio",
            seed,
            sense="min",
        ),
    ]


def capacity(setup: setup_lib.Setup, user: workloads.User, seed: int) -> float:
    """Returns the programs a second of a setup that is saturated."""
    seconds = SATURATED_SECONDS
    plans = workloads.plans(user, seed, SATURATED_RATE, seconds)
    cluster = simulation.Cluster(setup, seed)
    outcome = cluster.run(plans, setup_lib.Fault.NONE, seconds, drain=False)
    late = [
        moment for _, _, moment in outcome.completed if moment > seconds / 3
    ]
    return len(late) / (seconds * 2 / 3) / workloads.mean_calls(user)


def measure(
    setup: setup_lib.Setup,
    plans: Sequence[workloads.Plan],
    fault: setup_lib.Fault,
    seconds: float,
    seed: int,
) -> Summary:
    """Runs the plans under a setup."""
    if fault is setup_lib.Fault.LATE_EVENTS:
        profile = dataclasses.replace(
            setup.profile, event_lag_seconds=LATE_SECONDS, event_loss=LATE_LOSS
        )
        setup = dataclasses.replace(setup, profile=profile)
    outcome = simulation.Cluster(setup, seed).run(plans, fault, seconds)
    ordered = sorted(outcome.latencies)
    return Summary(
        mean=statistics.fmean(ordered),
        p99=ordered[math.ceil(0.99 * len(ordered)) - 1],
        worst_share=worst_share(plans, outcome, seconds),
        recomputed=outcome.recomputed_tokens / max(1, outcome.history_tokens),
        refused=outcome.refusals / max(1, outcome.tried),
        failures=outcome.failures,
    )


def worst_share(
    plans: Sequence[workloads.Plan],
    outcome: setup_lib.Outcome,
    seconds: float,
) -> float:
    """Returns the worst-served account's share of its fair share.

    Service is the worth of completed calls. What an account asked for are all
    calls that would have been over shortly before `seconds` without any wait;
    the fair share is the max-min fair division of all that was served of it.
    """
    asked: dict[str, float] = {}
    served: dict[str, float] = {}
    for plan in plans:
        count = sum(moment < seconds - GRACE_SECONDS for moment in _ideal(plan))
        worth = asked.get(plan.account, 0.0) + plan.worth * count
        asked[plan.account] = worth
    for number, turn, moment in outcome.completed:
        plan = plans[number]
        due = _ideal(plan)[turn] < seconds - GRACE_SECONDS
        if due and moment <= seconds:
            worth = served.get(plan.account, 0.0) + plan.worth
            served[plan.account] = worth
    fair = _max_min(asked, sum(served.values()))
    return min(
        served.get(name, 0.0) / share for name, share in fair.items() if share
    )


def _ideal(plan: workloads.Plan) -> Sequence[float]:
    """Returns when each call would end in a full batch without a wait."""
    profile = setup_lib.PROFILE
    pace = 1.0 + profile.batch_slope * (profile.max_batch_size - 1)
    found: list[float] = []
    now = plan.start
    for step in plan.steps:
        now += step.added / profile.prefill_tokens_per_second
        now += step.output * profile.token_seconds * pace
        found.append(now)
        now += step.pause
    return found


def _max_min(asked: dict[str, float], total: float) -> dict[str, float]:
    """Divides `total` max-min fairly among equal accounts."""
    fair: dict[str, float] = {}
    left = total
    ordered = sorted(asked.items(), key=lambda item: item[1])
    for index, (name, wish) in enumerate(ordered):
        fair[name] = min(wish, left / (len(ordered) - index))
        left -= fair[name]
    return fair


def _compare(
    case: str,
    plans: Sequence[workloads.Plan],
    fault: setup_lib.Fault,
    seconds: float,
    seed: int,
    load: float,
    base: Summary,
) -> Sequence[figures.Figure]:
    ours = measure(OURS, plans, fault, seconds, seed)
    goal = load == FAULT_LOAD

    def figure(
        name: str,
        value: float,
        unit: str,
        baseline: float,
        bound: float | None,
        sense: Literal["max", "min"],
    ) -> figures.Figure:
        return figures.Figure(
            BENCH, f"{case}.{name}", value, unit, seed, baseline, bound, sense
        )

    floor = statistics.fmean(
        _ideal(plan)[-1] - plan.start for plan in plans if not plan.flood
    )
    return [
        figures.Figure(
            BENCH, f"{case}.mean_latency_in_a_full_batch", floor, "s", seed
        ),
        figure(
            "mean_latency", ours.mean, "s", base.mean,
            base.mean / 1.5 if goal else None, "max",
        ),
        figure(
            "p99_latency", ours.p99, "s", base.p99,
            base.p99 if goal else None, "max",
        ),
        figure(
            "worst_account_share", ours.worst_share, "ratio",
            base.worst_share, 0.95, "min",
        ),
        figure(
            "recomputed_prefix", ours.recomputed, "ratio", base.recomputed,
            base.recomputed / 4, "max",
        ),
        figure(
            "wrongful_refusals", ours.refused, "ratio", base.refused, 0.0,
            "max",
        ),
        figure(
            "failed_programs", ours.failures, "programs", base.failures, 0.0,
            "max",
        ),
    ]  # fmt: skip


if __name__ == "__main__":
    main()
