"""The operators' interface to open claims of non-idempotent requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal

import pydantic
import werkzeug.wrappers

from endivepier import errors
from endivepier.effects import claims as claims_lib
from endivepier.effects import resolution
from endivepier.internal import codec
from endivepier.internal import process
from endivepier.internal import web

LIST_PATH = "/v1/operators/effects"
ONE_PATH = "/v1/operators/effect"
MAX_NOTE_LENGTH = 1000


class Resolution(pydantic.BaseModel):
    """Body of `POST /v1/operators/effect`."""

    model_config = pydantic.ConfigDict(extra="forbid")

    account: str = pydantic.Field(max_length=claims_lib.MAX_KEY)
    key: str = pydantic.Field(max_length=claims_lib.MAX_KEY)
    version: int
    ran: Literal["yes", "no"]
    note: str = pydantic.Field(min_length=1, max_length=MAX_NOTE_LENGTH)


class EffectRoutes:
    """Routes with which operators resolve unknown outcomes."""

    def __init__(
        self,
        base: process.Base,
        check_operator: Callable[[web.Request], None],
    ) -> None:
        """Makes the routes.

        Args:
            base: the entry host.
            check_operator: raises unless an operator asks.
        """
        env = base.env
        table = env.platform.table
        claims = claims_lib.Claims(
            table, env.platform.objects, env.timers, base.ids
        )
        self._resolver = resolution.Resolver(table, claims, env.timers)
        self._check_operator = check_operator

    def add_to(self, app: web.App) -> None:
        """Adds the routes."""
        app.route("GET", LIST_PATH, self.open_claims)
        app.route("GET", ONE_PATH, self.show)
        app.route("POST", ONE_PATH, self.resolve)

    def open_claims(self, req: web.Request) -> werkzeug.wrappers.Response:
        """Lists claims without an outcome, a page at a time."""
        self._check_operator(req)
        page = self._resolver.open_claims(
            req.args.get("account", ""), req.args.get("after", "")
        )
        return web.json_response(page)

    def show(self, req: web.Request) -> werkzeug.wrappers.Response:
        """Shows one claim."""
        self._check_operator(req)
        claim = self._resolver.show(
            req.args.get("account", ""), req.args.get("key", "")
        )
        return web.json_response(claim)

    def resolve(self, req: web.Request) -> werkzeug.wrappers.Response:
        """Records what an operator has found out about a claim."""
        self._check_operator(req)
        body = codec.decode(Resolution, req.get_data())
        claim = self._resolver.resolve(
            body.account,
            body.key,
            version=body.version,
            ran=errors.Ran(body.ran),
            note=body.note,
        )
        return web.json_response(claim)
