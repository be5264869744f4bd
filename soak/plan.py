"""Draws the faults of a run; a seed always gives the same ones."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import enum
import random

from soak import proxy
from soak import settings as settings_lib

FIRST_SECOND = 1.5  # after the callers' first requests
CALM_SECONDS = 3.0  # at the end, so that the last streams end
MAX_PAUSE_SECONDS = 3.0
MIN_PAUSE_SECONDS = 0.3
SECONDS_PER_SERIES = 2.5


@dataclasses.dataclass(frozen=True)
class KillTarget:
    """Kills a target, and starts one for it.

    Attributes:
        target: which one, counted over those that run.
        moment: the moment of a stream, or None for at once.
        is_term: whether it gets SIGTERM instead.
        successor: what starts in its place.
        down_seconds: until that starts.
        lapse_seconds: until its row is removed.
    """

    target: int
    moment: settings_lib.Moment | None
    is_term: bool
    successor: str
    down_seconds: float
    lapse_seconds: float


@dataclasses.dataclass(frozen=True)
class PauseTarget:
    """Pauses a target."""

    target: int
    seconds: float


@dataclasses.dataclass(frozen=True)
class ResetTarget:
    """Resets the connections of a target's streams."""

    target: int


@dataclasses.dataclass(frozen=True)
class Release:
    """Replaces all targets of a service by ones of the other version.

    Attributes:
        service: number of the service.
        step_seconds: between two targets.
        drain_seconds: until a replaced target gets SIGTERM.
    """

    service: int
    step_seconds: float
    drain_seconds: float


@dataclasses.dataclass(frozen=True)
class KillHosts:
    """Kills entry hosts and starts them again.

    Attributes:
        hosts: which ones; all of them if empty.
        down_seconds: until they start again.
        is_replaced: whether hosts with other names start instead.
    """

    hosts: tuple[int, ...]
    down_seconds: float
    is_replaced: bool


@dataclasses.dataclass(frozen=True)
class StopHost:
    """Sends SIGTERM to an entry host, and starts it again after its end."""

    host: int


@dataclasses.dataclass(frozen=True)
class PauseHost:
    """Pauses an entry host."""

    host: int
    seconds: float


@dataclasses.dataclass(frozen=True)
class HarmStore:
    """Disturbs the connections to the store.

    Attributes:
        hosts: those of which hosts; all of them if empty.
        how: how.
        seconds: for how long.
    """

    hosts: tuple[int, ...]
    how: proxy.Harm
    seconds: float


class Way(enum.StrEnum):
    """Which connections between hosts are disturbed."""

    OUT = "out"  # those that the host opens
    IN = "in"  # those that others open to it
    BOTH = "both"


@dataclasses.dataclass(frozen=True)
class HarmPeers:
    """Disturbs the connections between a host and others.

    Attributes:
        host: the host.
        peer: the only other host, or None for all.
        way: which connections.
        how: how.
        seconds: for how long.
    """

    host: int
    peer: int | None
    way: Way
    how: proxy.Harm
    seconds: float


@dataclasses.dataclass(frozen=True)
class MoveRoute:
    """Writes a configuration that moves a route to the other service."""

    route: int


Fault = (
    KillTarget
    | PauseTarget
    | ResetTarget
    | Release
    | KillHosts
    | StopHost
    | PauseHost
    | HarmStore
    | HarmPeers
    | MoveRoute
)
# What starts in place of a target: under a new id at the same address, with
# its version or another one, under its own id, or under both a new id and
# address.
SUCCESSORS = ("same address", "other version", "same id", "new address")
ANY = 1_000  # numbers are taken modulo the count of what runs


def draw(
    seed: str, seconds: float, kinds: frozenset[str]
) -> list[tuple[float, Fault]]:
    """Returns the faults of a run with their times, in order.

    Args:
        seed: of the draws.
        seconds: how long the run lasts.
        kinds: the series to draw from, of `KINDS`.
    """
    rng = random.Random(seed)
    last = seconds - CALM_SECONDS
    faults: list[tuple[float, Fault]] = []
    # Every kind comes once before any comes again, as far as time allows.
    bag: list[str] = []
    for _ in range(max(round(seconds / SECONDS_PER_SERIES), 2)):
        if not bag:
            bag = sorted(kinds) + sorted(kinds & _FREQUENT)
            rng.shuffle(bag)
        series = _SERIES[bag.pop()]
        at = rng.uniform(FIRST_SECOND, max(last - 2.0, FIRST_SECOND + 0.5))
        for delay, fault in series(rng):
            at += delay
            if at < last:
                faults.append((round(at, 3), fault))
    return sorted(faults, key=lambda pair: pair[0])


Series = list[tuple[float, Fault]]


def _spaced(
    rng: random.Random, count: int, make: Callable[[], Fault]
) -> Series:
    """Returns some faults, each with the seconds after the one before it."""
    pace = rng.choice((0.1, 0.5, 1.5))
    return [(rng.uniform(0.2, 1.0) * pace * 2, make()) for _ in range(count)]


def _draw_target_kill(rng: random.Random) -> KillTarget:
    moments = [*settings_lib.Moment, *settings_lib.Moment, None, None]
    return KillTarget(
        target=rng.randrange(ANY),
        moment=rng.choice(moments),
        is_term=False,
        successor=rng.choice(SUCCESSORS),
        down_seconds=rng.choice((0.0, 0.1, rng.uniform(0.1, 1.0))),
        lapse_seconds=rng.uniform(0.1, 3.0),
    )


def _kill_targets(rng: random.Random) -> Series:
    return _spaced(rng, rng.randint(2, 6), lambda: _draw_target_kill(rng))


def _stop_targets(rng: random.Random) -> Series:
    return _spaced(
        rng,
        rng.randint(1, 4),
        lambda: dataclasses.replace(
            _draw_target_kill(rng), moment=None, is_term=True
        ),
    )


def _pause_targets(rng: random.Random) -> Series:
    def make() -> Fault:
        return PauseTarget(rng.randrange(ANY), _draw_pause(rng))

    return _spaced(rng, rng.randint(1, 4), make)


def _reset_targets(rng: random.Random) -> Series:
    return _spaced(
        rng, rng.randint(2, 6), lambda: ResetTarget(rng.randrange(ANY))
    )


def _releases(rng: random.Random) -> Series:
    """Returns one to three releases, which may overlap."""
    service = rng.choice((0, 0, 0, 1))

    def make() -> Fault:
        return Release(
            service,
            step_seconds=rng.uniform(0.05, 0.6),
            drain_seconds=rng.uniform(0.3, 2.5),
        )

    gap = rng.uniform(1.0, 6.0)
    return [(gap if i else 0.0, make()) for i in range(rng.randint(1, 3))]


def _kill_hosts(rng: random.Random) -> Series:
    def make() -> Fault:
        hosts = [rng.randrange(ANY) for _ in range(rng.randint(1, 2))]
        return KillHosts(
            tuple(hosts), rng.uniform(0.1, 1.5), rng.random() < 0.3
        )

    return _spaced(rng, rng.randint(1, 4), make)


def _kill_all_hosts(rng: random.Random) -> Series:
    return [(0.0, KillHosts((), rng.uniform(0.05, 0.8), False))]


def _stop_hosts(rng: random.Random) -> Series:
    first, step = rng.randrange(ANY), rng.uniform(0.2, 2.0)
    return [(step, StopHost(first + i)) for i in range(rng.randint(1, 5))]


def _pause_hosts(rng: random.Random) -> Series:
    def make() -> Fault:
        return PauseHost(rng.randrange(ANY), _draw_pause(rng))

    return _spaced(rng, rng.randint(1, 4), make)


def _harm_store(rng: random.Random) -> Series:
    def make() -> Fault:
        hosts = () if rng.random() < 0.3 else (rng.randrange(ANY),)
        how = rng.choice([*proxy.Harm])
        return HarmStore(hosts, how, rng.uniform(0.5, 5.0))

    return _spaced(rng, rng.randint(1, 3), make)


def _harm_peers(rng: random.Random) -> Series:
    def make() -> Fault:
        return HarmPeers(
            host=rng.randrange(ANY),
            peer=rng.choice((None, rng.randrange(ANY))),
            way=rng.choice([*Way]),
            how=rng.choice([*proxy.Harm]),
            seconds=rng.uniform(0.5, 5.0),
        )

    return _spaced(rng, rng.randint(1, 4), make)


def _move_routes(rng: random.Random) -> Series:
    return _spaced(
        rng, rng.randint(1, 4), lambda: MoveRoute(rng.randrange(ANY))
    )


def _draw_pause(rng: random.Random) -> float:
    return rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)


_SERIES: dict[str, Callable[[random.Random], Series]] = {
    "target-kills": _kill_targets,
    "target-stops": _stop_targets,
    "target-pauses": _pause_targets,
    "target-resets": _reset_targets,
    "releases": _releases,
    "host-kills": _kill_hosts,
    "host-kills-all": _kill_all_hosts,
    "host-stops": _stop_hosts,
    "host-pauses": _pause_hosts,
    "store": _harm_store,
    "peers": _harm_peers,
    "routes": _move_routes,
}
KINDS = frozenset(_SERIES)
_FREQUENT = frozenset(("target-kills", "releases"))  # twice as often
