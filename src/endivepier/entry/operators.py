"""The operators' interface: release notes and the state of the fleet."""

from __future__ import annotations

import werkzeug.wrappers

from endivepier import errors
from endivepier.configuration import keys as keys_lib
from endivepier.configuration import notes
from endivepier.configuration import state as state_lib
from endivepier.entry import documents
from endivepier.internal import process
from endivepier.internal import web

CHANGE_ID_HEADER = "X-Endivepier-Change-Id"


class Operators:
    """Routes for operators."""

    def __init__(
        self,
        base: process.Base,
        authenticator: keys_lib.Authenticator,
        bootstrap_digest: str,
    ) -> None:
        self._base = base
        self._auth = authenticator
        self._bootstrap = bootstrap_digest

    def add_to(self, app: web.App) -> None:
        """Adds the routes."""
        app.route("POST", "/v1/operators/releases", self.apply)
        app.route("POST", "/v1/operators/releases/check", self.check)
        app.route("GET", "/v1/operators/releases/<int:revision>", self.show)
        app.route("GET", "/v1/operators/releases/head", self.show)
        app.route("GET", "/v1/operators/status", self.status)

    def apply(self, req: web.Request) -> werkzeug.wrappers.Response:
        """Accepts a release note whole, or not at all."""
        self._check_operator(req)
        note = notes.parse(_text(req))
        change_id = req.headers.get(CHANGE_ID_HEADER, "")
        if not change_id:
            raise errors.Refused(
                errors.Code.BAD_REQUEST,
                400,
                f"send a unique {CHANGE_ID_HEADER}, the same at each retry",
            )
        try:
            accepted = self._base.store.apply(note, change_id)
        except errors.Unavailable:
            raise _store_down(errors.Ran.NO) from None
        except errors.OutcomeUnknown:
            raise _store_down(errors.Ran.UNKNOWN) from None
        return web.json_response(accepted, 201)

    def check(self, req: web.Request) -> werkzeug.wrappers.Response:
        """Tells all faults of a note without accepting it."""
        self._check_operator(req)
        note = notes.parse(_text(req))
        return web.json_response(notes.apply(note, self._read(None)))

    def show(
        self, req: web.Request, revision: int | None = None
    ) -> werkzeug.wrappers.Response:
        """Shows the state at a revision or at the head."""
        self._check_operator(req)
        return web.json_response(self._read(revision))

    def status(self, req: web.Request) -> werkzeug.wrappers.Response:
        """Shows all processes with the revision in force on each."""
        self._check_operator(req)
        members = sorted(
            self._base.view.everybody(), key=lambda item: item.address
        )
        return web.json_response(documents.StatusDocument(tuple(members)))

    def _read(self, revision: int | None) -> state_lib.State:
        try:
            return self._base.store.read(revision)
        except errors.Unavailable:
            raise _store_down(errors.Ran.NO) from None

    def _check_operator(self, req: web.Request) -> None:
        authorization = req.headers.get("Authorization", "")
        if self._is_bootstrap(authorization):
            return
        caller = self._auth.caller(authorization)
        if caller.role is not state_lib.Role.OPERATOR:
            raise errors.Refused(
                errors.Code.FORBIDDEN, 403, "use an operator's key"
            )

    def _is_bootstrap(self, authorization: str) -> bool:
        """Returns whether the bootstrap key was given and is in force."""
        granted = any(
            key.role is state_lib.Role.OPERATOR
            for key in self._base.current.state.keys.values()
        )
        if granted or not self._bootstrap:
            return False
        given = authorization[len(keys_lib.SCHEME) :].strip()
        return keys_lib.digest_of(given) == self._bootstrap


def _text(req: web.Request) -> str:
    try:
        return req.get_data().decode()
    except UnicodeDecodeError:
        raise errors.Refused(
            errors.Code.BAD_REQUEST, 400, "write the release note in UTF-8"
        ) from None


def _store_down(ran: errors.Ran) -> errors.Refused:
    return errors.Refused(
        errors.Code.STORE_UNAVAILABLE,
        503,
        "the table service gives no answer; retry with the same change id",
        ran=ran,
        retry_after=1.0,
    )
