"""The queue in front of a plain service."""

from __future__ import annotations

import dataclasses

from endivepier import timers as timers_lib
from endivepier.configuration import current as current_lib
from endivepier.effects import messages
from endivepier.effects import runner as runner_lib
from endivepier.scheduling import queue as queue_lib
from endivepier.scheduling import work as work_lib


class ServiceDispatcher:
    """Queues requests for a service and runs them when a slot is free.

    A request is queued before its idempotency key is claimed, so a request
    that the queue refuses has certainly not run.
    """

    def __init__(
        self,
        queue: queue_lib.Queue,
        current: current_lib.CurrentConfiguration,
        timers: timers_lib.Timers,
        run: runner_lib.Run,
    ) -> None:
        """Makes a dispatcher.

        Args:
            queue: the queue in front of the service.
            current: the configuration, with the weights of accounts and kinds.
            timers: the timer service.
            run: runs a request at the service.
        """
        self._queue = queue
        self._current = current
        self._timers = timers
        self._run = run

    def run(self, req: messages.CallService) -> messages.ServiceAnswer:
        """Runs a request once it has a slot, in what is left of its time.

        Raises:
            errors.Refused: the request failed; `ran` tells if it took effect.
        """
        started = self._timers.now()
        with self._queue.slot(self._work(req)):
            remaining = req.seconds - (self._timers.now() - started)
            return self._run(dataclasses.replace(req, seconds=remaining))

    def _work(self, req: messages.CallService) -> work_lib.Work:
        state = self._current.state
        account = state.accounts.get(req.account)
        return work_lib.Work(
            account=req.account,
            weight=1.0 if account is None else account.weight,
            program_id=req.program_id,
            attained=0.0,
            cost=1.0,
            worth=state.weight_of_kind(req.kind),
            seconds=req.seconds,
        )
