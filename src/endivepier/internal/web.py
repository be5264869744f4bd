"""The HTTP server of every process: routes, problem documents and TLS.

A handler takes a `werkzeug` request and returns a response or raises
`errors.Refused`. The connections are served by `endivepier.http1`.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses
import math
from typing import Any

import eliot
import gevent
from gevent import socket
from gevent import ssl
import gevent.event
import werkzeug.datastructures
import werkzeug.exceptions
import werkzeug.routing
import werkzeug.wrappers
import werkzeug.wsgi

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.http1 import capacity as capacity_lib
from endivepier.http1 import messages
from endivepier.http1 import server as server_lib
from endivepier.internal import codec
from endivepier.internal import problems
from endivepier.internal import wsgi
from endivepier.telemetry import metrics as metrics_lib
from endivepier.telemetry import spans

SOCKET_KEY = "endivepier.socket"  # WSGI environment: the connection's socket
JSON_TYPE = "application/json"
HEADER_TIMEOUT_SECONDS = 10.0  # allows for slow links
# Longer than the usual idle timeout of load balancers.
IDLE_TIMEOUT_SECONDS = 300.0

Handler = Callable[..., werkzeug.wrappers.Response]


class Request(werkzeug.wrappers.Request):
    """A request that can tell whether its caller is still connected."""

    def is_disconnected(self) -> bool:
        """Returns whether the caller has closed the connection."""
        sock = self.environ.get(SOCKET_KEY)
        if sock is None:
            return False
        try:
            # `recv` of the gevent socket itself would wait for data.
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return sock._sock.recv(1, flags) == b""
        except (BlockingIOError, AttributeError, ValueError):
            return False
        except OSError:
            return True


def json_response(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> werkzeug.wrappers.Response:
    """Returns a response whose body is a data class as JSON."""
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
    """Returns a response that sends each chunk as soon as it is available."""
    return werkzeug.wrappers.Response(
        chunks,
        headers=headers,
        content_type=content_type,
        direct_passthrough=True,
    )


def problem_response(exc: errors.Refused) -> werkzeug.wrappers.Response:
    """Returns a response with the problem document of a refusal."""
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
    """A WSGI application that dispatches requests to routes.

    Attributes:
        body_limit: the largest request body, in bytes.
        closing: whether the server is stopping.
    """

    def __init__(
        self,
        *,
        body_limit: int,
        tracer: spans.Tracer | None = None,
        metrics: metrics_lib.Metrics | None = None,
    ) -> None:
        """Creates an application without routes.

        Args:
            body_limit: the largest request body, in bytes.
            tracer: records a span for each request; None for no spans.
            metrics: counts refusals; None for no counts.
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
        """Registers a handler.

        Args:
            method: the HTTP method.
            rule: the path, with parameters in the syntax of `werkzeug`.
            handler: called with the request and the path parameters.
        """
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
        exit_stack = contextlib.ExitStack()
        exit_stack.callback(self._request_done)
        try:
            exit_stack.enter_context(self._span(environ))
            response = self._respond(environ)
            if self.closing:
                # Otherwise the caller would send its next request here too.
                response.headers["Connection"] = "close"
            body = response(environ, start_response)
        except BaseException:
            exit_stack.close()
            raise
        return werkzeug.wsgi.ClosingIterator(body, exit_stack.close)

    def _span(
        self, environ: dict[str, Any]
    ) -> contextlib.AbstractContextManager[None]:
        """Returns the span of a request, including sending its response."""
        if self._tracer is None:
            return contextlib.nullcontext()
        headers = werkzeug.datastructures.EnvironHeaders(environ)
        name = environ["REQUEST_METHOD"]
        return self._tracer.span(name, self._tracer.extract_context(headers))

    def wait_idle(self, timers: timers_lib.Timers, seconds: float) -> bool:
        """Waits until no request is running.

        Returns:
            False if some still run after `seconds`.
        """
        return timers.wait(self._idle, seconds)

    def _request_done(self) -> None:
        self._active -= 1
        if self._active == 0:
            self._idle.set()

    def _respond(self, environ: dict[str, Any]) -> werkzeug.wrappers.Response:
        req = Request(environ)
        req.max_content_length = self.body_limit
        try:
            self._check_length(req)
            endpoint, args = self._map.bind_to_environ(environ).match()
            return self._handlers[endpoint](req, **args)
        except errors.Refused as exc:
            return self._refuse(exc)
        except werkzeug.exceptions.RequestEntityTooLarge:
            return self._refuse(self._body_too_large())
        except werkzeug.exceptions.HTTPException as exc:
            return self._refuse(_refusal_of(exc))
        except gevent.GreenletExit:
            raise
        except Exception:
            eliot.write_traceback()
            return problem_response(
                errors.Refused(
                    errors.Code.TARGET_FAILED,
                    500,
                    "internal error; see the log of this process",
                    ran=errors.Ran.UNKNOWN,
                )
            )

    def _refuse(self, exc: errors.Refused) -> werkzeug.wrappers.Response:
        """Counts a refusal and returns its response."""
        if self._metrics is not None:
            self._metrics.count(
                "refusals", code=exc.code.value, ran=exc.ran.value
            )
        return problem_response(exc)

    def _check_length(self, req: Request) -> None:
        """Refuses a request whose length is ambiguous or too large.

        `Server` never passes an ambiguous length; another WSGI server may.
        """
        has_encoding = "HTTP_TRANSFER_ENCODING" in req.environ
        if has_encoding and req.environ.get("CONTENT_LENGTH"):
            raise errors.Refused(
                errors.Code.BAD_REQUEST,
                400,
                "send Content-Length or Transfer-Encoding, not both",
            )
        if (req.content_length or 0) > self.body_limit:
            raise self._body_too_large()

    def _body_too_large(self) -> errors.Refused:
        return errors.Refused(
            errors.Code.BODY_TOO_LARGE,
            413,
            f"the body is over {self.body_limit} bytes; send less",
        )


def _refusal_of(exc: werkzeug.exceptions.HTTPException) -> errors.Refused:
    code = errors.Code.BAD_REQUEST
    if exc.code == 404:
        code = errors.Code.NOT_FOUND
    return errors.Refused(code, exc.code or 400, exc.description or exc.name)


class Server:
    """An HTTP or HTTPS server for one application."""

    def __init__(
        self,
        listen: str,
        app: App,
        *,
        certificate: str = "",
        private_key: str = "",
        clients: server_lib.Clients | None = None,
    ) -> None:
        """Creates a server, which `start` starts.

        Args:
            listen: "ip:port" to listen on; port 0 selects a free port.
            app: the application.
            certificate: path of a PEM file, or empty for plain HTTP.
            private_key: path of a PEM file, or empty for plain HTTP.
            clients: what it has for its clients; None for the default.
        """
        self._app = app
        tls = None
        if certificate:
            tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            tls.load_cert_chain(certificate, private_key)
        self._limits = messages.ClientLimits(
            body_bytes=app.body_limit,
            header_seconds=HEADER_TIMEOUT_SECONDS,
            idle_seconds=IDLE_TIMEOUT_SECONDS,
        )
        clients = clients or server_lib.for_callers(
            capacity_lib.Capacity(body_bytes=app.body_limit)
        )
        self._server = server_lib.Server(
            listen,
            wsgi.WsgiHandler(app, SOCKET_KEY, tls=bool(certificate)),
            timers_lib.SystemTimers(),
            lambda: self._limits,
            clients=dataclasses.replace(clients, part_bytes=wsgi.HEADER_BYTES),
            # `entry.guard` and `http_peers` cancel requests instead.
            cancel_on_disconnect=False,
            tls=tls,
        )

    @property
    def address(self) -> str:
        """The "ip:port" that the started server listens on."""
        return self._server.address

    def start(self) -> None:
        """Starts to listen and to serve requests."""
        self._server.start()

    def stop(
        self,
        timers: timers_lib.Timers,
        seconds: float,
        *,
        keep_listening: bool = False,
    ) -> None:
        """Waits for running requests, then closes all connections.

        Idle connections are not waited for.

        Args:
            timers: the timer service.
            seconds: the longest wait; requests that still run then are cut
                off.
            keep_listening: whether new connections are accepted meanwhile.
        """
        self._app.closing = True
        self._server.closing = True
        if not keep_listening:
            self._server.stop()
        self._app.wait_idle(timers, seconds)
        self._server.kill()

    def kill(self) -> None:
        """Closes the listener and all connections at once."""
        self._server.kill()
