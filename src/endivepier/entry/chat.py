"""Chat completions in the OpenAI shape, whole and as a stream of events."""

from __future__ import annotations

from collections.abc import Iterator
import json
from typing import Any

from endivepier import errors
from endivepier.history import messages
from endivepier.internal import codec
from endivepier.internal import problems

STREAM_TYPE = "text/event-stream"
DONE = b"data: [DONE]\n\n"


def whole(answer: messages.Answer, model: str, created: float) -> bytes:
    """Returns a chat completion."""
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
    """Yields server-sent events for the events of a call.

    A stream that is cut off ends without `[DONE]`; after a refusal it ends
    with an `error` object, which existing clients raise.
    """

    def chunk(delta: dict[str, str], **more: Any) -> bytes:
        document = {
            "id": call_id,
            "object": "chat.completion.chunk",
            "created": int(created),
            "model": model,
            "choices": [
                {
                    "index": 0,
                    "delta": delta,
                    "finish_reason": more.pop("reason", None),
                }
            ],
            **more,
        }
        return b"data: " + json.dumps(document).encode() + b"\n\n"

    try:
        for event in events:
            match event:
                case messages.Chunk(text=text):
                    yield chunk({"role": "assistant", "content": text})
                case messages.Answer():
                    yield chunk(
                        {},
                        reason=event.reason,
                        usage=_usage(event),
                        endivepier={
                            "turn": event.turn,
                            "receipt": event.receipt,
                        },
                    )
    except errors.Refused as exc:
        problem = codec.encode(problems.from_refusal(exc))
        yield b'data: {"error": ' + problem + b"}\n\n"
        return
    finally:
        close = getattr(events, "close", None)
        if close is not None:
            close()
    yield DONE


def _usage(answer: messages.Answer) -> dict[str, Any]:
    return {
        "prompt_tokens": answer.prompt_tokens,
        "completion_tokens": answer.completion_tokens,
        "total_tokens": answer.prompt_tokens + answer.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": answer.cached_tokens},
    }
