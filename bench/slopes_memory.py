"""Measures how much memory each object that a process holds takes."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import gc
import tracemalloc

from bench import fitting
from bench import slopes_messages
from endivepier.configuration import current as current_lib
from endivepier.configuration import keys
from endivepier.configuration import state as state_lib
from endivepier.history import messages
from endivepier.history import records
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.limits import bucket as bucket_lib
from endivepier.membership import members
from endivepier.membership import view as view_lib
from endivepier.sidecar import parts
from endivepier.standins import clock
from endivepier.standins import engine as engine_lib
from endivepier.standins import hosts as hosts_lib
from endivepier.standins import simulation as simulation_lib
from endivepier.storage import ports
from endivepier.targets import ports as target_ports

# Numbers of accounts, of their buckets, and of targets.
ACCOUNT_COUNTS = (1000, 2000, 4000)
MEMBER_COUNTS = (1000, 2000, 4000)
PROGRAM_COUNTS = (100, 200, 400)
TURN_TEXT = "read the cheque " * 60
# Time for a simulated sidecar to start.
BOOT_WAIT_SECONDS = 10.0
CALL_TIMEOUT_SECONDS = 30.0
CONFIGURATION = state_lib.State(
    1,
    accounts={"one": state_lib.Account("one", 1e6, 1e6)},
    pools={"pool": state_lib.Pool("pool", state_lib.PoolKind.ENGINE)},
    targets={"engine": state_lib.Target("engine", "pool")},
    models={"model": state_lib.Model("model", "pool")},
)


def run(seed: int) -> None:
    """Measures and prints the bytes per object of each kind."""
    _measure_slope(
        seed,
        "program with one turn at its owner",
        PROGRAM_COUNTS,
        _make_programs,
    )
    _measure_slope(
        seed, "account with a key in force", ACCOUNT_COUNTS, _make_accounts
    )
    _measure_slope(seed, "bucket of an account", ACCOUNT_COUNTS, _make_buckets)
    _measure_slope(
        seed, "configuration object (target)", ACCOUNT_COUNTS, _make_targets
    )
    _measure_slope(seed, "member in the view", MEMBER_COUNTS, _make_view)


def _measure_slope(
    seed: int,
    name: str,
    sizes: Sequence[int],
    make: Callable[[int], object],
) -> None:
    line = fitting.fit([(size, held_bytes(make, size)) for size in sizes])
    slopes_messages.emit(seed, f"memory of a {name}", line.slope, "B")
    slopes_messages.emit(
        seed, f"memory of a {name}, residual", line.residual, "1"
    )


def held_bytes(make: Callable[[int], object], size: int) -> float:
    """Returns the bytes that `make(size)` allocates and its result keeps."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    result = make(size)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return float(after - before)


def _make_programs(size: int) -> simulation_lib.Simulation:
    """Returns a simulated sidecar that has run one call of each program."""
    simulation = simulation_lib.Simulation(1)
    host = ports.Host(
        "10.0.0.1:1", "dc", "sidecar", "engine", ports.HostState.LIVE
    )
    engine = engine_lib.MemoryEngine(
        simulation.timers,
        "engine",
        ["model"],
        engine_lib.EngineProfile(max_batch_size=64, tokens_per_event=64),
    )
    sidecar = simulation.boot(
        host,
        lambda env: parts.EngineSidecar(
            env, "engine", engine, parts.QueueLimits(64, size)
        ),
    )
    sidecar.current.advance(CONFIGURATION)
    simulation.timers.advance(BOOT_WAIT_SECONDS)
    assert isinstance(sidecar, parts.EngineSidecar)
    for number in range(size):
        simulation.timers.run(lambda n=number: _run_program(sidecar, n))
    # The rows of the simulated table are not part of the sidecar's memory.
    simulation.table._rows.clear()
    return simulation


def _run_program(sidecar: parts.EngineSidecar, number: int) -> None:
    program = ids_lib.ProgramId("pool", number % 64, f"{number:024x}")
    budget = records.Budget(1000, 10, 1e6)
    sidecar.programs.create(
        messages.CreateProgram(str(program), "one", "model", "kind", budget)
    )
    call = messages.ModelCall(
        program_id=str(program),
        account="one",
        call_id=str(number),
        messages=(target_ports.ChatMessage("user", TURN_TEXT),),
        whole=False,
        max_tokens=64,
        seconds=CALL_TIMEOUT_SECONDS,
    )
    for _ in sidecar.programs.model_call(call):
        pass


def _make_accounts(size: int) -> current_lib.CurrentConfiguration:
    """Returns a configuration with one key per account.

    It is encoded and decoded, as in a process that has read it from the store.
    """
    accounts = {}
    api_keys = {}
    for number in range(size):
        name = f"account-{number:06d}"
        digest = keys.digest_of(name)
        accounts[name] = state_lib.Account(name, 10.0, 20.0)
        api_keys[digest] = state_lib.Key(digest, name)
    state = state_lib.State(1, accounts=accounts, keys=api_keys)
    current = current_lib.CurrentConfiguration()
    current.advance(codec.decode(state_lib.State, codec.encode(state)))
    return current


def _make_buckets(size: int) -> dict[str, bucket_lib.Bucket]:
    buckets = {}
    for number in range(size):
        account = state_lib.Account(f"account-{number}", 10.0, 20.0)
        bucket = bucket_lib.Bucket(account, 0.2, float(number), 0.0, full=True)
        bucket.update(number + 1.0, 0.2)
        buckets[account.name] = bucket
    return buckets


def _make_targets(size: int) -> current_lib.CurrentConfiguration:
    targets = {
        f"engine-{number}": state_lib.Target(f"engine-{number}", "pool")
        for number in range(size)
    }
    state = state_lib.State(1, targets=targets)
    current = current_lib.CurrentConfiguration()
    current.advance(codec.decode(state_lib.State, codec.encode(state)))
    return current


class _ReadyPeers:
    """Peers that reply to every heartbeat as ready sidecars."""

    def call(
        self,
        address: str,
        req: object,
        reply: type[members.Member],
        *,
        seconds: float,
    ) -> members.Member:
        """Returns the reply of a ready sidecar."""
        del req, seconds
        data = codec.encode(_member(address))
        member: members.Member = codec.decode(reply, data)
        return member

    def stream(self, *args: object, **kwargs: object) -> object:
        """Fails, since a view doesn't open streams."""
        raise NotImplementedError


def _member(address: str) -> members.Member:
    return members.Member(
        address,
        "sidecar",
        "dc",
        f"engine-{address}",
        "pool",
        members.MemberState.READY,
        address.rjust(24, "0"),
        1,
    )


def _make_view(size: int) -> view_lib.View:
    timers = clock.VirtualTimers()
    host_list = hosts_lib.MemoryHostList(timers)
    for number in range(size):
        address = f"10.{number // 62500}.{number // 250 % 250}.{number % 250}:1"
        host = ports.Host(
            address, "dc", "sidecar", f"engine-{number}", ports.HostState.LIVE
        )
        host_list.put(host, at_once=True)
    view = view_lib.View(
        host_list,
        _ReadyPeers(),  # type: ignore[arg-type]
        timers,
        lambda: _member("10.9.9.9:1"),
    )
    view.refresh()
    for host in host_list.hosts():
        view.probe(host.address)
    return view
