"""Runs a WSGI application on the HTTP server of `endivepier.http1`.

`gevent.pywsgi` is not used because it accepts framings that other servers read
differently: both Content-Length and Transfer-Encoding, `Content-Length: +3`,
folded headers, and a bare LF. Such a difference allows request smuggling.
`endivepier.http1` parses strictly, with `httptools`.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import io
import sys
from typing import Any
import urllib.parse

from endivepier.http1 import connections
from endivepier.http1 import messages
from endivepier.http1 import responding

Application = Callable[[dict[str, Any], Any], Iterable[bytes]]

# Of an entry of the environment, besides its name and value.
HEADER_BYTES = 256

# Response headers that the server sets, not the application.
FRAMING_HEADERS = frozenset(
    ("connection", "transfer-encoding", "content-length")
)


def environ_of(
    req: messages.Request, conn: connections.ClientConnection, *, tls: bool
) -> dict[str, Any]:
    """Returns the WSGI environment of a request.

    Headers with an underscore in their name are left out, since WSGI can't
    tell them from those with a hyphen.
    """
    path, _, query = req.target.partition(b"?")
    host, _, port = conn.server.address.rpartition(":")
    environ: dict[str, Any] = {
        "REQUEST_METHOD": req.method.decode("latin-1"),
        "SCRIPT_NAME": "",
        "PATH_INFO": urllib.parse.unquote_to_bytes(path).decode("latin-1"),
        "QUERY_STRING": query.decode("latin-1"),
        "SERVER_NAME": host,
        "SERVER_PORT": port,
        "SERVER_PROTOCOL": "HTTP/1.1",
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "https" if tls else "http",
        "wsgi.input": io.BytesIO(req.body),
        "wsgi.errors": sys.stderr,
        "wsgi.multithread": False,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
    }
    for name, value in req.headers:
        _add_header(environ, name.decode("latin-1"), value.decode("latin-1"))
    # The server has already read the whole body, whatever its framing was.
    environ.pop("HTTP_TRANSFER_ENCODING", None)
    environ["CONTENT_LENGTH"] = str(len(req.body))
    return environ


def _add_header(environ: dict[str, Any], name: str, value: str) -> None:
    if "_" in name:
        return
    key = name.upper().replace("-", "_")
    if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
        key = "HTTP_" + key
    previous = environ.get(key)
    environ[key] = value if previous is None else f"{previous},{value}"


class WsgiHandler:
    """A request handler for `http1.server` that calls a WSGI application."""

    def __init__(self, app: Application, socket_key: str, *, tls: bool) -> None:
        self._app = app
        self._socket_key = socket_key
        self._tls = tls

    def __call__(
        self, req: messages.Request, responder: responding.Responder
    ) -> None:
        """Handles one request."""
        conn = responder.connection
        environ = environ_of(req, conn, tls=self._tls)
        environ[self._socket_key] = conn.socket
        head: list[Any] = []

        def start_response(
            status: str, headers: list[tuple[str, str]], exc_info: Any = None
        ) -> None:
            del exc_info
            head[:] = [status, headers]

        body = self._app(environ, start_response)
        try:
            self._send(responder, head, body, req.method == b"HEAD")
        finally:
            close = getattr(body, "close", None)
            if close is not None:
                close()

    def _send(
        self,
        responder: responding.Responder,
        head: list[Any],
        body: Iterable[bytes],
        no_body: bool,
    ) -> None:
        status = int(head[0].split(" ", 1)[0])
        length = None
        headers: list[messages.Header] = []
        for name, value in head[1]:
            lowered = name.lower()
            if lowered == "content-length":
                length = int(value)
            elif lowered == "connection" and value.lower() == "close":
                responder.close_after_response()
            if lowered not in FRAMING_HEADERS:
                headers.append(
                    (name.encode("latin-1"), value.encode("latin-1"))
                )
        if length is not None or no_body or status in (204, 304):
            data = b"" if no_body else b"".join(body)
            responder.send(status, headers, data)
            return
        responder.start(status, headers)
        for chunk in body:
            if chunk:
                responder.write(chunk)
        responder.finish()
