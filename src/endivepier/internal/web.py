"""The HTTP server of every process: routes, problem documents, TLS.

`gevent.pywsgi` serves, since `geventhttpclient` has no server. Handlers take
a `werkzeug` request and return a response, or raise `errors.Refused`.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import math
from typing import Any

import eliot
import gevent
from gevent import pywsgi
from gevent import socket
import gevent.event
import gevent.pool
import werkzeug.datastructures
import werkzeug.exceptions
import werkzeug.routing
import werkzeug.wrappers
import werkzeug.wsgi

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import codec
from endivepier.internal import problems
from endivepier.telemetry import spans

SOCKET_KEY = "endivepier.socket"
JSON_TYPE = "application/json"

Handler = Callable[..., werkzeug.wrappers.Response]


class _WsgiHandler(pywsgi.WSGIHandler):
    """Gives handlers the connection, so that they can see it close."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Ends the connection after a failure in the midst of an answer.

        A caller that hung up is no failure of ours, so nothing is logged.
        """
        if isinstance(v, Exception) and not isinstance(v, OSError):
            eliot.write_traceback(exc_info=(t, v, tb))
        self._send_error_response_if_possible(500)


class _WsgiServer(pywsgi.WSGIServer):
    """Sends each part of a stream at once."""

    def do_handle(self, *args: Any) -> None:
        """Serves a connection.

        Without TCP_NODELAY a token waits until the one before it was
        acknowledged, which a client may delay by 40 ms.
        """
        args[0].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().do_handle(*args)


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
        self, *, body_limit: int, tracer: spans.Tracer | None = None
    ) -> None:
        """Makes an application without routes.

        Args:
            body_limit: the largest request body, in bytes.
            tracer: makes each request a span; None for no spans here.
        """
        self._tracer = tracer
        self._map = werkzeug.routing.Map(merge_slashes=False)
        self._handlers: dict[str, Handler] = {}
        self._body_limit = body_limit
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
        return self._tracer.span(name, self._tracer.incoming(headers))

    def wait_idle(self, timers: timers_lib.Timers, seconds: float) -> bool:
        """Waits until no request runs; returns whether that came about."""
        return timers.wait(self._idle, seconds)

    def _ended(self) -> None:
        self._active -= 1
        if self._active == 0:
            self._idle.set()

    def _respond(self, environ: dict[str, Any]) -> werkzeug.wrappers.Response:
        req = Request(environ)
        req.max_content_length = self._body_limit
        try:
            self._check(req)
            endpoint, args = self._map.bind_to_environ(environ).match()
            return self._handlers[endpoint](req, **args)
        except errors.Refused as exc:
            return problem_response(exc)
        except werkzeug.exceptions.RequestEntityTooLarge:
            return problem_response(self._too_large())
        except werkzeug.exceptions.HTTPException as exc:
            return problem_response(_from_http(exc))
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

    def _check(self, req: Request) -> None:
        """Refuses requests whose length is ambiguous or too large."""
        coded = "HTTP_TRANSFER_ENCODING" in req.environ
        if coded and req.environ.get("CONTENT_LENGTH"):
            raise errors.Refused(
                errors.Code.BAD_REQUEST,
                400,
                "send Content-Length or Transfer-Encoding, not both",
            )
        if (req.content_length or 0) > self._body_limit:
            raise self._too_large()

    def _too_large(self) -> errors.Refused:
        return errors.Refused(
            errors.Code.BODY_TOO_LARGE,
            413,
            f"the body is over {self._body_limit} bytes; send less",
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
        host, _, port = listen.rpartition(":")
        options = {}
        if certificate:
            options = {"certfile": certificate, "keyfile": private_key}
        self._server = _WsgiServer(
            (host, int(port)),
            app,
            log=None,
            error_log=None,
            handler_class=_WsgiHandler,
            # Without a pool of its own a server that stops leaves the
            # connections that are open to their tasks, which go on serving.
            spawn=gevent.pool.Pool(),
            **options,
        )

    @property
    def address(self) -> str:
        """The "ip:port" that the server listens on, once started."""
        return f"{self._server.server_host}:{self._server.server_port}"

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
        if not listen_on:
            self._server.close()
        self._app.wait_idle(timers, seconds)
        self._server.stop(timeout=0)

    def kill(self) -> None:
        """Closes the listener and cuts off all that runs."""
        self._server.stop(timeout=0)
