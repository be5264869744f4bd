"""The HTTP server of every process: routes, problem documents, TLS.

`endivepier.http1` serves. Handlers take a `werkzeug` request and return a
response, or raise `errors.Refused`.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import math
from typing import Any

import eliot
import gevent
from gevent import socket
import gevent.event
import werkzeug.datastructures
import werkzeug.exceptions
import werkzeug.routing
import werkzeug.wrappers
import werkzeug.wsgi

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.http1 import messages
from endivepier.http1 import server as server_lib
from endivepier.internal import codec
from endivepier.internal import problems
from endivepier.internal import wsgi
from endivepier.telemetry import metrics as metrics_lib
from endivepier.telemetry import spans

SOCKET_KEY = "endivepier.socket"
JSON_TYPE = "application/json"
HEADER_SECONDS = 10.0  # for the head of a request, over slow links
IDLE_SECONDS = 300.0  # beyond the balancers' usual idle times

Handler = Callable[..., werkzeug.wrappers.Response]


class Request(werkzeug.wrappers.Request):
    """A request whose body is bounded."""

    def hung_up(self) -> bool:
        """Returns whether the caller has closed the connection."""
        sock = self.environ.get(SOCKET_KEY)
        if sock is None:
            return False
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return sock._sock.recv(1, flags) == b""
        except (BlockingIOError, AttributeError, ValueError):
            return False
        except OSError:
            return True


def json_response(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> werkzeug.wrappers.Response:
    """Returns a response with a data class as JSON."""
    return werkzeug.wrappers.Response(
        codec.encode(value),
        status=status,
        headers=headers,
        content_type=JSON_TYPE,
    )


def stream_response(
    chunks: Iterable[bytes],
    content_type: str,
    headers: dict[str, str] | None = None,
) -> werkzeug.wrappers.Response:
    """Returns a response whose chunks are sent as they come."""
    return werkzeug.wrappers.Response(
        chunks,
        headers=headers,
        content_type=content_type,
        direct_passthrough=True,
    )


def problem_response(exc: errors.Refused) -> werkzeug.wrappers.Response:
    """Returns the problem document for a refusal."""
    headers = {}
    if exc.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(exc.retry_after)))
    return werkzeug.wrappers.Response(
        codec.encode(problems.from_refusal(exc)),
        status=exc.status,
        headers=headers,
        content_type=problems.MEDIA_TYPE,
    )


class App:
    """A WSGI application made of routes."""

    def __init__(
        self,
        *,
        body_limit: int,
        tracer: spans.Tracer | None = None,
        metrics: metrics_lib.Metrics | None = None,
    ) -> None:
        """Makes an application without routes.

        Args:
            body_limit: the largest request body, in bytes.
            tracer: makes each request a span; None for no spans here.
            metrics: counts refusals; None for no count here.
        """
        self._metrics = metrics
        self._tracer = tracer
        self._map = werkzeug.routing.Map(merge_slashes=False)
        self._handlers: dict[str, Handler] = {}
        self.body_limit = body_limit
        self._active = 0
        self._idle = gevent.event.Event()
        self._idle.set()
        self.closing = False

    def route(self, method: str, rule: str, handler: Handler) -> None:
        """Has `handler` answer `method` at paths like `rule`."""
        endpoint = f"{method} {rule}"
        self._handlers[endpoint] = handler
        self._map.add(
            werkzeug.routing.Rule(rule, methods=[method], endpoint=endpoint)
        )

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Serves one request (WSGI)."""
        self._active += 1
        self._idle.clear()
        span = contextlib.ExitStack()
        span.callback(self._ended)
        try:
            span.enter_context(self._span(environ))
            response = self._respond(environ)
            if self.closing:
                # A caller that keeps its connection would come back here.
                response.headers["Connection"] = "close"
            body = response(environ, start_response)
        except BaseException:
            span.close()
            raise
        return werkzeug.wsgi.ClosingIterator(body, span.close)

    def _span(
        self, environ: dict[str, Any]
    ) -> contextlib.AbstractContextManager[None]:
        """Returns the span that lasts until the last byte was sent."""
        if self._tracer is None:
            return contextlib.nullcontext()
        headers = werkzeug.datastructures.EnvironHeaders(environ)
        name = environ["REQUEST_METHOD"]
        return self._tracer.span(name, self._tracer.extract_context(headers))

    def wait_idle(self, timers: timers_lib.Timers, seconds: float) -> bool:
        """Waits until no request runs; returns whether that came about."""
        return timers.wait(self._idle, seconds)

    def _ended(self) -> None:
        self._active -= 1
        if self._active == 0:
            self._idle.set()

    def _respond(self, environ: dict[str, Any]) -> werkzeug.wrappers.Response:
        req = Request(environ)
        req.max_content_length = self.body_limit
        try:
            self._check(req)
            endpoint, args = self._map.bind_to_environ(environ).match()
            return self._handlers[endpoint](req, **args)
        except errors.Refused as exc:
            return self._refused(exc)
        except werkzeug.exceptions.RequestEntityTooLarge:
            return self._refused(self._too_large())
        except werkzeug.exceptions.HTTPException as exc:
            return self._refused(_from_http(exc))
        except gevent.GreenletExit:
            raise
        except Exception:
            eliot.write_traceback()
            return problem_response(
                errors.Refused(
                    errors.Code.TARGET_FAILED,
                    500,
                    "an internal error; the log of this process has it",
                    ran=errors.Ran.UNKNOWN,
                )
            )

    def _refused(self, exc: errors.Refused) -> werkzeug.wrappers.Response:
        if self._metrics is not None:
            self._metrics.count(
                "refusals", code=exc.code.value, ran=exc.ran.value
            )
        return problem_response(exc)

    def _check(self, req: Request) -> None:
        """Refuses requests whose length is ambiguous or too large."""
        coded = "HTTP_TRANSFER_ENCODING" in req.environ
        if coded and req.environ.get("CONTENT_LENGTH"):
            raise errors.Refused(
                errors.Code.BAD_REQUEST,
                400,
                "send Content-Length or Transfer-Encoding, not both",
            )
        if (req.content_length or 0) > self.body_limit:
            raise self._too_large()

    def _too_large(self) -> errors.Refused:
        return errors.Refused(
            errors.Code.BODY_TOO_LARGE,
            413,
            f"the body is over {self.body_limit} bytes; send less",
        )


def _from_http(exc: werkzeug.exceptions.HTTPException) -> errors.Refused:
    code = errors.Code.BAD_REQUEST
    if exc.code == 404:
        code = errors.Code.NOT_FOUND
    return errors.Refused(code, exc.code or 400, exc.description or exc.name)


class Server:
    """A listening server for one application."""

    def __init__(
        self,
        listen: str,
        app: App,
        *,
        certificate: str = "",
        private_key: str = "",
    ) -> None:
        """Makes a server.

        Args:
            listen: "ip:port"; port 0 takes a free one.
            app: the application.
            certificate: path of a PEM file, or empty for plain HTTP.
            private_key: path of a PEM file, or empty.
        """
        self._app = app
        options = {}
        if certificate:
            options = {"certfile": certificate, "keyfile": private_key}
        self._limits = messages.ClientLimits(
            body_bytes=app.body_limit,
            header_seconds=HEADER_SECONDS,
            idle_seconds=IDLE_SECONDS,
        )
        self._server = server_lib.Server(
            listen,
            wsgi.Bridge(app, SOCKET_KEY, tls=bool(certificate)),
            timers_lib.SystemTimers(),
            lambda: self._limits,
            cancel_on_disconnect=False,
            **options,
        )

    @property
    def address(self) -> str:
        """The "ip:port" that the server listens on, once started."""
        return self._server.address

    def start(self) -> None:
        """Listens; requests are served from now on."""
        self._server.start()

    def stop(
        self,
        timers: timers_lib.Timers,
        seconds: float,
        *,
        listen_on: bool = False,
    ) -> None:
        """Waits for the requests that run, then closes all connections.

        Connections that are idle are closed without waiting for them.

        Args:
            timers: the timer service.
            seconds: the longest wait.
            listen_on: whether new connections are taken meanwhile.
        """
        self._app.closing = True
        self._server.closing = True
        if not listen_on:
            self._server.stop()
        self._app.wait_idle(timers, seconds)
        self._server.kill()

    def kill(self) -> None:
        """Closes the listener and cuts off all that runs."""
        self._server.kill()
