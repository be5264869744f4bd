"""Runs the calls of the programs that this sidecar owns.

The calls of a program run one at a time, in order of arrival. The budget of
a model call is reserved durably before the call is dispatched.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.configuration import current as current_lib
from endivepier.effects import client as client_lib
from endivepier.effects import messages as effect_messages
from endivepier.history import budgets
from endivepier.history import journal as journal_lib
from endivepier.history import messages
from endivepier.history import receipts as receipts_lib
from endivepier.history import records
from endivepier.history import stored as stored_lib
from endivepier.history import turns as turns_lib
from endivepier.internal import ids as ids_lib
from endivepier.internal import peers as peers_lib
from endivepier.ownership import shards as shards_lib
from endivepier.scheduling import router as router_lib
from endivepier.scheduling import work as work_lib
from endivepier.sidecar import child_budgets as child_budgets_lib
from endivepier.sidecar import matching
from endivepier.sidecar import program_metrics as program_metrics_lib
from endivepier.sidecar import registry as registry_lib
from endivepier.targets import ports as target_ports
from endivepier.targets import tokens

RETRY_SECONDS = 0.5
MIN_TIMEOUT_SECONDS = 0.001


class ProgramHandler:
    """Handles the entry hosts' messages about programs."""

    def __init__(
        self,
        registry: registry_lib.Registry,
        shards: shards_lib.Shards,
        journal: journal_lib.Journal,
        child_budgets: child_budgets_lib.ChildBudgets,
        receipts: receipts_lib.Receipts,
        router: router_lib.Router,
        current: current_lib.CurrentConfiguration,
        services: client_lib.Client,
        timers: timers_lib.Timers,
        ids: ids_lib.Ids,
        program_metrics: program_metrics_lib.ProgramMetrics,
    ) -> None:
        self._registry = registry
        self._shards = shards
        self._journal = journal
        self._child_budgets = child_budgets
        self._receipts = receipts
        self._router = router
        self._current = current
        self._services = services
        self._timers = timers
        self._ids = ids
        self._metrics = program_metrics
        self._matcher = matching.Matcher(registry, journal, receipts)

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Registers the handlers of messages about programs."""
        view = messages.ProgramView
        inbox.register(messages.CreateProgram, view, self.create)
        inbox.register(messages.ShowProgram, view, self.show)
        inbox.register(messages.EndProgram, view, self.end)
        inbox.register_stream(
            messages.ModelCall, messages.CallEvent, self.model_call
        )
        inbox.register(
            messages.ProgramServiceCall,
            effect_messages.ServiceAnswer,
            self.service_call,
        )

    def create(self, req: messages.CreateProgram) -> messages.ProgramView:
        """Creates a program; repeating the request changes nothing."""
        row = records.ProgramRow(
            program_id=req.program_id,
            account=req.account,
            model=req.model,
            kind=req.kind,
            budget=req.budget,
            created=self._timers.wall(),
            parent=req.parent,
        )
        if req.parent and not self._registry.exists(req.program_id):
            row = self._child_budgets.register_with_parent(row)
        program = self._registry.create(row)
        if program.stored.row.account != req.account:
            raise ids_lib.program_not_found(req.program_id)
        with registry_lib.map_write_errors(self._registry, program):
            self._journal.wait_durable(program.stored)
        return self._view(program.stored)

    def show(self, req: messages.ShowProgram) -> messages.ProgramView:
        """Returns a program with its history."""
        program = self._registry.find(req.program_id, req.account)
        self._confirm_ownership(program)
        with registry_lib.map_write_errors(self._registry, program):
            self._journal.wait_durable(program.stored)
        return self._view(program.stored)

    def end(self, req: messages.EndProgram) -> messages.ProgramView:
        """Ends a program after the calls before it have finished."""
        with self._registry.exclusive(req.program_id, req.account) as program:
            stored = program.stored
            with registry_lib.map_write_errors(self._registry, program):
                if stored.row.status is not records.Status.ENDED:
                    row = dataclasses.replace(
                        stored.row,
                        status=records.Status.ENDED,
                        ended=self._timers.wall(),
                    )
                    self._journal.append(stored, row)
                    self._metrics.program_ended(row)
                self._journal.wait_durable(stored)
            self._child_budgets.return_unused(stored.row)
        return self._view(stored)

    def model_call(
        self, req: messages.ModelCall
    ) -> Iterator[messages.CallEvent]:
        """Runs the next model call.

        Text is yielded as it is generated, the whole answer once it is durable
        (see `history.journal`). A repeated `call_id` gets its turn's answer.
        """
        with self._registry.exclusive(req.program_id, req.account) as program:
            self._confirm_ownership(program)
            stored = program.stored
            turn = matching.completed_turn(stored, req)
            if turn is not None:
                with registry_lib.map_write_errors(self._registry, program):
                    self._journal.wait_durable(stored)
                yield from self._replay(stored, turn)
                return
            # No call may continue a turn that a failed call left non-durable.
            self._await_durable(stored)
            added = self._matcher.new_messages(stored, req)
            seconds = self._reserve(stored, req)
            with registry_lib.map_write_errors(self._registry, program):
                yield from self._run(stored, req, added, seconds)

    def service_call(
        self, req: messages.ProgramServiceCall
    ) -> effect_messages.ServiceAnswer:
        """Calls a plain service as the program's next step.

        The call is charged to the program's budget before it is sent.
        """
        with self._registry.exclusive(req.program_id, req.account) as program:
            self._confirm_ownership(program)
            stored = program.stored
            seconds = self._time_limit(stored.row, req.request.seconds)
            epoch = stored.epoch
            self._draw(stored, 0)
            row = budgets.reserve(stored.row, 0, epoch)
            self._journal.append(stored, budgets.settle(row, 0, 0, epoch))
            self._await_durable(stored)
            call = dataclasses.replace(
                req.request, kind=stored.row.kind, seconds=seconds
            )
            answer = self._services.send(req.pool, call)
            self._metrics.request_completed(stored.row)
            return answer

    def _run(
        self,
        stored: stored_lib.StoredProgram,
        req: messages.ModelCall,
        added: tuple[target_ports.ChatMessage, ...],
        seconds: float,
    ) -> Iterator[messages.CallEvent]:
        """Generates the answer and settles the budget that was reserved.

        A call that did not run keeps its reservation for the next call. One
        that failed later is charged for its `max_tokens`.
        """
        engine_request = self._make_request(stored, req, added, seconds)
        text: list[str] = []
        unsettled_tokens: int | None = req.max_tokens
        try:
            for event in self._engine_events(engine_request, seconds):
                match event:
                    case target_ports.Token():
                        text.append(event.text)
                        yield messages.Chunk(event.text)
                    case target_ports.Finished():
                        unsettled_tokens = None
                        answer = "".join(text)
                        turn = self._new_turn(stored, req, added, answer, event)
                        self._metrics.model_call_completed(stored, event)
                        self._commit_turn(stored, req, turn)
                        yield self._answer_event(
                            stored, turn, event.cached_tokens
                        )
        except errors.Refused as exc:
            if exc.ran is errors.Ran.NO:
                unsettled_tokens = None
            raise
        finally:
            if unsettled_tokens is not None:
                # The engine may have generated more than was received.
                self._charge(stored, unsettled_tokens)

    def _engine_events(
        self, engine_request: work_lib.Generate, seconds: float
    ) -> Iterator[target_ports.EngineEvent]:
        """Yields the engine's events; refuses after `seconds` have passed."""
        deadline = self._timers.now() + seconds
        events = self._router.generate(engine_request)
        try:
            while True:
                remaining = deadline - self._timers.now()
                with self._timers.limit(max(remaining, MIN_TIMEOUT_SECONDS)):
                    event = next(events, None)
                if event is None:
                    return
                yield event
        except errors.DeadlineExceeded:
            raise errors.Refused(
                errors.Code.DEADLINE_EXCEEDED,
                504,
                "the call exceeded its deadline or the program's wall time",
                ran=errors.Ran.UNKNOWN,
            ) from None
        finally:
            close = getattr(events, "close", None)
            if close is not None:
                close()

    def _commit_turn(
        self,
        stored: stored_lib.StoredProgram,
        req: messages.ModelCall,
        turn: records.TurnRow,
    ) -> None:
        """Adds a turn, charges its tokens and waits until both are durable."""
        row = budgets.settle(
            stored.row, turn.completion_tokens, req.max_tokens, stored.epoch
        )
        row = dataclasses.replace(row, turn=turn.turn, digest=turn.digest)
        self._journal.append(stored, row, turn)
        self._journal.wait_durable(stored)

    def _charge(self, stored: stored_lib.StoredProgram, tokens: int) -> None:
        """Charges the tokens that a failed call may have used."""
        if stored.failure is None:
            row = budgets.settle(stored.row, tokens, 0, stored.epoch)
            self._journal.append(stored, row)

    def _reserve(
        self, stored: stored_lib.StoredProgram, req: messages.ModelCall
    ) -> float:
        """Reserves a call's tokens durably; returns its limit in seconds."""
        seconds = self._time_limit(stored.row, req.seconds)
        if not budgets.has_reservation(
            stored.row, req.max_tokens, stored.epoch
        ):
            self._draw(stored, req.max_tokens)
            row = budgets.reserve(stored.row, req.max_tokens, stored.epoch)
            self._journal.append(stored, row)
        self._await_durable(stored)
        return seconds

    def _draw(self, stored: stored_lib.StoredProgram, tokens: int) -> None:
        """Draws a call's budget from the parent if the program is a child."""
        if stored.row.parent:
            # Refuses a call beyond the child's own budget before any draw.
            budgets.reserve(stored.row, tokens, stored.epoch)
            wanted = budgets.required_draw(stored.row, tokens, 1)
            self._child_budgets.ensure_drawn(stored, wanted)

    def _await_durable(self, stored: stored_lib.StoredProgram) -> None:
        """Waits until the program's changes are durable, before a dispatch.

        Raises:
            errors.Refused: `STORE_UNAVAILABLE` or `WRONG_OWNER`; `ran` is NO.
        """
        shard = ids_lib.parse_program(stored.row.program_id).shard_name
        lease = self._shards.write_lease(shard, stored.epoch)
        try:
            self._journal.check_writable(lease)
            self._journal.wait_durable(stored)
        except (errors.Unavailable, errors.OutcomeUnknown):
            raise registry_lib.store_unavailable(errors.Ran.NO) from None
        except errors.Fenced:
            raise shards_lib.wrong_owner("", "its lease was lost") from None

    def _time_limit(self, row: records.ProgramRow, requested: float) -> float:
        """Returns how many seconds a call may take.

        Raises:
            errors.Refused: the program has ended or its wall time is over.
        """
        now = self._timers.wall()
        budgets.check_open(row, now)
        return min(requested, budgets.remaining_seconds(row, now))

    def _confirm_ownership(self, program: registry_lib.Program) -> None:
        """Refuses the call if the program's shard has another owner."""
        shard = ids_lib.parse_program(program.stored.row.program_id).shard_name
        lease = self._shards.current(shard)
        if lease is None or lease.epoch != program.stored.epoch:
            raise shards_lib.wrong_owner("", "its lease was lost")
        self._shards.confirm(lease)

    def _make_request(
        self,
        stored: stored_lib.StoredProgram,
        req: messages.ModelCall,
        added: tuple[target_ports.ChatMessage, ...],
        seconds: float,
    ) -> work_lib.Generate:
        row = stored.row
        state = self._current.state
        account = state.accounts.get(row.account)
        work = work_lib.Work(
            account=row.account,
            weight=1.0 if account is None else account.weight,
            program_id=row.program_id,
            attained=row.tokens,
            cost=tokens.count_messages(added) + req.max_tokens,
            worth=state.weight_of_kind(row.kind),
            seconds=seconds,
        )
        request = target_ports.Generate(
            request_id=self._ids.unique(),
            session=row.program_id,
            model=row.model,
            messages=(*turns_lib.conversation(stored.turns), *added),
            max_tokens=req.max_tokens,
        )
        return work_lib.Generate(work, request)

    def _new_turn(
        self,
        stored: stored_lib.StoredProgram,
        req: messages.ModelCall,
        added: tuple[target_ports.ChatMessage, ...],
        answer: str,
        event: target_ports.Finished,
    ) -> records.TurnRow:
        return records.TurnRow(
            turn=stored.row.turn + 1,
            call_id=req.call_id,
            added=added,
            answer=answer,
            prompt_tokens=event.prompt_tokens,
            completion_tokens=event.completion_tokens,
            reason=event.reason,
            digest=records.next_digest(stored.row.digest, added, answer),
        )

    def _answer_event(
        self,
        stored: stored_lib.StoredProgram,
        turn: records.TurnRow,
        cached: int,
    ) -> messages.Answer:
        receipt = receipts_lib.Receipt(
            stored.row.program_id, turn.turn, turn.digest
        )
        return messages.Answer(
            call_id=turn.call_id,
            turn=turn.turn,
            text=turn.answer,
            prompt_tokens=turn.prompt_tokens,
            cached_tokens=cached,
            completion_tokens=turn.completion_tokens,
            reason=turn.reason,
            receipt=self._receipts.sign(receipt),
        )

    def _replay(
        self, stored: stored_lib.StoredProgram, turn: records.TurnRow
    ) -> Iterator[messages.CallEvent]:
        yield messages.Chunk(turn.answer)
        yield self._answer_event(stored, turn, 0)

    def _view(self, stored: stored_lib.StoredProgram) -> messages.ProgramView:
        row = stored.row
        receipt = receipts_lib.Receipt(row.program_id, row.turn, row.digest)
        return messages.ProgramView(
            row, stored.turns, self._receipts.sign(receipt)
        )
