"""Records what happens at the edges: at engines and at callers."""

import dataclasses

from endivepier import errors


@dataclasses.dataclass
class Run:
    """One request as it arrived at an engine."""

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
    """One model call as its caller made it; retries share it."""

    program: str
    call_id: str
    added: tuple
    tries: int = 0
    answers: list = dataclasses.field(default_factory=list)
    refusals: list = dataclasses.field(default_factory=list)
    started: float = 0.0
    ended: float = 0.0


@dataclasses.dataclass
class Declared:
    """A program as its caller made it."""

    program: str
    tokens: int
    calls: int
    seconds: float
    created: float
    parent: str = ""
    ended: float | None = None


class Recorder:
    """All events of one history."""

    def __init__(self, timers):
        self.timers = timers
        self.runs = []
        self.calls = []
        self.programs = {}
        self.final = {}
        self.refused = []

    def wrap(self, engine):
        """Returns the engine with all that passes through it recorded."""
        return RecordedEngine(engine, self)


class RecordedEngine:
    """A model engine that notes each request and what it generates."""

    def __init__(self, inner, recorder):
        self._inner = inner
        self._recorder = recorder

    def __getattr__(self, name):
        return getattr(self._inner, name)

    def generate(self, req):
        run = Run(
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
