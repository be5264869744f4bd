"""Records what engines receive and what callers send and receive."""

import dataclasses

from endivepier import errors


@dataclasses.dataclass
class EngineRun:
    """One request as an engine received it, and what it generated.

    Attributes:
        request_id: id of the request.
        session: id of the program.
        messages: the whole prompt.
        max_tokens: most tokens to generate.
        at: time of its arrival, in seconds.
        text: the text generated so far.
        tokens: number of tokens generated so far.
        finished: whether the engine completed the request.
    """

    request_id: str
    session: str
    messages: tuple
    max_tokens: int
    at: float
    text: str = ""
    tokens: int = 0
    finished: bool = False


@dataclasses.dataclass
class Call:
    """One model call as its caller made it, with all its retries.

    Attributes:
        program: id of the program.
        call_id: id of the call.
        added: the messages that the call adds to the history.
        copies: how often it was sent, not counting retries.
        answers: the answers; more than one if it was sent as a duplicate.
        refusals: the refusals that were retried or ended the call.
        started: time of the first attempt, in seconds.
        ended: time at which the last answer had come, in seconds.
    """

    program: str
    call_id: str
    added: tuple
    copies: int = 0
    answers: list = dataclasses.field(default_factory=list)
    refusals: list = dataclasses.field(default_factory=list)
    started: float = 0.0
    ended: float = 0.0


@dataclasses.dataclass
class DeclaredProgram:
    """A program as its caller created it.

    Attributes:
        program: id of the program.
        tokens: its budget of generated tokens.
        calls: its budget of calls.
        seconds: its budget of wall time.
        created: time of its creation, in seconds.
        parent: id of the parent program, or empty.
        ended: time at which its end was confirmed, or None.
    """

    program: str
    tokens: int
    calls: int
    seconds: float
    created: float
    parent: str = ""
    ended: float | None = None


class Recorder:
    """All events of one history.

    Attributes:
        runs: requests at engines, in order of arrival.
        calls: the callers' model calls, in order of their start.
        programs: the programs, by id.
        final: the last view that each program's caller read, by program id.
        refused: the errors that made a caller give up, with its name.
    """

    def __init__(self, timers):
        self.timers = timers
        self.runs = []
        self.calls = []
        self.programs = {}
        self.final = {}
        self.refused = []

    def wrap(self, engine):
        """Returns a model engine that records the requests to `engine`."""
        return RecordedEngine(engine, self)


class RecordedEngine:
    """A model engine that records each request and its generated text."""

    def __init__(self, inner, recorder):
        self._inner = inner
        self._recorder = recorder

    def __getattr__(self, name):
        return getattr(self._inner, name)

    def generate(self, req):
        run = EngineRun(
            req.request_id,
            req.session,
            req.messages,
            req.max_tokens,
            self._recorder.timers.now(),
        )
        self._recorder.runs.append(run)
        events = self._inner.generate(req)
        try:
            for event in events:
                if hasattr(event, "text"):
                    run.text += event.text
                    run.tokens += event.count
                else:
                    run.finished = True
                yield event
        finally:
            events.close()


def code_of(exc):
    return exc.code if isinstance(exc, errors.Refused) else None
