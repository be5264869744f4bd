"""Calls between the processes of the system, over HTTP with JSON.

The body of `POST /internal/v1/<message type>` is a message. The response is a
JSON document or, for a stream, one JSON document per line. Every request
contains the fleet secret, which is compared in constant time.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import functools
import hmac
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeVar

import eliot
import gevent
import pydantic
import werkzeug.wrappers

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.http1 import headers as headers_lib
from endivepier.http1 import screening
from endivepier.internal import cancellation
from endivepier.internal import codec
from endivepier.internal import http_client
from endivepier.internal import peers
from endivepier.internal import problems
from endivepier.internal import web
from endivepier.telemetry import spans

PATH_PREFIX = "/internal/v1/"
SECRET_HEADER = "X-Endivepier-Fleet"
WRONG_SECRET = "the fleet secret is wrong; check ENDIVEPIER_FLEET_SECRET"
LINES_TYPE = "application/x-ndjson"
T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnd:
    """The last line of a complete stream."""

    kind: Literal["end"] = "end"


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRefusal:
    """The last line of a stream that the peer ended with a refusal."""

    problem: problems.Problem
    kind: Literal["refused"] = "refused"


@functools.cache
def _line_type(event: Any) -> Any:
    """Returns the type of a stream's lines: a union discriminated by `kind`."""
    union = event | StreamEnd | StreamRefusal
    return Annotated[union, pydantic.Discriminator("kind")]


class HttpPeers:
    """Implements `peers.Peers` over HTTP."""

    def __init__(self, secret: str, tracer: spans.Tracer) -> None:
        self._secret = secret
        self._tracer = tracer
        self._clients: dict[str, http_client.HttpClient] = {}

    def call(
        self, address: str, req: Any, reply: type[Any], *, seconds: float
    ) -> Any:
        """Sends `req` once; see `peers.Peers.call`.

        `seconds` limits the wait for the head of the response, and again the
        wait for its body.
        """
        response = self._open(address, req, seconds)
        try:
            with gevent.Timeout(seconds, http_client.ExchangeFailed("timeout")):
                body = response.read()
        except http_client.ExchangeFailed as exc:
            response.close()
            raise errors.PeerUnreachable(address, str(exc), sent=True) from exc
        except gevent.GreenletExit:
            response.close()
            raise
        response.release()
        if response.status >= 400:
            raise _response_error(address, response, body)
        return _decode(address, codec.decoder(reply), body)

    def stream(
        self, address: str, req: Any, event: Any, *, seconds: float
    ) -> Iterator[Any]:
        """Sends `req` once and yields events; see `peers.Peers.stream`.

        Here `seconds` limits only the wait for the head of the response. The
        wait for each event is limited by the read timeout of the client.
        """
        response = self._open(address, req, seconds)
        complete = False
        try:
            if response.status >= 400:
                raise _response_error(address, response, response.read())
            decode = codec.decoder(_line_type(event))
            for line in response.lines():
                item = _decode(address, decode, line)
                match item:
                    case StreamEnd():
                        complete = True
                        break
                    case StreamRefusal(problem=problem):
                        raise problems.to_refusal(problem)
                    case _:
                        yield item
        except http_client.ExchangeFailed as exc:
            raise errors.PeerUnreachable(address, str(exc), sent=True) from exc
        finally:
            if complete:
                self._release(response)
            else:
                response.close()
        if not complete:
            raise errors.PeerUnreachable(
                address, "the stream ended before its last line", sent=True
            )

    def _release(self, response: http_client.StreamedResponse) -> None:
        """Returns the connection of a complete stream to the pool."""
        try:
            response.read()
        except http_client.ExchangeFailed:
            response.close()
            return
        response.release()

    def close(self) -> None:
        """Closes the idle connections."""
        for client in self._clients.values():
            client.close()

    def _open(
        self, address: str, req: Any, seconds: float
    ) -> http_client.StreamedResponse:
        headers = {
            SECRET_HEADER: self._secret,
            "Content-Type": web.JSON_TYPE,
            **self._tracer.trace_headers(),
        }
        body = codec.encode(req)
        path = PATH_PREFIX + peers.name_of(type(req))
        try:
            with gevent.Timeout(seconds, http_client.ExchangeFailed("timeout")):
                return self._client(address).open("POST", path, body, headers)
        except http_client.ConnectFailed as exc:
            raise errors.PeerUnreachable(address, str(exc), sent=False) from exc
        except http_client.ExchangeFailed as exc:
            raise errors.PeerUnreachable(address, str(exc), sent=True) from exc

    def _client(self, address: str) -> http_client.HttpClient:
        client = self._clients.get(address)
        if client is None:
            client = http_client.HttpClient(f"http://{address}")
            self._clients[address] = client
        return client


def _response_error(
    address: str, response: http_client.StreamedResponse, body: bytes
) -> errors.EndivepierError:
    """Returns the error for a response with an error status.

    It is the peer's refusal if the body is a problem document.
    """
    if response.header("content-type") != problems.MEDIA_TYPE:
        return errors.PeerUnreachable(
            address, f"HTTP status {response.status}", sent=True
        )
    return _decode(address, problems.decode_refusal, body)


def _decode(address: str, decode: Callable[[bytes], T], data: bytes) -> T:
    """Decodes what a peer sent.

    A response may end with its connection, so that it may be truncated.

    Raises:
        errors.PeerUnreachable: it is invalid.
    """
    try:
        return decode(data)
    except errors.Refused as exc:
        raise errors.PeerUnreachable(
            address, f"invalid response: {exc.detail}", sent=True
        ) from exc


class SecretScreen:
    """Tells from the head of a request whether it shows the fleet's secret."""

    def __init__(self, secret: str) -> None:
        self._secret = secret.encode()

    def __call__(
        self, target: bytes, headers: headers_lib.Headers
    ) -> screening.Screening:
        """Screens a request; see `screening.Screen`."""
        del target
        given = headers.find(SECRET_HEADER.lower().encode()) or b""
        if hmac.compare_digest(given, self._secret):
            return screening.Screening("fleet")
        return screening.Screening(refusal=(401, WRONG_SECRET))


class InboxRoute:
    """Serves the handlers of an `Inbox` over HTTP."""

    def __init__(
        self,
        inbox: peers.Inbox,
        secret: str,
        tracer: spans.Tracer,
        timers: timers_lib.Timers,
    ) -> None:
        self._sweeper = cancellation.Sweeper(timers)
        self._inbox = inbox
        self._secret = secret.encode()
        self._tracer = tracer

    def add_to(self, app: web.App) -> None:
        """Adds the route for messages to `app`."""
        app.route("POST", PATH_PREFIX + "<name>", self._serve)

    def _serve(self, req: web.Request, name: str) -> werkzeug.wrappers.Response:
        given = req.headers.get(SECRET_HEADER, "").encode()
        if not hmac.compare_digest(given, self._secret):
            raise errors.Refused(
                errors.Code.UNAUTHENTICATED,
                401,
                WRONG_SECRET,
            )
        endpoint = self._inbox.find(name)
        message = codec.decode(endpoint.request, req.get_data())
        context = self._tracer.extract_context(req.headers)
        if endpoint.streams:
            lines = self._stream_lines(req, endpoint, message, context)
            return web.stream_response(lines, LINES_TYPE)
        with self._tracer.span(name, context):
            return web.json_response(endpoint.handler(message))

    def _stream_lines(
        self,
        req: web.Request,
        endpoint: peers.Endpoint,
        message: Any,
        context: Any,
    ) -> Iterator[bytes]:
        """Yields the lines of a streamed response.

        The handler is cancelled when the peer closes the connection.
        """
        name = peers.name_of(endpoint.request)

        def check() -> cancellation.Cancelled | None:
            return cancellation.Cancelled() if req.is_disconnected() else None

        try:
            with (
                self._sweeper.cancel_scope(check),
                self._tracer.span(name, context),
            ):
                for event in endpoint.handler(message):
                    yield codec.encode(event, endpoint.reply) + b"\n"
            yield codec.encode(StreamEnd()) + b"\n"
        except errors.Refused as exc:
            refusal = StreamRefusal(problems.from_refusal(exc))
            yield codec.encode(refusal) + b"\n"
        except errors.EndivepierError:
            # Without a last line, the peer treats the stream as incomplete.
            eliot.write_traceback()
            raise
