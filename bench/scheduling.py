"""Measures program latency, fairness, prefix reuse and refusals under load.

Load is given as a fraction of the baseline's capacity: the rate at which first
come, first served with random routing completes programs when saturated.
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

RUN_SECONDS = 33.0
FULL_RUN_SECONDS = 240.0
SATURATING_PROGRAMS_PER_SECOND = 20.0
SATURATED_RUN_SECONDS = 15.0
# Calls due in the last seconds of a run are left out of the fairness measure,
# since they may still be running when it ends.
GRACE_SECONDS = 10.0
LATE_EVENT_LAG_SECONDS = 30.0
LATE_EVENT_LOSS = 0.5
# Fractions of the baseline's capacity.
LOADS = (0.5, 0.8, 0.95)
# The load that the latency targets are stated for; runs with a fault and with
# the round robin baseline use it too.
REFERENCE_LOAD = 0.8

# Two baselines, and the policies that are compared with them.
FIRST_COME = setup_lib.Setup(policies.FirstCome(), policies.RandomRoute())
ROUND_ROBIN = setup_lib.Setup(policies.RoundRobin(), policies.RandomRoute())
FAIR_SHARE = setup_lib.Setup(policies.FairShare(), policies.OwnerFirst())

BENCH = "scheduling"


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """The measured values of one run.

    Attributes:
        mean_latency: mean program latency in seconds.
        p99_latency: 99th percentile of the program latency in seconds.
        worst_share: smallest ratio of an account's service to its fair share.
        recomputed_share: fraction of the history tokens that were not cached.
        refused_share: fraction of the calls sent that were refused, without
            those of the flood.
        failed_programs: number of programs that ran out of retries.
    """

    mean_latency: float
    p99_latency: float
    worst_share: float
    recomputed_share: float
    refused_share: float
    failed_programs: int


def main() -> None:
    """Prints the figures as JSON lines."""
    loop.configure()
    args = figures.parser(__doc__ or "").parse_args()
    seconds = FULL_RUN_SECONDS if args.full else RUN_SECONDS
    for user in workloads.User:
        for figure in _figures(user, args.seed, seconds):
            figure.emit()


def _figures(
    user: workloads.User, seed: int, seconds: float
) -> Sequence[figures.Figure]:
    fair_capacity = capacity(FAIR_SHARE, user, seed)
    base_capacity = capacity(FIRST_COME, user, seed)
    rows = [
        figures.Figure(
            BENCH,
            f"{user}.capacity",
            fair_capacity,
            "programs/s",
            seed,
            base_capacity,
            base_capacity,
            "min",
        )
    ]
    base_without_fault: Summary | None = None
    for load in LOADS:
        plans = workloads.plans(user, seed, base_capacity * load, seconds)
        case = f"{user}.load_{load}"
        fault = setup_lib.Fault.NONE
        base_run = measure(FIRST_COME, plans, fault, seconds, seed)
        if load == REFERENCE_LOAD:
            base_without_fault = base_run
        rows.extend(_compare(case, plans, fault, seconds, seed, load, base_run))
    rows.extend(_round_robin(user, base_capacity, seconds, seed))
    plans = workloads.plans(user, seed, base_capacity * REFERENCE_LOAD, seconds)
    for fault in setup_lib.Fault:
        if fault is setup_lib.Fault.NONE:
            continue
        # The baseline reads no cache events, so late ones don't affect it.
        fault_base = (
            base_without_fault if fault is setup_lib.Fault.LATE_EVENTS else None
        )
        if fault_base is None:
            fault_base = measure(FIRST_COME, plans, fault, seconds, seed)
        case = f"{user}.{fault}"
        rows.extend(
            _compare(
                case, plans, fault, seconds, seed, REFERENCE_LOAD, fault_base
            )
        )
    return rows


def _round_robin(
    user: workloads.User, base_capacity: float, seconds: float, seed: int
) -> Sequence[figures.Figure]:
    """Returns the figures of the round robin baseline at `REFERENCE_LOAD`."""
    plans = workloads.plans(user, seed, base_capacity * REFERENCE_LOAD, seconds)
    base = measure(ROUND_ROBIN, plans, setup_lib.Fault.NONE, seconds, seed)
    case = f"{user}.round_robin"
    latencies = {
        "mean_latency": base.mean_latency,
        "p99_latency": base.p99_latency,
    }
    return [
        *(
            figures.Figure(BENCH, f"{case}.{name}", value, "s", seed)
            for name, value in latencies.items()
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
    """Returns the programs per second that a saturated setup completes.

    It is the rate of completed calls divided by the mean calls per program.
    """
    seconds = SATURATED_RUN_SECONDS
    plans = workloads.plans(user, seed, SATURATING_PROGRAMS_PER_SECOND, seconds)
    cluster = simulation.Cluster(setup, seed)
    outcome = cluster.run(plans, setup_lib.Fault.NONE, seconds, drain=False)
    # The first third of the run is the warm-up.
    counted = [
        completed_at
        for _, _, completed_at in outcome.completed
        if completed_at > seconds / 3
    ]
    return len(counted) / (seconds * 2 / 3) / workloads.mean_calls(user)


def measure(
    setup: setup_lib.Setup,
    plans: Sequence[workloads.Plan],
    fault: setup_lib.Fault,
    seconds: float,
    seed: int,
) -> Summary:
    """Runs the plans with a setup and returns the measured values."""
    if fault is setup_lib.Fault.LATE_EVENTS:
        profile = dataclasses.replace(
            setup.profile,
            event_lag_seconds=LATE_EVENT_LAG_SECONDS,
            event_loss=LATE_EVENT_LOSS,
        )
        setup = dataclasses.replace(setup, profile=profile)
    outcome = simulation.Cluster(setup, seed).run(plans, fault, seconds)
    ordered = sorted(outcome.latencies)
    return Summary(
        mean_latency=statistics.fmean(ordered),
        p99_latency=ordered[math.ceil(0.99 * len(ordered)) - 1],
        worst_share=worst_share(plans, outcome, seconds),
        recomputed_share=outcome.recomputed_tokens
        / max(1, outcome.history_tokens),
        refused_share=outcome.refusals / max(1, outcome.calls_sent),
        failed_programs=outcome.failed_programs,
    )


def worst_share(
    plans: Sequence[workloads.Plan],
    outcome: setup_lib.Outcome,
    seconds: float,
) -> float:
    """Returns the smallest ratio of an account's service to its fair share.

    A call counts if it would have ended at least `GRACE_SECONDS` before the
    end of the run had no call waited in a queue. An account's demand is the
    total kind weight of these calls, and its service is that of the ones that
    completed in the run. The fair shares divide the service of all accounts
    max-min fairly.
    """
    demand: dict[str, float] = {}
    served: dict[str, float] = {}
    for plan in plans:
        count = sum(
            due_at < seconds - GRACE_SECONDS
            for due_at in _unqueued_completion_times(plan)
        )
        weight = demand.get(plan.account, 0.0) + plan.kind_weight * count
        demand[plan.account] = weight
    for number, turn, completed_at in outcome.completed:
        plan = plans[number]
        counts = (
            _unqueued_completion_times(plan)[turn] < seconds - GRACE_SECONDS
        )
        if counts and completed_at <= seconds:
            weight = served.get(plan.account, 0.0) + plan.kind_weight
            served[plan.account] = weight
    fair = _max_min_shares(demand, sum(served.values()))
    return min(
        served.get(name, 0.0) / share for name, share in fair.items() if share
    )


def _unqueued_completion_times(plan: workloads.Plan) -> Sequence[float]:
    """Returns the end of each call if none waited and all batches were full.

    Also assumes that the history is always cached; ignores network latency.
    """
    profile = setup_lib.PROFILE
    slowdown = 1.0 + profile.batch_slope * (profile.max_batch_size - 1)
    times: list[float] = []
    now = plan.start
    for step in plan.steps:
        now += step.added_tokens / profile.prefill_tokens_per_second
        now += step.output_tokens * profile.token_seconds * slowdown
        times.append(now)
        now += step.pause_seconds
    return times


def _max_min_shares(demand: dict[str, float], total: float) -> dict[str, float]:
    """Divides `total` max-min fairly among accounts of equal weight."""
    fair: dict[str, float] = {}
    remaining = total
    ordered = sorted(demand.items(), key=lambda item: item[1])
    for index, (name, account_demand) in enumerate(ordered):
        fair[name] = min(account_demand, remaining / (len(ordered) - index))
        remaining -= fair[name]
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
    """Returns the figures of `FAIR_SHARE`, with those of a baseline run.

    The bounds are the stated targets; some are relative to the baseline.
    """
    result = measure(FAIR_SHARE, plans, fault, seconds, seed)
    has_latency_targets = load == REFERENCE_LOAD

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

    unqueued_mean = statistics.fmean(
        _unqueued_completion_times(plan)[-1] - plan.start
        for plan in plans
        if not plan.flood
    )
    return [
        figures.Figure(
            BENCH, f"{case}.mean_latency_in_a_full_batch", unqueued_mean, "s",
            seed,
        ),
        figure(
            "mean_latency", result.mean_latency, "s", base.mean_latency,
            base.mean_latency / 1.5 if has_latency_targets else None, "max",
        ),
        figure(
            "p99_latency", result.p99_latency, "s", base.p99_latency,
            base.p99_latency if has_latency_targets else None, "max",
        ),
        figure(
            "worst_account_share", result.worst_share, "ratio",
            base.worst_share, 0.95, "min",
        ),
        figure(
            "recomputed_prefix", result.recomputed_share, "ratio",
            base.recomputed_share, base.recomputed_share / 4, "max",
        ),
        figure(
            "wrongful_refusals", result.refused_share, "ratio",
            base.refused_share, 0.0, "max",
        ),
        figure(
            "failed_programs", result.failed_programs, "programs",
            base.failed_programs, 0.0, "max",
        ),
    ]  # fmt: skip


if __name__ == "__main__":
    main()
