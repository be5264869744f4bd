"""The API for programs and their model calls."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

import gevent
import werkzeug.wrappers

from endivepier import errors
from endivepier.configuration import keys as keys_lib
from endivepier.configuration import state as state_lib
from endivepier.entry import admission as admission_lib
from endivepier.entry import chat
from endivepier.entry import documents
from endivepier.entry import guard as guard_lib
from endivepier.entry import owners as owners_lib
from endivepier.history import messages
from endivepier.history import records
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.internal import process
from endivepier.internal import web
from endivepier.targets import ports as target_ports

CALL_ID_HEADER = "X-Endivepier-Call-Id"
RECEIPT_HEADER = "X-Endivepier-Receipt"
HISTORY_HEADER = "X-Endivepier-History"
TURN_HEADER = "X-Endivepier-Turn"
APPEND = "append"  # value of HISTORY_HEADER: the body has only new messages
DEFAULT_MAX_TOKENS = 64
# The budget of the program that is created for a call outside any program. If
# the owner is lost during the call, its budget reservation counts as a used
# call although the call is made again, so the budget allows several calls.
SINGLE_CALL_BUDGET_SECONDS = 3600.0
SINGLE_CALL_BUDGET_CALLS = 3


class ProgramRoutes:
    """The routes that create, show, end and call programs."""

    def __init__(
        self,
        base: process.Base,
        admission: admission_lib.Admission,
        owners: owners_lib.Owners,
        guard: guard_lib.Guard,
        call_seconds: float,
    ) -> None:
        self._base = base
        self._admission = admission
        self._owners = owners
        self._guard = guard
        self._seconds = call_seconds
        self._timers = base.env.timers

    def add_to(self, app: web.App) -> None:
        """Adds the routes to `app`."""
        program_path = "/v1/programs/<program>"
        app.route("POST", "/v1/programs", self.create)
        app.route("GET", program_path, self.show)
        app.route("DELETE", program_path, self.end)
        app.route("POST", "/v1/chat/completions", self.chat)
        app.route("POST", program_path + "/chat/completions", self.chat)

    def create(self, req: web.Request) -> werkzeug.wrappers.Response:
        """Creates a program."""
        caller = self._admission.admit(req)
        body = codec.decode(documents.NewProgram, req.get_data())
        message = self._new_program(caller, body)
        view = self._call_owner(req, caller, message, errors.Ran.UNKNOWN)
        return web.json_response(_program_document(view), 201)

    def show(
        self, req: web.Request, program: str
    ) -> werkzeug.wrappers.Response:
        """Returns a program with its history and its budget."""
        caller = self._admission.admit(req)
        message = messages.ShowProgram(program, caller.account)
        view = self._call_owner(req, caller, message, errors.Ran.NO)
        return web.json_response(_program_document(view))

    def end(self, req: web.Request, program: str) -> werkzeug.wrappers.Response:
        """Ends a program."""
        caller = self._admission.admit(req)
        message = messages.EndProgram(program, caller.account)
        view = self._call_owner(req, caller, message, errors.Ran.UNKNOWN)
        return web.json_response(_program_document(view))

    def chat(
        self, req: web.Request, program: str = ""
    ) -> werkzeug.wrappers.Response:
        """Makes a model call in a program, or in a new one if none is named."""
        caller = self._admission.admit(req)
        body = codec.decode(documents.ChatRequest, req.get_data())
        program = program or req.headers.get(admission_lib.PROGRAM_HEADER, "")
        progress = guard_lib.Progress()
        single = not program
        created = self._timers.wall()
        with self._guard.cancel_scope(req, caller, progress):
            self._guard.recheck(caller, progress)
            progress.ran = errors.Ran.UNKNOWN
            if single:
                program = self._create_single(caller, body)
            call = self._model_call(req, caller, body, program)
            events = self._call_events(call, single, restarts=not body.stream)
            if not body.stream:
                return _chat_response(
                    self._read_answer(events), body.model, created
                )
            started = self._wait_for_first(events)
        guarded = self._guard.stream(req, caller, started)
        return web.stream_response(
            chat.stream(guarded, call.call_id, body.model, created),
            chat.STREAM_TYPE,
        )

    def _call_owner(
        self,
        req: web.Request,
        caller: keys_lib.Caller,
        message: messages.CreateProgram
        | messages.ShowProgram
        | messages.EndProgram,
        ran: errors.Ran,
    ) -> messages.ProgramView:
        """Sends a message to the owner of its program.

        Args:
            req: the request that the message is sent for.
            caller: who makes the request.
            message: the message; names the program.
            ran: what a refusal says about the effect if the request is
                cancelled while it waits for the owner.
        """
        with self._guard.cancel_scope(req, caller, guard_lib.Progress(ran)):
            view: messages.ProgramView = self._owners.call(
                ids_lib.parse_program(message.program_id),
                message,
                messages.ProgramView,
                seconds=self._seconds,
            )
        return view

    def _new_program(
        self, caller: keys_lib.Caller, body: documents.NewProgram
    ) -> messages.CreateProgram:
        """Returns the message that creates a program.

        The template supplies what `body` does not specify.
        """
        state = self._base.current.state
        template = state.templates.get(body.template)
        if template is None:
            if body.template:
                raise _bad_request(f"there is no template {body.template!r}")
            template = state_lib.Template("", body.model)
        model_name = body.model or template.model
        model = state.models.get(model_name)
        if model is None:
            raise _bad_request(f"there is no model {model_name!r}")
        pool = state.pools[model.pool]
        program = self._base.ids.program(pool.name, pool.shards)
        return messages.CreateProgram(
            program_id=str(program),
            account=caller.account,
            model=model_name,
            kind=body.kind or template.kind,
            budget=records.Budget(
                template.tokens if body.tokens is None else body.tokens,
                template.calls if body.calls is None else body.calls,
                template.seconds if body.seconds is None else body.seconds,
            ),
            parent=body.parent,
        )

    def _create_single(
        self, caller: keys_lib.Caller, body: documents.ChatRequest
    ) -> str:
        """Creates a program for a single call and returns its id."""
        new = documents.NewProgram(
            model=body.model,
            tokens=SINGLE_CALL_BUDGET_CALLS * _max_tokens(body),
            calls=SINGLE_CALL_BUDGET_CALLS,
            seconds=SINGLE_CALL_BUDGET_SECONDS,
        )
        message = self._new_program(caller, new)
        self._owners.call(
            ids_lib.parse_program(message.program_id),
            message,
            messages.ProgramView,
            seconds=self._seconds,
        )
        return message.program_id

    def _model_call(
        self,
        req: web.Request,
        caller: keys_lib.Caller,
        body: documents.ChatRequest,
        program: str,
    ) -> messages.ModelCall:
        """Returns the message that makes a model call in a program."""
        call_id = req.headers.get(CALL_ID_HEADER, "") or self._base.ids.unique()
        if len(call_id) > documents.MAX_ID_LENGTH:
            raise _bad_request(
                f"{CALL_ID_HEADER} has {len(call_id)} characters; send at most "
                f"{documents.MAX_ID_LENGTH}"
            )
        return messages.ModelCall(
            program_id=program,
            account=caller.account,
            call_id=call_id,
            messages=tuple(
                target_ports.ChatMessage(message.role, message.content)
                for message in body.messages
            ),
            whole=req.headers.get(HISTORY_HEADER, "") != APPEND,
            max_tokens=_max_tokens(body),
            seconds=self._seconds,
            receipt=req.headers.get(RECEIPT_HEADER, ""),
        )

    def _call_events(
        self, call: messages.ModelCall, single: bool, restarts: bool
    ) -> Iterator[messages.CallEvent]:
        """Yields the events of a call.

        After the last event of a single call, the program that was created
        for it is ended in the background.
        """
        program = ids_lib.parse_program(call.program_id)
        yield from self._owners.stream(
            program,
            call,
            messages.CallEvent,
            seconds=call.seconds,
            restarts=restarts,
        )
        if single:
            end = messages.EndProgram(call.program_id, call.account)
            gevent.spawn(
                self._owners.call,
                program,
                end,
                messages.ProgramView,
                seconds=self._seconds,
            )

    def _wait_for_first(
        self, events: Iterator[messages.CallEvent]
    ) -> Iterator[messages.CallEvent]:
        """Waits for the first event and returns all events.

        A refusal before the first event is raised here, while the response
        can still have the refusal's status code.
        """
        first = next(events)

        def with_first() -> Iterator[messages.CallEvent]:
            yield first
            yield from events

        return with_first()

    def _read_answer(
        self, events: Iterator[messages.CallEvent]
    ) -> messages.Answer:
        """Reads the events of a call to their end and returns its answer."""
        for event in events:
            match event:
                case messages.Answer():
                    answer = event
        return answer


def _chat_response(
    answer: messages.Answer, model: str, created: float
) -> werkzeug.wrappers.Response:
    return werkzeug.wrappers.Response(
        chat.completion(answer, model, created),
        headers={
            RECEIPT_HEADER: answer.receipt,
            TURN_HEADER: str(answer.turn),
        },
        content_type=web.JSON_TYPE,
    )


def _max_tokens(body: documents.ChatRequest) -> int:
    requested = body.max_completion_tokens or body.max_tokens
    return requested or DEFAULT_MAX_TOKENS


def _bad_request(detail: str) -> errors.Refused:
    return errors.Refused(errors.Code.BAD_REQUEST, 400, detail)


def _program_document(
    view: messages.ProgramView,
) -> documents.ProgramDocument:
    row = view.program
    history: list[dict[str, str]] = []
    for turn in view.turns:
        history.extend(dataclasses.asdict(message) for message in turn.added)
        history.append({"role": "assistant", "content": turn.answer})
    return documents.ProgramDocument(
        id=row.program_id,
        status=row.status,
        model=row.model,
        kind=row.kind,
        parent=row.parent,
        budget=row.budget,
        used_tokens=row.tokens,
        used_calls=row.calls,
        turn=row.turn,
        receipt=view.receipt,
        messages=tuple(history),
    )
