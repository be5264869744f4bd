"""Estimates the number of tokens in a conversation, without a tokenizer.

The estimates serve to compare costs. Budgets are charged with the numbers that
the engine reports.
"""

from __future__ import annotations

from collections.abc import Iterable

from endivepier.targets import ports

BYTES_PER_TOKEN = 4
TOKENS_PER_MESSAGE = 4  # overhead of a message beside its text


def count_text(text: str) -> int:
    """Returns the estimated number of tokens in `text`, at least 1."""
    return max(1, len(text.encode()) // BYTES_PER_TOKEN)


def count_messages(messages: Iterable[ports.ChatMessage]) -> int:
    """Returns the estimated number of tokens in a conversation."""
    return sum(
        count_text(message.content) + TOKENS_PER_MESSAGE for message in messages
    )
