"""A rough count of the tokens in a conversation, without a tokenizer.

It serves to compare costs. Budgets are settled with what the engine reports.
"""

from __future__ import annotations

from collections.abc import Iterable

from endivepier.targets import ports

BYTES_PER_TOKEN = 4
TOKENS_PER_MESSAGE = 4


def count_text(text: str) -> int:
    """Returns about how many tokens `text` has; at least 1."""
    return max(1, len(text.encode()) // BYTES_PER_TOKEN)


def count_messages(messages: Iterable[ports.ChatMessage]) -> int:
    """Returns about how many tokens a conversation has."""
    return sum(
        count_text(message.content) + TOKENS_PER_MESSAGE for message in messages
    )
