"""Keeps an exception from ending a task that lasts as long as its process.

Such a task does many things in turn, for instance with each row of a table.
Without it, the process would go on with what it knew last, and say nothing.
"""

from __future__ import annotations

from collections.abc import Callable
import traceback
from typing import Any

import eliot


def contain(function: Callable[..., object], *args: Any) -> bool:
    """Calls a function, and logs an exception that it raises.

    Args:
        function: the function.
        args: its arguments.

    Returns:
        Whether the function returned without an exception.
    """
    try:
        function(*args)
    except Exception as exc:
        log(exc)
        return False
    return True


def log(exc: Exception) -> None:
    """Logs an exception that is not expected, with its traceback."""
    eliot.log_message(
        "task.failed",
        error=type(exc).__name__,
        reason=str(exc),
        traceback="".join(traceback.format_exception(exc)),
    )
