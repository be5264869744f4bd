"""Simulated callers: each drives one program and retries at any entry host."""

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

RETRY_TIMEOUT_SECONDS = 60.0
ATTEMPT_TIMEOUT_SECONDS = 15.0
RETRYABLE_CODES = (
    errors.Code.WRONG_OWNER,
    errors.Code.NOT_READY,
    errors.Code.STORE_UNAVAILABLE,
    errors.Code.TARGET_FAILED,
    errors.Code.OVERLOADED,
    errors.Code.DEADLINE_EXCEEDED,
)


class NoResponse(Exception):
    """The entry host sent no response in time, or was lost."""


class Client:
    """Sends each request to an entry host chosen at random."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.ids = ids_lib.Ids(self.rng)

    def call_entry(self, operation, seconds=ATTEMPT_TIMEOUT_SECONDS):
        """Runs `operation(entry)` in the process of an entry host.

        Raises:
            NoResponse: the host is down, or is lost or slow meanwhile.
            errors.EndivepierError: whatever the operation raised.
        """
        address = self.rng.choice(
            [f"10.0.0.{n + 1}:8080" for n in range(self.fleet.plan.entries)]
        )
        host = self.fleet.network.hosts.get(address)
        entry = self.fleet.entries.get(address)
        if host is None or entry is None:
            self.fleet.timers.sleep(0.2)
            raise NoResponse(address)
        results = []

        def run():
            host.gate()
            try:
                result = operation(entry)
            except errors.EndivepierError as exc:
                result = exc
            host.gate()
            results.append(result)

        done = gevent.event.Event()
        task = gevent.spawn(run)
        host.serving[task] = None
        task.link(lambda _: (host.serving.pop(task, None), done.set()))
        in_time = self.fleet.timers.wait(done, seconds)
        if not in_time or not results:
            task.kill(block=False)
            self.fleet.timers.sleep(0.05)
            raise NoResponse(address)
        if isinstance(results[0], errors.EndivepierError):
            raise results[0]
        return results[0]

    def call_with_retries(self, operation, refusals=None):
        """Repeats an operation while it fails with a retryable error.

        Args:
            operation: called with an entry host.
            refusals: a list to which each refusal is appended, or None.
        """
        deadline = self.fleet.timers.now() + RETRY_TIMEOUT_SECONDS
        while True:
            try:
                return self.call_entry(operation)
            except NoResponse:
                pass
            except errors.Refused as exc:
                if refusals is not None:
                    refusals.append(exc)
                if exc.code not in RETRYABLE_CODES:
                    raise
                self.fleet.timers.sleep(exc.retry_after or 0.2)
            if self.fleet.timers.now() > deadline:
                raise NoResponse("retries timed out")


@dataclasses.dataclass(frozen=True)
class Script:
    """What a caller does.

    Attributes:
        turns: number of model calls.
        max_tokens: most tokens to generate in each call.
        budget_tokens: the program's budget of generated tokens.
        budget_calls: the program's budget of calls.
        budget_seconds: the program's budget of wall time.
        pause: time between two calls, in seconds.
        duplicate: probability that a call is sent a second time.
        end: whether the caller ends the program after its last call.
    """

    turns: int = 4
    max_tokens: int = 4
    budget_tokens: int = 1000
    budget_calls: int = 100
    budget_seconds: float = 3600.0
    pause: float = 0.1
    duplicate: float = 0.2
    end: bool = True


class Caller:
    """Drives one program by a script and records its calls.

    Attributes:
        receipt: receipt of the last answer, sent with the next call.
        program: id of the program; None before `create`.
        created: whether the creation was confirmed.
    """

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
        except (errors.Refused, NoResponse) as exc:
            self.recorder.refused.append((self.name, exc))

    def create(self, parent=""):
        script = self.script
        program = self.client.ids.program(
            local.ENGINE_POOL, self.fleet.plan.shards
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
        self.recorder.programs[str(program)] = recorder_lib.DeclaredProgram(
            str(program),
            budget.tokens,
            budget.calls,
            budget.seconds,
            self.fleet.timers.now(),
            parent,
        )
        self._send(message)
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
            seconds=self.fleet.plan.call_seconds,
            receipt=self.receipt,
        )
        is_duplicated = self.client.rng.random() < self.script.duplicate
        tasks = []
        if is_duplicated:
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
        self._send(messages.EndProgram(str(self.program), local.ACCOUNT))
        program = self.recorder.programs[str(self.program)]
        program.ended = self.fleet.timers.now()

    def show(self):
        view = self._send(
            messages.ShowProgram(str(self.program), local.ACCOUNT)
        )
        self.recorder.final[str(self.program)] = view
        return view

    def _duplicate(self, call, message):
        """Sends the same call again, as a load balancer's retry does."""
        self.fleet.timers.sleep(0.02)
        try:
            self._stream(call, message)
        except (errors.Refused, NoResponse):
            return

    def _stream(self, call, message):
        def operation(entry):
            result = None
            for event in entry.owners.stream(
                self.program,
                message,
                messages.CallEvent,
                seconds=message.seconds,
                restarts=True,
            ):
                if isinstance(event, messages.Answer):
                    result = event
            return result

        call.copies += 1
        answer = self.client.call_with_retries(operation, call.refusals)
        call.answers.append(answer)

    def _send(self, message):
        return self.client.call_with_retries(
            lambda entry: entry.owners.call(
                self.program,
                message,
                messages.ProgramView,
                seconds=self.fleet.plan.call_seconds,
            )
        )
