"""Measures how fast configuration changes take effect, and their cost.

Withdrawals of keys are timed with the real daemons over HTTP on loopback. The
time until a release note is in force on all processes, its growth with the
number of processes, and the reads of the configuration's head row in the table
are measured in simulated time.
"""

from __future__ import annotations

from bench import config_withdrawals as withdrawals
from endivepier.internal import loop

loop.configure()

from gevent import monkey

monkey.patch_all()

import statistics
import time

from bench import figures
from endivepier.configuration import changes
from endivepier.configuration import current as current_lib
from endivepier.configuration import follower as follower_lib
from endivepier.configuration import keys as keys_lib
from endivepier.configuration import messages
from endivepier.configuration import relays
from endivepier.configuration import state as state_lib
from endivepier.configuration import store as store_lib
from endivepier.entry import parts
from endivepier.internal import codec
from endivepier.internal import process
from endivepier.standins import simulation
from endivepier.storage import ports

IN_FORCE_BOUND_SECONDS = 5.0

SAMPLES = 100
FULL_SAMPLES = 400

PROCESS_COUNTS = (8, 32, 128)
ENTRIES = 4
DATA_CENTRES = 3
NOTES = 8
FULL_NOTES = 100
SETTLE_SECONDS = 3.0
READ_WINDOW_SECONDS = 4.0

ACCOUNTS = 14_000
REPEATS = 200


def _boot(seed: int, size: int) -> simulation.Simulation:
    """Returns a simulated fleet of `size` processes that are all ready."""
    sim = simulation.Simulation(seed)
    for number in range(size):
        entry = number < ENTRIES
        host = ports.Host(
            address=f"10.0.{number // 250}.{number % 250 + 1}:1",
            data_centre=f"dc-{number % DATA_CENTRES}",
            role="entry" if entry else "sidecar",
            target="" if entry else f"target-{number}",
            state=ports.HostState.LIVE,
        )
        sim.boot(host, _make_entry if entry else _make_sidecar)
    sim.timers.advance(SETTLE_SECONDS)
    return sim


def _make_entry(env: process.Environment) -> process.Base:
    return parts.Entry(env)


def _make_sidecar(env: process.Environment) -> process.Base:
    return process.Base(env, "sidecar")


def measure_size(seed: int, size: int, notes: int) -> float:
    """Measures a fleet of one size and prints its figures.

    Returns:
        The largest number of seconds until a note was in force everywhere.
    """
    sim = _boot(seed, size)
    entries = list(sim.processes.values())[:ENTRIES]
    times: list[float] = []
    for number in range(notes):
        sim.timers.advance(sim.rng.uniform(0.5, 1.5))
        note = (
            f'[[added.accounts]]\nname = "account-{number}"\n'
            "rate = 1.0\nburst = 1.0\n"
        )
        times.append(
            sim.timers.run(
                _seconds_until_in_force, sim, sim.rng.choice(entries), note
            )
        )
    withdrawals.emit(
        f"note in force everywhere, {size} processes, largest of {notes}",
        max(times),
        "s",
        seed,
        bound=IN_FORCE_BOUND_SECONDS,
    )
    withdrawals.emit(
        f"note in force everywhere, {size} processes, mean",
        statistics.mean(times),
        "s",
        seed,
    )
    read_rate = _read_rate(sim, size)
    if size > relays.MAX_DIRECT_HOSTS:
        withdrawals.emit(
            f"reads of the head per process, {size} processes with relays",
            read_rate,
            "1/s",
            seed,
            baseline=_direct_read_rate(seed, size),
        )
    else:
        withdrawals.emit(
            f"reads of the head per process, {size} processes without relays",
            read_rate,
            "1/s",
            seed,
        )
    return max(times)


def _seconds_until_in_force(
    sim: simulation.Simulation, entry: process.Base, note: str
) -> float:
    """Applies a note; returns the seconds until all processes have it."""
    accepted = entry.store.apply(
        note, entry.ids.unique(), entry.current, lambda: None
    )
    accepted_at = sim.timers.now()
    entry.follower.announce(accepted.revision)
    while any(
        proc.current.state.revision < accepted.revision
        for proc in sim.processes.values()
    ):
        sim.timers.sleep(withdrawals.POLL_SECONDS)
    return sim.timers.now() - accepted_at


def _read_rate(sim: simulation.Simulation, size: int) -> float:
    """Returns the reads of the head row per process and second, when idle."""
    original_get = sim.table.get
    count = 0

    def counting_get(key: str) -> ports.Row | None:
        nonlocal count
        count += key == store_lib.HEAD_KEY
        return original_get(key)

    sim.table.get = counting_get  # type: ignore[method-assign]
    sim.timers.advance(READ_WINDOW_SECONDS)
    sim.table.get = original_get  # type: ignore[method-assign]
    return count / size / READ_WINDOW_SECONDS


def _direct_read_rate(seed: int, size: int) -> float:
    """Returns `_read_rate` of a fleet whose processes all read the table."""
    direct_hosts = relays.MAX_DIRECT_HOSTS
    relays.MAX_DIRECT_HOSTS = size
    try:
        return _read_rate(_boot(seed, size), size)
    finally:
        relays.MAX_DIRECT_HOSTS = direct_hosts


def measure_state(seed: int) -> None:
    """Measures a configuration of `ACCOUNTS` accounts with a key each.

    Prints the size of its state, the CPU time and the size of a delta with one
    account, and the CPU time of a pull of revisions that returns no change.
    """
    objects = changes.Objects(
        accounts=tuple(
            state_lib.Account(f"account-{n}", 1.0, 1.0) for n in range(ACCOUNTS)
        ),
        keys=tuple(
            state_lib.Key(keys_lib.digest_of(str(n)), f"account-{n}")
            for n in range(ACCOUNTS)
        ),
    )
    current = current_lib.CurrentConfiguration()
    first = changes.Delta(
        1, "first", "", "", 0.0, changes.Changes(objects, changes.Names())
    )
    current.apply_deltas((first,))
    withdrawals.emit(
        f"snapshot of {ACCOUNTS} accounts with a key each",
        len(codec.encode(current.state)) / 1e6,
        "MB",
        seed,
    )
    started = time.process_time()
    for number in range(REPEATS):
        delta = changes.Delta(
            current.state.revision + 1,
            f"change-{number}",
            current.state.chain,
            "",
            0.0,
            changes.Changes(
                changes.Objects(accounts=(objects.accounts[number],)),
                changes.Names(),
            ),
        )
        current.apply_deltas((delta,))
    cpu_seconds = (time.process_time() - started) / REPEATS
    withdrawals.emit(
        "CPU to put a delta in force at that size",
        cpu_seconds * 1e3,
        "ms",
        seed,
    )
    withdrawals.emit(
        "size of such a delta", len(codec.encode(delta)), "B", seed
    )
    started = time.process_time()
    for _ in range(REPEATS):
        codec.decode(
            messages.PullRevisions, codec.encode(messages.PullRevisions(1))
        )
        codec.encode(messages.Revisions(current.state.revision, 0.1))
    cpu_seconds = (time.process_time() - started) / REPEATS
    withdrawals.emit(
        "CPU of a pull without the transport", cpu_seconds * 1e6, "us", seed
    )


def main() -> None:
    """Runs the benchmark and prints its figures."""
    args = figures.parser(__doc__).parse_args()
    withdrawals.measure_withdrawals(
        args.seed, FULL_SAMPLES if args.full else SAMPLES
    )
    notes = FULL_NOTES if args.full else NOTES
    largest = [measure_size(args.seed, size, notes) for size in PROCESS_COUNTS]
    slope = statistics.linear_regression(PROCESS_COUNTS, largest).slope
    withdrawals.emit(
        "slope of the largest time in force", slope, "s/process", args.seed
    )
    # Computed and not measured: in a data centre, only the roots read the head.
    reads_per_second = relays.ROOTS / follower_lib.POLL_INTERVAL_SECONDS
    withdrawals.emit(
        "reads of the head per data centre with relays",
        reads_per_second,
        "1/s",
        args.seed,
    )
    measure_state(args.seed)


if __name__ == "__main__":
    main()
