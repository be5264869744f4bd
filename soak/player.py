"""Plays the faults of a plan on a fleet."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import signal
import time
from typing import Any

from soak import fleet as fleet_lib
from soak import plan
from soak import proxy
from soak import settings as settings_lib
from soak import shapes
from soak import wire

ARMED_SECONDS = 1.5  # until an armed target without a stream is killed
EXIT_SECONDS = 10.0  # a little over the grace of an entry host
VERSIONS = 2


class Player:
    """Plays faults, which may overlap.

    Attributes:
        played: the faults that were played, by kind.
        log: what was done, with its Unix time.
    """

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self.played: collections.Counter[str] = collections.Counter()
        self.log: list[tuple[float, str]] = []
        self._fleet = fleet
        self._harmed: collections.Counter[proxy.Proxy] = collections.Counter()

    async def play(
        self, faults: list[tuple[float, plan.Fault]], started_at: float
    ) -> None:
        """Plays all faults, and waits until they are over.

        Args:
            faults: with their seconds after the start.
            started_at: the start, in seconds of the monotonic clock.
        """
        tasks = []
        for at, fault in faults:
            await asyncio.sleep(started_at + at - time.monotonic())
            tasks.append(asyncio.create_task(self._play(fault)))
        await asyncio.gather(*tasks)

    def _note(self, kind: str, text: str) -> None:
        self.played[kind] += 1
        self.log.append((time.time(), f"{kind}: {text}"))

    async def _play(self, fault: plan.Fault) -> None:
        match fault:
            case plan.KillTarget():
                await self._kill_target(fault)
            case plan.PauseTarget():
                if (one := self._pick_target(fault.target)) is not None:
                    self._note(
                        "target paused",
                        f"{one.settings.id} for {fault.seconds:.2f} s",
                    )
                    one.signal(signal.SIGSTOP)
                    await asyncio.sleep(fault.seconds)
                    one.signal(signal.SIGCONT)
            case plan.ResetTarget():
                if (one := self._pick_target(fault.target)) is not None:
                    self._note("target reset", one.settings.id)
                    one.signal(signal.SIGUSR2)
            case plan.Release():
                await self._release(fault)
            case plan.KillHosts():
                await self._kill_hosts(fault)
            case plan.StopHost():
                await self._stop_host(fault)
            case plan.PauseHost():
                host = self._pick_host(fault.host)
                if host is not None and host.process is not None:
                    process = host.process
                    self._note(
                        "host paused", f"{host.name} for {fault.seconds:.2f} s"
                    )
                    process.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(fault.seconds)
                    process.send_signal(signal.SIGCONT)
            case plan.HarmStore():
                await self._harm_store(fault)
            case plan.HarmPeers():
                await self._harm_peers(fault)
            case plan.MoveRoute():
                await self._move_route(fault)

    def _pick_target(self, number: int) -> fleet_lib.Target | None:
        running = [one for one in self._fleet.targets if not one.is_leaving]
        return running[number % len(running)] if running else None

    def _pick_host(self, number: int) -> fleet_lib.Host | None:
        running = [host for host in self._fleet.hosts if not host.is_busy]
        return running[number % len(running)] if running else None

    async def _kill_target(self, fault: plan.KillTarget) -> None:
        one = self._pick_target(fault.target)
        if one is None:
            return
        one.is_leaving = True
        how = "at once" if fault.moment is None else fault.moment.value
        name = "target SIGTERM" if fault.is_term else f"target killed {how}"
        self._note(
            name,
            f"{one.settings.id} {one.settings.version}, then"
            f" {fault.successor} in {fault.down_seconds:.2f} s, its row lapses"
            f" in {fault.lapse_seconds:.2f} s",
        )
        if fault.is_term:
            one.signal(signal.SIGTERM)
        elif fault.moment is not None:
            await self._arm(one, fault.moment)
        if not fault.is_term:
            one.signal(signal.SIGKILL)
        await self._wait(one.process, EXIT_SECONDS)
        self.log.append((time.time(), f"target {one.settings.id} has ended"))
        await asyncio.sleep(fault.down_seconds)
        self._succeed(one, fault.successor)
        if fault.successor != "same id":
            await asyncio.sleep(fault.lapse_seconds)
            await self._fleet.remove_row(one.settings.id)
        self._fleet.targets.remove(one)

    async def _arm(
        self, one: fleet_lib.Target, moment: settings_lib.Moment
    ) -> None:
        """Waits until a target has killed itself, for a limited time."""
        path = f"{settings_lib.ARM_PATH}?{moment.value}"
        address = one.settings.address
        await wire.ask(address, "POST", path, None, ARMED_SECONDS)
        await self._wait(one.process, ARMED_SECONDS)

    def _succeed(self, one: fleet_lib.Target, successor: str) -> None:
        """Starts a target in place of one that has ended."""
        fleet = self._fleet
        service = one.settings.service
        version = self._version(service)
        like: settings_lib.Settings | None = one.settings
        match successor:
            case "same id":
                version = one.settings.version
            case "same address":
                like = dataclasses.replace(one.settings, id=fleet.new_id())
            case "other version":
                like = dataclasses.replace(one.settings, id=fleet.new_id())
                number = int(one.settings.version[1:])
                version = f"v{number % VERSIONS + 1}"
            case _:
                like = None
        started = fleet.start_target(service, version, like)
        self.log.append(
            (
                time.time(),
                f"target {started.settings.id} {version} starts at"
                f" {started.settings.address}",
            )
        )

    def _version(self, service: str) -> str:
        return f"v{self._fleet.versions[service]}"

    async def _release(self, fault: plan.Release) -> None:
        """Replaces all targets of a service, one after the other."""
        service = shapes.SERVICES[fault.service]
        fleet = self._fleet
        fleet.versions[service] = fleet.versions[service] % VERSIONS + 1
        version = self._version(service)
        self._note("release", f"{service} {version}")
        former = [
            one
            for one in fleet.targets
            if one.settings.service == service and not one.is_leaving
        ]
        tasks = []
        for one in former:
            if one.is_leaving:
                continue
            fleet.start_target(service, version)
            one.is_leaving = True
            draining = self._drain(one, fault.drain_seconds)
            tasks.append(asyncio.create_task(draining))
            await asyncio.sleep(fault.step_seconds)
        await asyncio.gather(*tasks)

    async def _drain(self, one: fleet_lib.Target, seconds: float) -> None:
        one.signal(signal.SIGUSR1)
        await asyncio.sleep(seconds)
        one.signal(signal.SIGTERM)
        await self._wait(one.process, EXIT_SECONDS)
        self.log.append((time.time(), f"target {one.settings.id} has left"))
        await self._fleet.remove_row(one.settings.id)
        self._fleet.targets.remove(one)

    async def _kill_hosts(self, fault: plan.KillHosts) -> None:
        fleet = self._fleet
        if fault.hosts:
            picked = [self._pick_host(number) for number in fault.hosts]
            hosts = [host for host in picked if host is not None]
        else:
            hosts = [host for host in fleet.hosts if not host.is_busy]
        hosts = list({host.name: host for host in hosts}.values())
        names = ", ".join(host.name for host in hosts)
        kind = "hosts killed" if fault.hosts else "all hosts killed"
        self._note(kind, f"{names} for {fault.down_seconds:.2f} s")
        for host in hosts:
            host.is_busy = True
            if host.process is not None:
                host.process.kill()
        for host in hosts:
            if host.process is not None:
                await self._wait(host.process, EXIT_SECONDS)
        await asyncio.sleep(fault.down_seconds)
        for host in hosts:
            if fault.is_replaced and fault.hosts:
                fleet.hosts.remove(host)
                host = await fleet.add_host()
                host.is_first_start = False
                self.log.append((time.time(), f"host {host.name} starts"))
            fleet.start_host(host)
            host.is_busy = False

    async def _stop_host(self, fault: plan.StopHost) -> None:
        host = self._pick_host(fault.host)
        if host is None or host.process is None:
            return
        self._note("host SIGTERM", host.name)
        host.is_busy = True
        host.process.send_signal(signal.SIGTERM)
        await self._wait(host.process, EXIT_SECONDS)
        self._fleet.start_host(host)
        host.is_busy = False

    async def _harm_store(self, fault: plan.HarmStore) -> None:
        hosts = [host for host in self._fleet.hosts if host.store is not None]
        if fault.hosts:
            hosts = [hosts[number % len(hosts)] for number in fault.hosts]
        names = ", ".join(host.name for host in hosts)
        self._note(f"store {fault.how}", f"for {names}, {fault.seconds:.2f} s")
        proxies = [host.store for host in hosts if host.store is not None]
        await self._disturb(proxies, fault.how, fault.seconds)

    async def _harm_peers(self, fault: plan.HarmPeers) -> None:
        host = self._pick_host(fault.host)
        others = [other for other in self._fleet.hosts if other is not host]
        if host is None or not others:
            return
        if fault.peer is not None:
            others = [others[fault.peer % len(others)]]
        pairs = []
        if fault.way is not plan.Way.IN:
            pairs += [(host.name, other.name) for other in others]
        if fault.way is not plan.Way.OUT:
            pairs += [(other.name, host.name) for other in others]
        links = self._fleet.links
        proxies = [links[pair] for pair in pairs if pair in links]
        if proxies:
            names = ", ".join(other.name for other in others)
            self._note(
                f"peers {fault.how}",
                f"{host.name}, {fault.way}, {names}, {fault.seconds:.2f} s",
            )
        await self._disturb(proxies, fault.how, fault.seconds)

    async def _disturb(
        self, proxies: list[proxy.Proxy], how: proxy.Harm, seconds: float
    ) -> None:
        """Disturbs connections for some time, which may overlap with others."""
        for one in proxies:
            self._harmed[one] += 1
            one.disturb(how, seconds)
        await asyncio.sleep(seconds)
        for one in proxies:
            self._harmed[one] -= 1
            if not self._harmed[one]:
                one.go_on()

    async def _move_route(self, fault: plan.MoveRoute) -> None:
        routes = self._fleet.shape.routes
        name = routes[fault.route % len(routes)].name
        number = shapes.SERVICES.index(self._fleet.service(name))
        service = shapes.SERVICES[(number + 1) % len(shapes.SERVICES)]
        self._note("route moved", f"{name} to {service}")
        await self._fleet.write_config({name: service})

    async def _wait(self, process: Any, seconds: float) -> None:
        """Waits until a process has ended; kills it if time is up.

        A paused process that is to end is continued first by whoever paused
        it.
        """
        deadline = time.monotonic() + seconds
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        if process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            while process.poll() is None:
                await asyncio.sleep(0.01)
