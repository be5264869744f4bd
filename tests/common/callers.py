"""Callers: each drives one program, retries at any entry host."""

import dataclasses
import random

import gevent

from endivepier import errors
from endivepier.history import messages
from endivepier.history import records
from endivepier.internal import ids as ids_lib
from endivepier.standins import local
from endivepier.targets import ports as target_ports
from tests.common import recorder as recorder_lib

PATIENCE_SECONDS = 60.0
TRY_SECONDS = 15.0
REPEATABLE = (
    errors.Code.WRONG_OWNER,
    errors.Code.NOT_READY,
    errors.Code.STORE_UNAVAILABLE,
    errors.Code.TARGET_FAILED,
    errors.Code.OVERLOADED,
    errors.Code.DEADLINE_EXCEEDED,
)


class NoAnswer(Exception):
    """The entry host gave no answer in time, or died."""


class Client:
    """Reaches the system by a random entry host each time."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.ids = ids_lib.Ids(self.rng)

    def at_entry(self, work, seconds=TRY_SECONDS):
        """Does `work(entry)` on an entry host's process."""
        address = self.rng.choice(
            [f"10.0.0.{n + 1}:8080" for n in range(self.fleet.spec.entries)]
        )
        host = self.fleet.network.hosts.get(address)
        entry = self.fleet.entries.get(address)
        if host is None or entry is None:
            self.fleet.timers.sleep(0.2)
            raise NoAnswer(address)
        outcome = []

        def run():
            host.wait_until_running()
            try:
                result = work(entry)
            except errors.EndivepierError as exc:
                result = exc
            host.wait_until_running()
            outcome.append(result)

        done = gevent.event.Event()
        task = gevent.spawn(run)
        host.serving[task] = None
        task.link(lambda _: (host.serving.pop(task, None), done.set()))
        in_time = self.fleet.timers.wait(done, seconds)
        if not in_time or not outcome:
            task.kill(block=False)
            self.fleet.timers.sleep(0.05)
            raise NoAnswer(address)
        if isinstance(outcome[0], errors.EndivepierError):
            raise outcome[0]
        return outcome[0]

    def until_answered(self, work, refusals=None):
        """Repeats `work` while a repetition makes sense."""
        deadline = self.fleet.timers.now() + PATIENCE_SECONDS
        while True:
            try:
                return self.at_entry(work)
            except NoAnswer:
                pass
            except errors.Refused as exc:
                if refusals is not None:
                    refusals.append(exc)
                if exc.code not in REPEATABLE:
                    raise
                self.fleet.timers.sleep(exc.retry_after or 0.2)
            if self.fleet.timers.now() > deadline:
                raise NoAnswer("patience is over")


@dataclasses.dataclass(frozen=True)
class Script:
    """What a caller does."""

    turns: int = 4
    max_tokens: int = 4
    budget_tokens: int = 1000
    budget_calls: int = 100
    budget_seconds: float = 3600.0
    pause: float = 0.1
    duplicate: float = 0.2
    end: bool = True


class Caller:
    """Drives one program by a script and records all of it."""

    def __init__(self, fleet, recorder, seed, script, name):
        self.client = Client(fleet, seed)
        self.fleet = fleet
        self.recorder = recorder
        self.script = script
        self.name = name
        self.receipt = ""
        self.program = None
        self.created = False

    def run(self):
        try:
            self.create()
            for number in range(self.script.turns):
                self.call(number)
                self.fleet.timers.sleep(self.script.pause)
            if self.script.end:
                self.end()
        except (errors.Refused, NoAnswer) as exc:
            self.recorder.refused.append((self.name, exc))

    def create(self, parent=""):
        script = self.script
        program = self.client.ids.program(
            local.ENGINE_POOL, self.fleet.spec.shards
        )
        budget = records.Budget(
            script.budget_tokens, script.budget_calls, script.budget_seconds
        )
        message = messages.CreateProgram(
            str(program),
            local.ACCOUNT,
            local.MODEL,
            "standard",
            budget,
            parent,
        )
        self.program = program
        self.recorder.programs[str(program)] = recorder_lib.Declared(
            str(program),
            budget.tokens,
            budget.calls,
            budget.seconds,
            self.fleet.timers.now(),
            parent,
        )
        self._ask(message)
        self.created = True

    def call(self, number):
        added = self.added(number)
        call = recorder_lib.Call(
            str(self.program), f"{self.name}-{number}", added
        )
        call.started = self.fleet.timers.now()
        self.recorder.calls.append(call)
        message = messages.ModelCall(
            program_id=str(self.program),
            account=local.ACCOUNT,
            call_id=call.call_id,
            messages=added,
            whole=False,
            max_tokens=self.script.max_tokens,
            seconds=self.fleet.spec.call_seconds,
            receipt=self.receipt,
        )
        repeated = self.client.rng.random() < self.script.duplicate
        tasks = []
        if repeated:
            tasks.append(gevent.spawn(self._duplicate, call, message))
        self._stream(call, message)
        gevent.joinall(tasks)
        call.ended = self.fleet.timers.now()
        self.receipt = call.answers[0].receipt

    def added(self, number):
        """Returns the messages of a call."""
        text = f"{self.program} step {number}"
        return (target_ports.ChatMessage("user", text),)

    def end(self):
        self._ask(messages.EndProgram(str(self.program), local.ACCOUNT))
        declared = self.recorder.programs[str(self.program)]
        declared.ended = self.fleet.timers.now()

    def show(self):
        view = self._ask(messages.ShowProgram(str(self.program), local.ACCOUNT))
        self.recorder.final[str(self.program)] = view
        return view

    def _duplicate(self, call, message):
        """Makes the same call again, as a balancer's retry does."""
        self.fleet.timers.sleep(0.02)
        try:
            self._stream(call, message)
        except (errors.Refused, NoAnswer):
            return

    def _stream(self, call, message):
        def work(entry):
            found = None
            for event in entry.owners.stream(
                self.program,
                message,
                messages.CallEvent,
                seconds=message.seconds,
                restarts=True,
            ):
                if isinstance(event, messages.Answer):
                    found = event
            return found

        call.tries += 1
        answer = self.client.until_answered(work, call.refusals)
        call.answers.append(answer)

    def _ask(self, message):
        return self.client.until_answered(
            lambda entry: entry.owners.call(
                self.program,
                message,
                messages.ProgramView,
                seconds=self.fleet.spec.call_seconds,
            )
        )
