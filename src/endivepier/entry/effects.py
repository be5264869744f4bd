"""The operator API for non-idempotent requests without a known outcome.

Each non-idempotent request is recorded as a claim; see `effects.claims`.
"""

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
CLAIM_PATH = "/v1/operators/effect"
MAX_NOTE_LENGTH = 1000  # characters


class Resolution(pydantic.BaseModel):
    """Body of `POST /v1/operators/effect`."""

    model_config = pydantic.ConfigDict(extra="forbid")

    account: str = pydantic.Field(max_length=claims_lib.MAX_KEY_LENGTH)
    key: str = pydantic.Field(max_length=claims_lib.MAX_KEY_LENGTH)
    version: int
    ran: Literal["yes", "no"]
    note: str = pydantic.Field(min_length=1, max_length=MAX_NOTE_LENGTH)


class EffectRoutes:
    """The routes with which operators resolve unknown outcomes."""

    def __init__(
        self,
        base: process.Base,
        check_operator: Callable[[web.Request], None],
    ) -> None:
        """Initializes the routes; `add_to` adds them to an application.

        Args:
            base: the entry host.
            check_operator: raises `errors.Refused` unless the request has
                an operator's key.
        """
        env = base.env
        table = env.platform.table
        claims = claims_lib.Claims(
            table, env.platform.objects, env.timers, base.ids
        )
        self._resolver = resolution.Resolver(table, claims, env.timers)
        self._check_operator = check_operator

    def add_to(self, app: web.App) -> None:
        """Adds the routes to `app`."""
        app.route("GET", LIST_PATH, self.open_claims)
        app.route("GET", CLAIM_PATH, self.show)
        app.route("POST", CLAIM_PATH, self.resolve)

    def open_claims(self, req: web.Request) -> werkzeug.wrappers.Response:
        """Returns one page of the open claims; see `resolution`."""
        self._check_operator(req)
        page = self._resolver.open_claims(
            req.args.get("account", ""), req.args.get("after", "")
        )
        return web.json_response(page)

    def show(self, req: web.Request) -> werkzeug.wrappers.Response:
        """Returns one claim."""
        self._check_operator(req)
        claim = self._resolver.show(
            req.args.get("account", ""), req.args.get("key", "")
        )
        return web.json_response(claim)

    def resolve(self, req: web.Request) -> werkzeug.wrappers.Response:
        """Records the outcome of a claim as an operator has determined it."""
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
