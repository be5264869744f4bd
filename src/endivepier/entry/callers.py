"""The callers' interface: programs, model calls, calls to services."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

import gevent
import werkzeug.wrappers

from endivepier import errors
from endivepier.configuration import keys as keys_lib
from endivepier.configuration import state as state_lib
from endivepier.effects import client as client_lib
from endivepier.effects import messages as effect_messages
from endivepier.entry import chat
from endivepier.entry import documents
from endivepier.entry import owners as owners_lib
from endivepier.history import messages
from endivepier.history import records
from endivepier.internal import codec
from endivepier.internal import ids as ids_lib
from endivepier.internal import process
from endivepier.internal import web
from endivepier.limits import limiter as limiter_lib
from endivepier.targets import ports as target_ports
from endivepier.telemetry import spans

CALL_ID_HEADER = "X-Endivepier-Call-Id"
PROGRAM_HEADER = "X-Endivepier-Program"
RECEIPT_HEADER = "X-Endivepier-Receipt"
HISTORY_HEADER = "X-Endivepier-History"
TURN_HEADER = "X-Endivepier-Turn"
IDEMPOTENCY_HEADER = "Idempotency-Key"
APPEND = "append"
DEFAULT_MAX_TOKENS = 64
SINGLE_CALL_SECONDS = 3600.0
WATCH_SECONDS = 0.25


class Callers:
    """Routes for callers."""

    def __init__(
        self,
        base: process.Base,
        authenticator: keys_lib.Authenticator,
        limiter: limiter_lib.Limiter,
        owners: owners_lib.Owners,
        call_seconds: float,
    ) -> None:
        self._base = base
        self._auth = authenticator
        self._limiter = limiter
        self._owners = owners
        self._services = client_lib.Client(base.view, base.env.peers)
        self._seconds = call_seconds
        self._timers = base.env.timers

    def add_to(self, app: web.App) -> None:
        """Adds the routes."""
        one = "/v1/programs/<program>"
        app.route("POST", "/v1/programs", self.create)
        app.route("GET", one, self.show)
        app.route("DELETE", one, self.end)
        app.route("POST", "/v1/chat/completions", self.chat)
        app.route("POST", one + "/chat/completions", self.chat)
        app.route("GET", "/v1/effects/<pool>/<path:key>", self.look_up)
        for method in ("GET", "POST", "PUT", "PATCH", "DELETE"):
            app.route(method, "/v1/services/<path:path>", self.service)
            app.route(method, one + "/services/<path:path>", self.service)

    def create(self, req: web.Request) -> werkzeug.wrappers.Response:
        """Creates a program."""
        caller = self._admitted(req)
        body = codec.decode(documents.NewProgram, req.get_data())
        message = self._new_program(caller, body)
        program = ids_lib.parse_program(message.program_id)
        view = self._owners.call(
            program, message, messages.ProgramView, seconds=self._seconds
        )
        return web.json_response(_program_document(view), 201)

    def show(
        self, req: web.Request, program: str
    ) -> werkzeug.wrappers.Response:
        """Shows a program, its history and its budget."""
        caller = self._admitted(req)
        message = messages.ShowProgram(program, caller.account)
        return self._about(program, message)

    def end(self, req: web.Request, program: str) -> werkzeug.wrappers.Response:
        """Ends a program."""
        caller = self._admitted(req)
        message = messages.EndProgram(program, caller.account)
        return self._about(program, message)

    def chat(
        self, req: web.Request, program: str = ""
    ) -> werkzeug.wrappers.Response:
        """Makes the next model call of a program, or a single one."""
        caller = self._admitted(req)
        body = codec.decode(documents.ChatRequest, req.get_data())
        program = program or req.headers.get(PROGRAM_HEADER, "")
        single = not program
        if single:
            program = self._create_single(caller, body)
        call = self._model_call(req, caller, body, program)
        events = self._events(caller, call, single)
        created = self._timers.wall()
        if body.stream:
            first = self._first(events)
            return web.stream_response(
                chat.stream(first, call.call_id, body.model, created),
                chat.STREAM_TYPE,
            )
        answer = self._watched(req, lambda: self._whole(events))
        return werkzeug.wrappers.Response(
            chat.whole(answer, body.model, created),
            headers={
                RECEIPT_HEADER: answer.receipt,
                TURN_HEADER: str(answer.turn),
            },
            content_type=web.JSON_TYPE,
        )

    def service(
        self, req: web.Request, path: str, program: str = ""
    ) -> werkzeug.wrappers.Response:
        """Calls a plain service."""
        route = self._base.current.state.route_for("/" + path)
        if route is None:
            raise errors.Refused(
                errors.Code.NOT_FOUND, 404, f"no route serves {'/' + path!r}"
            )
        if route.open and not program:
            caller = keys_lib.Caller("", "", state_lib.Role.CALLER)
        else:
            caller = self._admitted(req)
        program = program or req.headers.get(PROGRAM_HEADER, "")
        query = req.query_string.decode("latin-1")
        full = "/" + path + ("?" + query if query else "")
        answer = self._call_service(req, route, caller, program, full)
        return werkzeug.wrappers.Response(
            answer.body,
            status=answer.status,
            headers={"X-Endivepier-Replayed": str(answer.replayed).lower()},
            content_type=answer.content_type,
        )

    def look_up(
        self, req: web.Request, pool: str, key: str
    ) -> werkzeug.wrappers.Response:
        """Shows what is known of a non-idempotent request."""
        caller = self._admitted(req)
        message = effect_messages.LookUp(caller.account, key)
        outcome = self._services.look_up(pool, message, seconds=self._seconds)
        return web.json_response(outcome)

    def _admitted(self, req: web.Request) -> keys_lib.Caller:
        """Takes a token for the request, before its body is looked at.

        Requests of every kind cost one token, so that none of them can be
        used to get around the account's rate.
        """
        caller = self._caller(req)
        self._limiter.admit(caller.account)
        return caller

    def _caller(self, req: web.Request) -> keys_lib.Caller:
        caller = self._auth.caller(req.headers.get("Authorization"))
        if caller.role is not state_lib.Role.CALLER:
            raise errors.Refused(
                errors.Code.FORBIDDEN,
                403,
                "this is an operator's key; use a client account's key",
            )
        return caller

    def _about(
        self, program: str, message: messages.ShowProgram | messages.EndProgram
    ) -> werkzeug.wrappers.Response:
        view = self._owners.call(
            ids_lib.parse_program(program),
            message,
            messages.ProgramView,
            seconds=self._seconds,
        )
        return web.json_response(_program_document(view))

    def _new_program(
        self, caller: keys_lib.Caller, body: documents.NewProgram
    ) -> messages.CreateProgram:
        state = self._base.current.state
        template = state.templates.get(body.template)
        if template is None:
            if body.template:
                raise _bad(f"there is no template {body.template!r}")
            template = state_lib.Template("", body.model)
        model_name = body.model or template.model
        model = state.models.get(model_name)
        if model is None:
            raise _bad(f"there is no model {model_name!r}")
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
        """Creates a program for one call and returns its id."""
        new = documents.NewProgram(
            model=body.model,
            tokens=_max_tokens(body),
            calls=1,
            seconds=SINGLE_CALL_SECONDS,
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
        call_id = req.headers.get(CALL_ID_HEADER, "") or self._base.ids.unique()
        return messages.ModelCall(
            program_id=program,
            account=caller.account,
            call_id=call_id[: documents.MAX_ID],
            messages=tuple(
                target_ports.ChatMessage(message.role, message.content)
                for message in body.messages
            ),
            whole=req.headers.get(HISTORY_HEADER, "") != APPEND,
            max_tokens=_max_tokens(body),
            seconds=self._seconds,
            receipt=req.headers.get(RECEIPT_HEADER, ""),
        )

    def _events(
        self, caller: keys_lib.Caller, call: messages.ModelCall, single: bool
    ) -> Iterator[messages.CallEvent]:
        """Yields the events of a call; ends a single call's program."""
        program = ids_lib.parse_program(call.program_id)
        for event in self._owners.stream(
            program, call, messages.CallEvent, seconds=call.seconds
        ):
            if not self._auth.holds(caller):
                raise errors.Refused(
                    errors.Code.UNAUTHENTICATED,
                    401,
                    "the key was withdrawn",
                    ran=errors.Ran.UNKNOWN,
                )
            yield event
        if single:
            end = messages.EndProgram(call.program_id, call.account)
            gevent.spawn(
                self._owners.call,
                program,
                end,
                messages.ProgramView,
                seconds=self._seconds,
            )

    def _first(
        self, events: Iterator[messages.CallEvent]
    ) -> Iterator[messages.CallEvent]:
        """Waits for the first event, so that a refusal keeps its status."""
        first = next(events)

        def resumed() -> Iterator[messages.CallEvent]:
            yield first
            yield from events

        return resumed()

    def _whole(self, events: Iterator[messages.CallEvent]) -> messages.Answer:
        for event in events:
            match event:
                case messages.Answer():
                    answer = event
        return answer

    def _watched(
        self, req: web.Request, work: Callable[[], messages.Answer]
    ) -> messages.Answer:
        """Does `work`; cancels it when the caller hangs up."""
        task = spans.spawn(_outcome_of, work)
        while not task.ready():
            task.join(WATCH_SECONDS)
            if req.hung_up():
                task.kill()
                raise gevent.GreenletExit
        result = task.get()
        if isinstance(result, BaseException):
            raise result
        return result

    def _call_service(
        self,
        req: web.Request,
        route: state_lib.Route,
        caller: keys_lib.Caller,
        program: str,
        path: str,
    ) -> effect_messages.ServiceAnswer:
        idempotency_key = req.headers.get(IDEMPOTENCY_HEADER, "")
        idempotent = route.idempotent or req.method == "GET"
        call = effect_messages.CallService(
            account=caller.account,
            program_id=program,
            kind="standard",
            method=req.method,
            path=path,
            body=req.get_data(),
            content_type=req.content_type or "application/octet-stream",
            idempotent=idempotent,
            idempotency_key="" if idempotent else idempotency_key,
            seconds=self._seconds,
        )
        if not program:
            return self._services.send(route.pool, call)
        step = messages.ProgramServiceCall(
            program, call.account, route.pool, call
        )
        answer: effect_messages.ServiceAnswer = self._owners.call(
            ids_lib.parse_program(program),
            step,
            effect_messages.ServiceAnswer,
            seconds=self._seconds,
            repeatable=idempotent,
        )
        return answer


def _outcome_of(
    work: Callable[[], messages.Answer],
) -> messages.Answer | errors.EndivepierError:
    """Returns what `work` returns or raises, so that nothing is printed."""
    try:
        return work()
    except errors.EndivepierError as exc:
        return exc


def _max_tokens(body: documents.ChatRequest) -> int:
    given = body.max_completion_tokens or body.max_tokens
    return given or DEFAULT_MAX_TOKENS


def _bad(detail: str) -> errors.Refused:
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
