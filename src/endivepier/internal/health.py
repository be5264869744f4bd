"""The routes for liveness, readiness and metrics of a process."""

from __future__ import annotations

import werkzeug.wrappers

from endivepier.internal import process
from endivepier.internal import web
from endivepier.membership import members


def add_to(app: web.App, base: process.Base) -> None:
    """Adds `/healthz`, `/readyz` and `/metrics` to `app`."""

    def healthz(req: web.Request) -> werkzeug.wrappers.Response:
        del req
        return werkzeug.wrappers.Response("ok\n")

    def readyz(req: web.Request) -> werkzeug.wrappers.Response:
        del req
        state = base.effective_state()
        ready = state is members.MemberState.READY
        return werkzeug.wrappers.Response(
            f"{state.value}\n", status=200 if ready else 503
        )

    def metrics(req: web.Request) -> werkzeug.wrappers.Response:
        del req
        return werkzeug.wrappers.Response(
            base.metrics.render(), content_type="text/plain; version=0.0.4"
        )

    app.route("GET", "/healthz", healthz)
    app.route("GET", "/readyz", readyz)
    app.route("GET", "/metrics", metrics)
