"""Metrics of programs: latency, recomputed prompt tokens, completed work."""

from __future__ import annotations

from endivepier import timers as timers_lib
from endivepier.configuration import current as current_lib
from endivepier.history import records
from endivepier.history import stored as stored_lib
from endivepier.targets import ports as target_ports
from endivepier.telemetry import metrics as metrics_lib


class ProgramMetrics:
    """Records metrics of the programs that this sidecar owns.

    The `account` label has few values here, because a sidecar owns programs
    of few client accounts.
    """

    def __init__(
        self,
        metrics: metrics_lib.Metrics,
        current: current_lib.CurrentConfiguration,
        timers: timers_lib.Timers,
    ) -> None:
        self._metrics = metrics
        self._current = current
        self._timers = timers

    def program_ended(self, row: records.ProgramRow) -> None:
        """Records the time from a program's creation to its end."""
        seconds = max(0.0, self._timers.wall() - row.created)
        self._metrics.observe("program_seconds", seconds, kind=row.kind)

    def model_call_completed(
        self, stored: stored_lib.StoredProgram, event: target_ports.Finished
    ) -> None:
        """Counts a model call; call this before its turn is appended.

        Tokens of the previous turn's prompt and completion that the engine
        did not find in its prefix cache had to be computed again.
        """
        reusable = 0
        if stored.turns:
            previous = stored.turns[-1]
            reusable = previous.prompt_tokens + previous.completion_tokens
        recomputed = max(
            0, min(reusable, event.prompt_tokens) - event.cached_tokens
        )
        self._metrics.count("recomputed_tokens", recomputed)
        self.request_completed(stored.row)

    def request_completed(self, row: records.ProgramRow) -> None:
        """Adds a request's weight, set by its kind, to its account's total."""
        weight = self._current.state.weight_of_kind(row.kind)
        self._metrics.count("completed_service", weight, account=row.account)
