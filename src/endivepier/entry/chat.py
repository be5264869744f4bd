"""Chat completions in the format of OpenAI, as one document or a stream."""

from __future__ import annotations

from collections.abc import Iterator
import json
from typing import Any

from endivepier import errors
from endivepier.history import messages
from endivepier.internal import codec
from endivepier.internal import problems

STREAM_TYPE = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"
_CHUNK_TAIL = b'}, "finish_reason": null}]}\n\n'


def completion(answer: messages.Answer, model: str, created: float) -> bytes:
    """Returns a chat completion as one JSON document.

    Args:
        answer: the answer to the model call.
        model: the model name that the caller sent.
        created: Unix time of the request, in seconds.
    """
    document = {
        "id": answer.call_id,
        "object": "chat.completion",
        "created": int(created),
        "model": model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": answer.text},
                "finish_reason": answer.reason,
            }
        ],
        "usage": _usage(answer),
    }
    return json.dumps(document).encode()


def stream(
    events: Iterator[messages.CallEvent],
    call_id: str,
    model: str,
    created: float,
) -> Iterator[bytes]:
    """Yields the server-sent events of a chat completion.

    Only a complete stream ends with `[DONE]`. After a refusal the last event
    is an `error` object, which OpenAI clients raise as an exception. `model`
    and `created` are as for `completion`.
    """
    head = _chunk_head(call_id, model, created)

    try:
        for event in events:
            match event:
                case messages.Chunk(text=text):
                    yield head + json.dumps(text).encode() + _CHUNK_TAIL
                case messages.Answer():
                    yield _last_chunk(event, call_id, model, created)
    except errors.Refused as exc:
        problem = codec.encode(problems.from_refusal(exc))
        yield b'data: {"error": ' + problem + b"}\n\n"
        return
    finally:
        close = getattr(events, "close", None)
        if close is not None:
            close()
    yield DONE_EVENT


def _chunk(
    call_id: str,
    model: str,
    created: float,
    delta: dict[str, str],
    reason: str | None,
) -> dict[str, Any]:
    """Returns the JSON document of one server-sent event."""
    choice = {"index": 0, "delta": delta, "finish_reason": reason}
    return {
        "id": call_id,
        "object": "chat.completion.chunk",
        "created": int(created),
        "model": model,
        "choices": [choice],
    }


def _chunk_head(call_id: str, model: str, created: float) -> bytes:
    """Returns the bytes that precede the text in every event of a stream.

    There is an event for each token, and only its text differs. Encoding the
    rest of the document once per stream saves most of the work.
    """
    delta = {"role": "assistant", "content": ""}
    document = json.dumps(_chunk(call_id, model, created, delta, None))
    head, _, tail = document.rpartition('""')
    assert tail.encode() + b"\n\n" == _CHUNK_TAIL
    return b"data: " + head.encode()


def _last_chunk(
    answer: messages.Answer, call_id: str, model: str, created: float
) -> bytes:
    """Returns the last event before `[DONE]`; the answer is durable by then."""
    document = _chunk(call_id, model, created, {}, answer.reason)
    document["usage"] = _usage(answer)
    document["endivepier"] = {
        "turn": answer.turn,
        "receipt": answer.receipt,
    }
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def _usage(answer: messages.Answer) -> dict[str, Any]:
    return {
        "prompt_tokens": answer.prompt_tokens,
        "completion_tokens": answer.completion_tokens,
        "total_tokens": answer.prompt_tokens + answer.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": answer.cached_tokens},
    }
