"""The API for calls to plain services and for their outcomes."""

from __future__ import annotations

import werkzeug.wrappers

from endivepier import errors
from endivepier.configuration import keys as keys_lib
from endivepier.configuration import state as state_lib
from endivepier.effects import attempts as attempts_lib
from endivepier.effects import client as client_lib
from endivepier.effects import messages as effect_messages
from endivepier.entry import admission as admission_lib
from endivepier.entry import guard as guard_lib
from endivepier.entry import owners as owners_lib
from endivepier.history import messages
from endivepier.internal import ids as ids_lib
from endivepier.internal import process
from endivepier.internal import web

IDEMPOTENCY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "X-Endivepier-Replayed"
METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")
DEFAULT_MEDIA_TYPE = "application/octet-stream"


class ServiceRoutes:
    """The routes that call plain services and look up outcomes."""

    def __init__(
        self,
        base: process.Base,
        admission: admission_lib.Admission,
        owners: owners_lib.Owners,
        guard: guard_lib.Guard,
        client: client_lib.Client,
        attempts: attempts_lib.Attempts,
        call_seconds: float,
    ) -> None:
        self._base = base
        self._admission = admission
        self._owners = owners
        self._guard = guard
        self._client = client
        self._attempts = attempts
        self._seconds = call_seconds

    def add_to(self, app: web.App) -> None:
        """Adds the routes to `app`."""
        program_rule = "/v1/programs/<program>/services/<path:path>"
        app.route("GET", "/v1/effects/<pool>/<path:key>", self.look_up)
        for method in METHODS:
            app.route(method, "/v1/services/<path:path>", self.service)
            app.route(method, program_rule, self.service)

    def service(
        self, req: web.Request, path: str, program: str = ""
    ) -> werkzeug.wrappers.Response:
        """Calls a plain service, on behalf of a program if one is named."""
        route = self._base.current.state.route_for("/" + path)
        if route is None:
            raise errors.Refused(
                errors.Code.NOT_FOUND, 404, f"no route serves {'/' + path!r}"
            )
        program = program or req.headers.get(admission_lib.PROGRAM_HEADER, "")
        if route.open and not program:
            caller = self._admission.admit_anonymous()
        else:
            caller = self._admission.admit(req)
        query = req.query_string.decode("latin-1")
        full_path = "/" + path + ("?" + query if query else "")
        progress = guard_lib.Progress()
        with self._guard.cancel_scope(req, caller, progress):
            self._guard.recheck(caller, progress)
            progress.ran = errors.Ran.UNKNOWN
            answer = self._call_service(req, route, caller, program, full_path)
        return werkzeug.wrappers.Response(
            answer.body,
            status=answer.status,
            headers={REPLAYED_HEADER: str(answer.replayed).lower()},
            content_type=answer.content_type,
        )

    def look_up(
        self, req: web.Request, pool: str, key: str
    ) -> werkzeug.wrappers.Response:
        """Returns the outcome of an earlier non-idempotent request.

        This may record that the request did not run, which is then final.
        """
        # A refusal of this look-up must not be mistaken for the outcome of
        # the request, so its `ran` value is "unknown".
        progress = guard_lib.Progress(errors.Ran.UNKNOWN)
        caller = self._admission.admit(req, progress)
        del pool  # an idempotency key names the same request in every pool
        with self._guard.cancel_scope(req, caller, progress):
            outcome = self._attempts.look_up(caller.account, key)
        return web.json_response(outcome)

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
            content_type=req.content_type or DEFAULT_MEDIA_TYPE,
            idempotent=idempotent,
            idempotency_key="" if idempotent else idempotency_key,
            seconds=self._seconds,
        )
        return self._attempts.run(
            call, lambda attempt: self._send(route.pool, program, attempt)
        )

    def _send(
        self, pool: str, program: str, call: effect_messages.CallService
    ) -> effect_messages.ServiceAnswer:
        """Sends a call directly, or through the owner of its program."""
        if not program:
            return self._client.send(pool, call)
        message = messages.ProgramServiceCall(program, call.account, pool, call)
        answer: effect_messages.ServiceAnswer = self._owners.call(
            ids_lib.parse_program(program),
            message,
            effect_messages.ServiceAnswer,
            seconds=call.seconds,
            repeatable=call.idempotent,
        )
        return answer
