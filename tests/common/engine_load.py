"""Simulates agent programs of many accounts on engines behind several hosts.

Each host chooses engines with its own `placement.Placement` and refuses turns
with `turn_admission`. Clients retry once after a refusal, repeat a failed turn
from its start at most twice, and give up a stream whose first event takes more
than two seconds. Durations are those of the users' data sheets.
"""

import dataclasses
import random

import gevent

from endivepier.gateway import model
from endivepier.gateway.accounts import recent_programs
from endivepier.gateway.choice import admission as turn_admission
from endivepier.gateway.choice import load_reports
from endivepier.gateway.choice import placement
from endivepier.standins import batch_engine
from endivepier.standins import clock
from tests.common import gateway_parts
from tests.common import program_load

TOOLS_SECONDS = 0.07
ROUND_TRIP_SECONDS = 0.036
OUTPUT_TOKENS = 34
SHARED_TOKENS = 2560
TURN_TOKENS = 900  # new input and the output of the previous turn
FIRST_EVENT_TIMEOUT_SECONDS = 2.0
REPORT_INTERVAL_SECONDS = 0.1  # interval of load reports between two hosts
RETRY_SECONDS = 0.2


def turn(name, number, deadline=None):
    """Returns the nth turn of a program, whose prompt grows."""
    parts = [model.Part("shared", SHARED_TOKENS)]
    parts += [model.Part(f"{name}-{n}", TURN_TOKENS) for n in range(number)]
    return gateway_parts.call(
        f"{name}-{number}",
        program=name,
        parts=tuple(parts),
        prompt_tokens=sum(part.tokens for part in parts),
        program_deadline=deadline,
    )


@dataclasses.dataclass
class Ends(program_load.Outcomes):
    """How programs ended, and the numbers of turns sent and refused."""

    turns: int = 0
    refused: int = 0


class Fleet:
    """Hosts and engines in simulated time."""

    def __init__(self, engines, hosts=7, seed=0, spec=None):
        self.timers = clock.VirtualTimers()
        self.rng = random.Random(seed)
        self.spec = spec or batch_engine.EngineSpec()
        self.targets = [
            gateway_parts.target(f"t{n}", slots=self.spec.slots)
            for n in range(engines)
        ]
        self.engines = {
            target.name: batch_engine.Engine(self.timers, self.spec)
            for target in self.targets
        }
        self.hosts = []
        for number in range(hosts):
            reports = load_reports.LoadReports(self.timers)
            host_placement = placement.Placement(
                "a", self.timers, random.Random(seed * 100 + number), reports
            )
            reports.host_count = hosts
            self.hosts.append(host_placement)
        self.engine = model.Engine(self.spec.slots, self.spec.kv_tokens, 4)
        self.ends = Ends()
        # In production, hosts get both from the owners of budgets and accounts.
        self.last_targets = {}
        self.recent_programs = recent_programs.RecentPrograms(self.timers)

    def run(self, per_second, seconds):
        """Starts programs for `seconds`; returns how they ended."""
        self.timers.run(self._start_programs, per_second, seconds)
        return self.ends

    def _start_programs(self, per_second, seconds):
        report_task = gevent.spawn(self._exchange_reports)
        end = self.timers.now() + seconds
        tasks = []
        while self.timers.now() < end:
            self.timers.sleep(self.rng.expovariate(per_second))
            self.ends.begun += 1
            tasks.append(gevent.spawn(self._run_program, f"p{self.ends.begun}"))
        gevent.joinall(tasks, raise_error=True)
        report_task.kill()

    def _exchange_reports(self):
        while True:
            self.timers.sleep(REPORT_INTERVAL_SECONDS)
            for host in self.hosts:
                for other in self.hosts:
                    if other is not host:
                        other.reports.receive(
                            f"h{id(host)}", host.reports.encode()
                        )

    def _run_program(self, name):
        home = self.rng.choice(self.hosts)
        turns = 9 if self.rng.random() < 0.25 else 4
        turns = max(1, round(self.rng.gauss(turns, 1.5)))
        idle_turn_seconds = (
            self.spec.step_seconds * OUTPUT_TOKENS + ROUND_TRIP_SECONDS
        )
        idle_turn_seconds += TOOLS_SECONDS + program_load.THINK_SECONDS
        deadline = (
            self.timers.now()
            + program_load.DUE_FACTOR * idle_turn_seconds * turns
            + program_load.DUE_SECONDS
        )
        parts = [model.Part(f"shared{self.rng.randrange(3)}", SHARED_TOKENS)]
        for number in range(turns):
            parts.append(model.Part(f"{name}-{number}", TURN_TOKENS))
            if not self._run_turn(home, name, number, tuple(parts), deadline):
                self.ends.failed += 1
                return
            self.timers.sleep(TOOLS_SECONDS + program_load.THINK_SECONDS)
        if self.timers.now() <= deadline:
            self.ends.in_time += 1
        else:
            self.ends.late += 1

    def _run_turn(self, home, name, number, parts, deadline):
        for attempt in range(3):
            if attempt:
                self.timers.sleep(self.rng.uniform(0.1, 0.4))
            for _ in range(2):
                host = home
                if attempt or self.rng.random() > program_load.HOME_FRACTION:
                    host = self.rng.choice(self.hosts)
                call = gateway_parts.call(
                    f"{name}-{number}-{self.rng.random()}",
                    program=name,
                    parts=parts,
                    prompt_tokens=sum(part.tokens for part in parts),
                    program_deadline=deadline,
                )
                completed = self._send(host, call)
                if completed:
                    return True
                if completed is None:
                    break
                self.timers.sleep(RETRY_SECONDS)
        return False

    def _send(self, host, call):
        """Sends a call and waits for its end.

        Returns:
            True if the stream was completed, False if the call was refused,
            None if the client gave up.
        """
        self.timers.sleep(ROUND_TRIP_SECONDS / 2)
        now = self.timers.now()
        seconds_left = call.program_deadline - now
        self.recent_programs.record_time_left(call.program, seconds_left)
        delayed = self.recent_programs.is_delayed(call.program, seconds_left)
        begins = len(call.parts) <= model.MAX_FIRST_TURN_PARTS
        if turn_admission.refusal_reason(
            call,
            host,
            self.targets,
            now,
            begins=begins,
            delayed=begins and delayed,
        ):
            self.ends.refused += 1
            return False
        last_target = self.last_targets.get(call.program, "")
        target = host.choose(
            call, self.targets, self.engine, set(), last_target
        )
        self.last_targets[call.program] = target.incarnation
        uncached = host.load(target).uncached_tokens(call)
        host.note_sent(target, call)
        sent = self.timers.now()
        self.ends.turns += 1
        engine = self.engines[target.name]
        job = engine.submit(call, OUTPUT_TOKENS)
        if not self.timers.wait(job.first_token, FIRST_EVENT_TIMEOUT_SECONDS):
            engine.cancel(job)
            host.note_ended(target, call, failed=False)
            return None
        host.note_first_event(target, call, uncached, self.timers.now() - sent)
        self.timers.wait(job.finished, 60.0)
        host.note_ended(target, call, failed=False)
        self.timers.sleep(ROUND_TRIP_SECONDS / 2)
        return True
