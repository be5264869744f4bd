"""The path of a request through an entry host."""

from __future__ import annotations

import eliot
import xxhash

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway import calls
from endivepier.gateway import catalog as catalog_lib
from endivepier.gateway import dialect as dialect_lib
from endivepier.gateway import model
from endivepier.gateway import plain as plain_lib
from endivepier.gateway import share_messages
from endivepier.gateway import shares as shares_lib
from endivepier.gateway import streams as streams_lib
from endivepier.http1 import errors as http_errors
from endivepier.http1 import messages
from endivepier.http1 import server as server_lib
from endivepier.telemetry import metrics as metrics_lib


class Handler:
    """Answers the requests of clients."""

    def __init__(
        self,
        catalog: catalog_lib.Catalog,
        shares: shares_lib.Shares,
        plain: plain_lib.PlainCalls,
        streams: streams_lib.Streams,
        dialect: dialect_lib.Dialect,
        timers: timers_lib.Timers,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._catalog = catalog
        self._shares = shares
        self._plain = plain
        self._streams = streams
        self._dialect = dialect
        self._timers = timers
        self._metrics = metrics

    def __call__(
        self, req: messages.Request, responder: server_lib.Responder
    ) -> None:
        """Answers one request, or leaves the responder unfinished."""
        call: model.Call | None = None
        passage: calls.Passage | None = None
        outcome = "answered"
        reason = ""
        try:
            call = self._dialect.decode_call(req)
            passage = self._admit(call, responder)
            self._serve(passage)
        except errors.Refused as exc:
            exc = self._truthful(passage, exc)
            self._give_back(passage)
            outcome, reason = f"refused {exc.status}", exc.detail
            self._metrics.count("refusals", code=exc.code.value)
            headers, body = self._dialect.encode_refusal(call, exc)
            responder.send(exc.status, headers, body)
        except streams_lib.Broken as exc:
            outcome, reason = "broken off", str(exc)
        except http_errors.ClientGone:
            outcome = "client gone"
            raise
        except Exception as exc:
            outcome, reason = "failed here", f"{type(exc).__name__}: {exc}"
            eliot.write_traceback()
            raise
        finally:
            self._log(call, passage, outcome, reason)

    def _give_back(self, passage: calls.Passage | None) -> None:
        """Returns the token of a call that was refused before it was sent."""
        if passage is None or passage.tried or not passage.account:
            return
        declaration = self._catalog.declaration
        assert declaration is not None
        account = declaration.accounts.get(passage.account)
        if account is not None:
            self._shares.give_back(
                account, passage.call.program, began=passage.begins
            )

    def _truthful(
        self, passage: calls.Passage | None, exc: errors.Refused
    ) -> errors.Refused:
        """Returns a refusal that doesn't say "not run" of what may have."""
        if passage is None or not passage.may_have_run:
            return exc
        if exc.ran is not errors.Ran.NO:
            return exc
        return errors.Refused(
            errors.Code.OUTCOME_UNKNOWN,
            502,
            f"the call may have run; {exc.detail}",
            ran=errors.Ran.UNKNOWN,
        )

    def _admit(
        self, call: model.Call, responder: server_lib.Responder
    ) -> calls.Passage:
        """Decides whether a call may go on, and where it goes.

        Raises:
            errors.Refused: it may not.
        """
        declaration = self._catalog.declaration
        if declaration is None or not self._catalog.is_complete():
            raise errors.Refused(
                errors.Code.NOT_READY,
                503,
                "no declaration has been read yet",
                retry_after=calls.NOT_READY_RETRY_SECONDS,
            )
        route = self._catalog.route(call.host, call.path)
        if route is None:
            raise errors.Refused(
                errors.Code.NOT_FOUND, 404, "no route has this host and path"
            )
        account = self._authenticate(call, route)
        service = _pick_service(route, call)
        declared = declaration.services.get(service)
        limit = call.received + route.timeout
        if call.deadline is not None:
            limit = min(limit, call.deadline)
        left = 0.0
        if call.program_deadline is not None:
            left = call.program_deadline - self._timers.now()
        admission = share_messages.Admission()
        if account is not None:
            admission = self._check_rate(call, account, left)
        return calls.Passage(
            call=call,
            route=route,
            account="" if account is None else account.name,
            service=service,
            engine=None if declared is None else declared.engine,
            responder=responder,
            limit=limit,
            begins=admission.begins,
            delayed=admission.delayed,
        )

    def _authenticate(
        self, call: model.Call, route: model.Route
    ) -> model.Account | None:
        account = None
        if call.key is not None:
            account = self._catalog.account(call.key)
        declaration = self._catalog.declaration
        assert declaration is not None
        if account is None and declaration.accounts and not route.public:
            raise errors.Refused(
                errors.Code.UNAUTHENTICATED,
                401,
                "the key is missing or not in force",
            )
        return account

    def _check_rate(
        self, call: model.Call, account: model.Account, left: float
    ) -> share_messages.Admission:
        ask = share_messages.Ask(call.program, left, call.may_begin_program)
        admission = self._shares.acquire(account, ask)
        if admission.retry_after is not None:
            self._shares.log_refusal(account, call.id, admission)
            raise errors.Refused(
                errors.Code.RATE_LIMITED,
                429,
                f"account {account.name!r} is over {account.rate} requests/s",
                retry_after=admission.retry_after,
            )
        return admission

    def _serve(self, passage: calls.Passage) -> None:
        match passage.route.kind:
            case model.Kind.STREAM:
                self._streams.serve(passage)
            case model.Kind.IDEMPOTENT | model.Kind.NON_IDEMPOTENT:
                self._plain.serve(passage)

    def _log(
        self,
        call: model.Call | None,
        passage: calls.Passage | None,
        outcome: str,
        reason: str,
    ) -> None:
        seconds = 0.0
        if call is not None:
            seconds = self._timers.now() - call.received
        route = "" if passage is None else passage.route.name
        self._metrics.count("requests", route=route, outcome=outcome)
        self._metrics.observe("request_seconds", seconds, route=route)
        declaration = self._catalog.declaration
        eliot.log_message(
            "request.done",
            request="" if call is None else call.id,
            program="" if call is None else call.program,
            route=route,
            account="" if passage is None else passage.account,
            targets=[] if passage is None else passage.tried,
            revision=None if declaration is None else declaration.revision,
            outcome=outcome,
            reason=reason,
            seconds=round(seconds, 4),
        )


def _pick_service(route: model.Route, call: model.Call) -> str:
    """Returns the service for a call, the same one for a whole program."""
    if len(route.backends) == 1:
        return route.backends[0].service
    total = sum(backend.weight for backend in route.backends)
    name = (call.program or call.id) + route.name
    point = xxhash.xxh32_intdigest(name.encode()) / 2**32 * total
    for backend in route.backends:
        point -= backend.weight
        if point < 0:
            return backend.service
    return route.backends[-1].service
