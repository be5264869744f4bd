"""The programs that this sidecar owns: their calls, in order, on budget."""

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
MIN_SECONDS = 0.001


class ProgramHandler:
    """Takes the messages about programs from entry hosts."""

    def __init__(
        self,
        registry: registry_lib.Registry,
        shards: shards_lib.Shards,
        journal: journal_lib.Journal,
        child_budgets: child_budgets_lib.ChildBudgets,
        receipts: receipts_lib.Receipts,
        router: router_lib.Router,
        current: current_lib.Current,
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
        self._program_metrics = program_metrics
        self._matcher = matching.Matcher(registry, journal, receipts)

    def register(self, inbox: peers_lib.Inbox) -> None:
        """Takes the messages about programs."""
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
        """Creates a program; the same request again changes nothing."""
        row = records.ProgramRow(
            program_id=req.program_id,
            account=req.account,
            model=req.model,
            kind=req.kind,
            budget=req.budget,
            created=self._timers.wall(),
            parent=req.parent,
        )
        if req.parent and not self._registry.is_there(req.program_id):
            row = self._child_budgets.on_budget_of_parent(row)
        program = self._registry.create(row)
        if program.stored.row.account != req.account:
            raise ids_lib.program_not_found(req.program_id)
        with registry_lib.writing(self._registry, program):
            self._journal.settle(program.stored)
        return self._view_of(program.stored)

    def show(self, req: messages.ShowProgram) -> messages.ProgramView:
        """Returns a program with its history."""
        program = self._registry.find(req.program_id, req.account)
        self._confirm(program)
        with registry_lib.writing(self._registry, program):
            self._journal.settle(program.stored)
        return self._view_of(program.stored)

    def end(self, req: messages.EndProgram) -> messages.ProgramView:
        """Ends a program once the call that runs is over."""
        with self._registry.exclusive(req.program_id, req.account) as program:
            stored = program.stored
            with registry_lib.writing(self._registry, program):
                if stored.row.status is not records.Status.ENDED:
                    row = dataclasses.replace(
                        stored.row,
                        status=records.Status.ENDED,
                        ended=self._timers.wall(),
                    )
                    self._journal.append(stored, row)
                    self._program_metrics.program_ended(row)
                self._journal.settle(stored)
            self._child_budgets.child_ended(stored.row)
        return self._view_of(stored)

    def model_call(
        self, req: messages.ModelCall
    ) -> Iterator[messages.CallEvent]:
        """Runs the next model call; the answer comes once it is safe."""
        with self._registry.exclusive(req.program_id, req.account) as program:
            self._confirm(program)
            stored = program.stored
            completed_turn = matching.completed_turn(stored, req)
            if completed_turn is not None:
                with registry_lib.writing(self._registry, program):
                    self._journal.settle(stored)
                yield from self._replay(stored, completed_turn)
                return
            # An earlier call may have left a turn that is not safe yet.
            self._settle_before_dispatch(stored)
            added = self._matcher.added(stored, req)
            seconds = self._reserve(stored, req)
            with registry_lib.writing(self._registry, program):
                yield from self._run(stored, req, added, seconds)

    def service_call(
        self, req: messages.ProgramServiceCall
    ) -> effect_messages.ServiceAnswer:
        """Calls a plain service as the program's next step."""
        with self._registry.exclusive(req.program_id, req.account) as program:
            self._confirm(program)
            stored = program.stored
            seconds = self._open_seconds(stored.row, req.request.seconds)
            epoch = stored.epoch
            self._cover(stored, 0)
            row = budgets.reserve(stored.row, 0, epoch)
            self._journal.append(stored, budgets.settle(row, 0, 0, epoch))
            self._settle_before_dispatch(stored)
            call = dataclasses.replace(
                req.request, kind=stored.row.kind, seconds=seconds
            )
            answer = self._services.send(req.pool, call)
            self._program_metrics.request_completed(stored.row)
            return answer

    def _run(
        self,
        stored: stored_lib.Stored,
        req: messages.ModelCall,
        added: tuple[target_ports.ChatMessage, ...],
        seconds: float,
    ) -> Iterator[messages.CallEvent]:
        """Generates the answer; what was reserved is settled in any case."""
        generate = self._generate(stored, req, added, seconds)
        text: list[str] = []
        used: int | None = req.max_tokens
        try:
            for event in self._events(generate, seconds):
                match event:
                    case target_ports.Token():
                        text.append(event.text)
                        yield messages.Chunk(event.text)
                    case target_ports.Finished():
                        used = None
                        answer = "".join(text)
                        turn = self._turn(stored, req, added, answer, event)
                        self._program_metrics.model_call_completed(
                            stored, event
                        )
                        self._finish(stored, req, turn)
                        yield self._answer_event(
                            stored, turn, event.cached_tokens
                        )
        except errors.Refused as exc:
            if exc.ran is errors.Ran.NO:
                used = None
            raise
        finally:
            if used is not None:
                # The engine may have generated more than arrived here.
                self._charge(stored, used)

    def _events(
        self, generate: work_lib.Generate, seconds: float
    ) -> Iterator[target_ports.EngineEvent]:
        """Yields the engine's events until the deadline."""
        deadline = self._timers.now() + seconds
        events = self._router.generate(generate)
        try:
            while True:
                left = deadline - self._timers.now()
                with self._timers.limit(max(left, MIN_SECONDS)):
                    event = next(events, None)
                if event is None:
                    return
                yield event
        except errors.DeadlineExceeded:
            raise errors.Refused(
                errors.Code.DEADLINE_EXCEEDED,
                504,
                "the deadline or the program's time passed during the call",
                ran=errors.Ran.UNKNOWN,
            ) from None
        finally:
            close = getattr(events, "close", None)
            if close is not None:
                close()

    def _finish(
        self,
        stored: stored_lib.Stored,
        req: messages.ModelCall,
        turn: records.TurnRow,
    ) -> None:
        """Makes a turn and what it used safe."""
        row = budgets.settle(
            stored.row, turn.completion_tokens, req.max_tokens, stored.epoch
        )
        row = dataclasses.replace(row, turn=turn.turn, digest=turn.digest)
        self._journal.append(stored, row, turn)
        self._journal.settle(stored)

    def _charge(self, stored: stored_lib.Stored, used: int) -> None:
        """Counts what a call that failed may have used."""
        if stored.failure is None:
            row = budgets.settle(stored.row, used, 0, stored.epoch)
            self._journal.append(stored, row)

    def _reserve(
        self, stored: stored_lib.Stored, req: messages.ModelCall
    ) -> float:
        """Reserves a call's budget; returns the seconds that it may take."""
        seconds = self._open_seconds(stored.row, req.seconds)
        if not budgets.covers(stored.row, req.max_tokens, stored.epoch):
            self._cover(stored, req.max_tokens)
            row = budgets.reserve(stored.row, req.max_tokens, stored.epoch)
            self._journal.append(stored, row)
        self._settle_before_dispatch(stored)
        return seconds

    def _cover(self, stored: stored_lib.Stored, tokens: int) -> None:
        """Draws what a child's call needs from its parent."""
        if stored.row.parent:
            budgets.reserve(stored.row, tokens, stored.epoch)
            wanted = budgets.needed(stored.row, tokens, 1)
            self._child_budgets.cover(stored, wanted)

    def _settle_before_dispatch(self, stored: stored_lib.Stored) -> None:
        """Waits for what must be safe first; nothing has been sent yet."""
        shard = ids_lib.parse_program(stored.row.program_id).shard_name
        lease = self._shards.for_writing(shard, stored.epoch)
        try:
            self._journal.check_writable(lease)
            self._journal.settle(stored)
        except (errors.Unavailable, errors.OutcomeUnknown):
            raise registry_lib.store_unavailable(errors.Ran.NO) from None
        except errors.Fenced:
            raise shards_lib.wrong_owner("", "it was lost just now") from None

    def _open_seconds(self, row: records.ProgramRow, asked: float) -> float:
        """Returns how long a call may take; refuses if the program is over."""
        now = self._timers.wall()
        budgets.check_open(row, now)
        return min(asked, budgets.left_seconds(row, now))

    def _confirm(self, program: registry_lib.Program) -> None:
        """Makes sure that the program's shard is still ours."""
        shard = ids_lib.parse_program(program.stored.row.program_id).shard_name
        lease = self._shards.current(shard)
        if lease is None or lease.epoch != program.stored.epoch:
            raise shards_lib.wrong_owner("", "it was lost just now")
        self._shards.confirm(lease)

    def _generate(
        self,
        stored: stored_lib.Stored,
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

    def _turn(
        self,
        stored: stored_lib.Stored,
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
            digest=records.chain(stored.row.digest, added, answer),
        )

    def _answer_event(
        self, stored: stored_lib.Stored, turn: records.TurnRow, cached: int
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
        self, stored: stored_lib.Stored, turn: records.TurnRow
    ) -> Iterator[messages.CallEvent]:
        yield messages.Chunk(turn.answer)
        yield self._answer_event(stored, turn, 0)

    def _view_of(self, stored: stored_lib.Stored) -> messages.ProgramView:
        row = stored.row
        receipt = receipts_lib.Receipt(row.program_id, row.turn, row.digest)
        return messages.ProgramView(
            row, stored.turns, self._receipts.sign(receipt)
        )
