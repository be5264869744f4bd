"""Agent programs of many accounts at engines, by way of several hosts.

Each host chooses engines with a `placement.Placement` of its own and refuses
turns as `order` says. Clients come back once after a refusal, send a turn that
failed again from its start at most twice, and leave a stream that is silent
for two seconds. Times are those of the users' sheets (cnt-endivepier).
"""

import dataclasses
import random

import gevent

from endivepier.gateway import load_reports
from endivepier.gateway import model
from endivepier.gateway import order
from endivepier.gateway import placement
from endivepier.gateway import recent_programs
from endivepier.standins import batches
from endivepier.standins import clock
from tests.common import gateway_parts
from tests.common import program_load

TOOLS_SECONDS = 0.07
WAY_SECONDS = 0.036
OUTPUT_TOKENS = 34
SHARED_TOKENS = 2560
TURN_TOKENS = 900  # of new input, and of what the turn before generated
SILENCE_SECONDS = 2.0
REPORT_SECONDS = 0.1  # between two reports of a host to another
RETRY_SECONDS = 0.2


def prompt(name, number, due=None):
    """Returns the nth turn of a program, whose prompt grows."""
    parts = [model.Part("shared", SHARED_TOKENS)]
    parts += [model.Part(f"{name}-{n}", TURN_TOKENS) for n in range(number)]
    return gateway_parts.call(
        f"{name}-{number}",
        program=name,
        parts=tuple(parts),
        prompt_tokens=sum(part.tokens for part in parts),
        program_deadline=due,
    )


@dataclasses.dataclass
class Ends(program_load.Outcomes):
    """How programs ended, and how many turns the engines ran."""

    turns: int = 0
    refused: int = 0


class Fleet:
    """Hosts and engines in simulated time."""

    def __init__(self, engines, hosts=7, seed=0, sheet=None):
        self.timers = clock.VirtualTimers()
        self.rng = random.Random(seed)
        self.sheet = sheet or batches.Sheet()
        self.targets = [
            gateway_parts.target(f"t{n}", slots=self.sheet.slots)
            for n in range(engines)
        ]
        self.engines = {
            target.name: batches.Engine(self.timers, self.sheet)
            for target in self.targets
        }
        self.hosts = []
        for number in range(hosts):
            reports = load_reports.LoadReports(self.timers)
            chooser = placement.Placement(
                "a", self.timers, random.Random(seed * 100 + number), reports
            )
            reports.hosts = hosts
            self.hosts.append(chooser)
        self.engine = model.Engine(self.sheet.slots, self.sheet.memory, 4)
        self.ends = Ends()
        # Hosts learn both from the owners of budgets and of accounts.
        self.last_targets = {}
        self.recent_programs = recent_programs.RecentPrograms()

    def play(self, per_second, seconds):
        """Offers programs for some time; returns how they ended."""
        self.timers.run(self._offer, per_second, seconds)
        return self.ends

    def _offer(self, per_second, seconds):
        reporter = gevent.spawn(self._report)
        end = self.timers.now() + seconds
        tasks = []
        while self.timers.now() < end:
            self.timers.sleep(self.rng.expovariate(per_second))
            self.ends.begun += 1
            tasks.append(gevent.spawn(self._program, f"p{self.ends.begun}"))
        gevent.joinall(tasks, raise_error=True)
        reporter.kill()

    def _report(self):
        while True:
            self.timers.sleep(REPORT_SECONDS)
            for host in self.hosts:
                for other in self.hosts:
                    if other is not host:
                        other.reports.note(
                            f"h{id(host)}", host.reports.encode()
                        )

    def _program(self, name):
        home = self.rng.choice(self.hosts)
        turns = 9 if self.rng.random() < 0.25 else 4
        turns = max(1, round(self.rng.gauss(turns, 1.5)))
        idle = self.sheet.step * OUTPUT_TOKENS + WAY_SECONDS
        idle += TOOLS_SECONDS + program_load.THINK_SECONDS
        due = (
            self.timers.now()
            + program_load.DUE_FACTOR * idle * turns
            + program_load.DUE_SECONDS
        )
        parts = [model.Part(f"shared{self.rng.randrange(3)}", SHARED_TOKENS)]
        for number in range(turns):
            parts.append(model.Part(f"{name}-{number}", TURN_TOKENS))
            if not self._turn(home, name, number, tuple(parts), due):
                self.ends.failed += 1
                return
            self.timers.sleep(TOOLS_SECONDS + program_load.THINK_SECONDS)
        if self.timers.now() <= due:
            self.ends.in_time += 1
        else:
            self.ends.late += 1

    def _turn(self, home, name, number, parts, due):
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
                    program_deadline=due,
                )
                answered = self._send(host, call)
                if answered:
                    return True
                if answered is None:
                    break
                self.timers.sleep(RETRY_SECONDS)
        return False

    def _send(self, host, call):
        """Sends a call; returns False if refused, None if it was given up."""
        self.timers.sleep(WAY_SECONDS / 2)
        now = self.timers.now()
        left = call.program_deadline - now
        self.recent_programs.record_time_left(call.program, left)
        delayed = self.recent_programs.is_delayed(call.program, left)
        begins = len(call.parts) <= model.FIRST_TURN_PARTS
        if order.refusal(
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
        unread = host.load(target).unread(call)
        host.began(target, call)
        sent = self.timers.now()
        self.ends.turns += 1
        engine = self.engines[target.name]
        job = engine.submit(call, OUTPUT_TOKENS)
        if not self.timers.wait(job.first, SILENCE_SECONDS):
            engine.cancel(job)
            host.ended(target, call, failed=False)
            return None
        host.first_event(target, call, unread, self.timers.now() - sent)
        self.timers.wait(job.ended, 60.0)
        host.ended(target, call, failed=False)
        self.timers.sleep(WAY_SECONDS / 2)
        return True
