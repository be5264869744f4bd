"""Calls between own processes over HTTP with JSON.

`POST /internal/v1/<message>` carries a message and answers with a JSON
document or, for a stream, with one JSON document a line. Every request
carries the fleet secret, which is compared in constant time.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import functools
import hmac
from typing import Annotated
from typing import Any
from typing import Literal

import eliot
import gevent
import pydantic
import werkzeug.wrappers

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import codec
from endivepier.internal import http_client
from endivepier.internal import peers
from endivepier.internal import problems
from endivepier.internal import watches as watches_lib
from endivepier.internal import web
from endivepier.telemetry import spans

PATH = "/internal/v1/"
SECRET_HEADER = "X-Endivepier-Fleet"
LINES_TYPE = "application/x-ndjson"


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEnd:
    """The last line of a stream that is whole."""

    kind: Literal["end"] = "end"


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRefusal:
    """The last line of a stream that the peer refused to go on with."""

    problem: problems.Problem
    kind: Literal["refused"] = "refused"


@functools.cache
def _items_of(event: Any) -> Any:
    """Returns the type of a stream's lines, told apart by their `kind`."""
    items = event | StreamEnd | StreamRefusal
    return Annotated[items, pydantic.Discriminator("kind")]


class HttpPeers:
    """The `peers.Peers` over HTTP."""

    def __init__(self, secret: str, tracer: spans.Tracer) -> None:
        self._secret = secret
        self._tracer = tracer
        self._clients: dict[str, http_client.HttpClient] = {}

    def call(
        self, address: str, req: Any, reply: type[Any], *, seconds: float
    ) -> Any:
        """Sends `req` once; see `peers.Peers.call`."""
        answer = self._open(address, req, seconds)
        try:
            with gevent.Timeout(seconds, http_client.ExchangeFailed("timeout")):
                body = answer.read()
        except http_client.ExchangeFailed as exc:
            answer.close()
            raise errors.PeerUnreachable(address, str(exc), sent=True) from exc
        except gevent.GreenletExit:
            answer.close()
            raise
        answer.release()
        if answer.status >= 400:
            raise _refusal(address, answer, body)
        return codec.decode(reply, body)

    def stream(
        self, address: str, req: Any, event: Any, *, seconds: float
    ) -> Iterator[Any]:
        """Sends `req` once and yields events; see `peers.Peers.stream`."""
        answer = self._open(address, req, seconds)
        whole = False
        try:
            if answer.status >= 400:
                raise _refusal(address, answer, answer.read())
            decode = codec.decoder(_items_of(event))
            for line in answer.lines():
                item = decode(line)
                match item:
                    case StreamEnd():
                        whole = True
                        break
                    case StreamRefusal(problem=problem):
                        raise problems.refusal_of(problem)
                    case _:
                        yield item
        except http_client.ExchangeFailed as exc:
            raise errors.PeerUnreachable(address, str(exc), sent=True) from exc
        finally:
            if whole:
                self._give_back(answer)
            else:
                answer.close()
        if not whole:
            raise errors.PeerUnreachable(
                address, "the stream ended early", sent=True
            )

    def _give_back(self, answer: http_client.StreamedAnswer) -> None:
        """Keeps the connection of a stream that is whole for the next call."""
        try:
            answer.read()
        except http_client.ExchangeFailed:
            answer.close()
            return
        answer.release()

    def close(self) -> None:
        """Closes the idle connections."""
        for client in self._clients.values():
            client.close()

    def _open(
        self, address: str, req: Any, seconds: float
    ) -> http_client.StreamedAnswer:
        headers = {
            SECRET_HEADER: self._secret,
            "Content-Type": web.JSON_TYPE,
            **self._tracer.trace_headers(),
        }
        body = codec.encode(req)
        path = PATH + peers.name_of(type(req))
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


def _refusal(
    address: str, answer: http_client.StreamedAnswer, body: bytes
) -> errors.EndivepierError:
    """Returns the refusal that a peer sent, or what else went wrong."""
    if answer.header("content-type") != problems.MEDIA_TYPE:
        return errors.PeerUnreachable(
            address, f"it said {answer.status}", sent=True
        )
    return problems.to_refusal(body)


class InboxRoute:
    """Serves an `Inbox` on an application."""

    def __init__(
        self,
        inbox: peers.Inbox,
        secret: str,
        tracer: spans.Tracer,
        timers: timers_lib.Timers,
    ) -> None:
        self._watches = watches_lib.Watches(timers)
        self._inbox = inbox
        self._secret = secret.encode()
        self._tracer = tracer

    def add_to(self, app: web.App) -> None:
        """Adds the route for messages."""
        app.route("POST", PATH + "<name>", self._serve)

    def _serve(self, req: web.Request, name: str) -> werkzeug.wrappers.Response:
        given = req.headers.get(SECRET_HEADER, "").encode()
        if not hmac.compare_digest(given, self._secret):
            raise errors.Refused(
                errors.Code.UNAUTHENTICATED,
                401,
                "the fleet secret is wrong; check ENDIVEPIER_FLEET_SECRET",
            )
        endpoint = self._inbox.find(name)
        message = codec.decode(endpoint.request, req.get_data())
        context = self._tracer.extract_context(req.headers)
        if endpoint.streams:
            lines = self._lines(req, endpoint, message, context)
            return web.stream_response(lines, LINES_TYPE)
        with self._tracer.span(name, context):
            return web.json_response(endpoint.handler(message))

    def _lines(
        self,
        req: web.Request,
        endpoint: peers.Endpoint,
        message: Any,
        context: Any,
    ) -> Iterator[bytes]:
        name = peers.name_of(endpoint.request)

        def check() -> watches_lib.Ended | None:
            return watches_lib.Ended() if req.hung_up() else None

        try:
            with (
                self._watches.watching(check),
                self._tracer.span(name, context),
            ):
                for event in endpoint.handler(message):
                    yield codec.encode(event, endpoint.reply) + b"\n"
            yield codec.encode(StreamEnd()) + b"\n"
        except errors.Refused as exc:
            refusal = StreamRefusal(problems.from_refusal(exc))
            yield codec.encode(refusal) + b"\n"
        except errors.EndivepierError:
            # The connection ends without an end line, which the other side
            # takes for what it is: an answer that is not whole.
            eliot.write_traceback()
            raise
