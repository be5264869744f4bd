"""The programs that this sidecar owns: their calls, in order, on budget."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import dataclasses

import gevent.lock

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.configuration import current as current_lib
from endivepier.effects import client as client_lib
from endivepier.effects import messages as effect_messages
from endivepier.history import journal as journal_lib
from endivepier.history import messages
from endivepier.history import receipts as receipts_lib
from endivepier.history import records
from endivepier.internal import ids as ids_lib
from endivepier.internal import peers as peers_lib
from endivepier.ownership import shards as shards_lib
from endivepier.scheduling import router as router_lib
from endivepier.scheduling import work as work_lib
from endivepier.targets import ports as target_ports
from endivepier.targets import tokens

RETRY_SECONDS = 0.5


class _Program:
    """A program in memory.

    Attributes:
        stored: what the journal has of it.
        lock: held by the call that runs; calls wait in order of arrival.
    """

    def __init__(self, stored: journal_lib.Stored) -> None:
        self.stored = stored
        self.lock = gevent.lock.BoundedSemaphore()


class Programs:
    """Takes the messages about programs from entry hosts."""

    def __init__(
        self,
        shards: shards_lib.Shards,
        journal: journal_lib.Journal,
        receipts: receipts_lib.Receipts,
        router: router_lib.Router,
        current: current_lib.Current,
        services: client_lib.Client,
        timers: timers_lib.Timers,
        ids: ids_lib.Ids,
    ) -> None:
        self._shards = shards
        self._journal = journal
        self._receipts = receipts
        self._router = router
        self._current = current
        self._services = services
        self._timers = timers
        self._ids = ids
        self._programs: dict[str, _Program] = {}
        self._loading: dict[str, gevent.lock.BoundedSemaphore] = {}

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
        lease = self._shards.lease(ids_lib.parse_program(req.program_id))
        with self._owning(lease):
            stored = self._journal.load(req.program_id)
            if stored is None:
                row = records.ProgramRow(
                    program_id=req.program_id,
                    account=req.account,
                    model=req.model,
                    kind=req.kind,
                    budget=req.budget,
                    created=self._timers.wall(),
                    parent=req.parent,
                )
                stored = self._journal.append(lease, None, row)
        program = self._programs.setdefault(req.program_id, _Program(stored))
        return self._view_of(program.stored)

    def show(self, req: messages.ShowProgram) -> messages.ProgramView:
        """Returns a program with its history."""
        _, program = self._find(req.program_id, req.account)
        return self._view_of(program.stored)

    def end(self, req: messages.EndProgram) -> messages.ProgramView:
        """Ends a program once the call that runs is over."""
        lease, program = self._find(req.program_id, req.account)
        with program.lock, self._owning(lease):
            row = program.stored.row
            if row.status is not records.Status.ENDED:
                row = dataclasses.replace(row, status=records.Status.ENDED)
                program.stored = self._journal.append(
                    lease, program.stored, row
                )
        return self._view_of(program.stored)

    def model_call(
        self, req: messages.ModelCall
    ) -> Iterator[messages.CallEvent]:
        """Runs the next model call; the answer comes once it is durable."""
        lease, program = self._find(req.program_id, req.account)
        with program.lock, self._owning(lease):
            earlier = self._earlier(program.stored, req)
            if earlier is not None:
                yield from self._replay(program.stored, earlier)
                return
            added = self._added(program.stored, req)
            self._check_open(program.stored.row, req.max_tokens)
            yield from self._run(lease, program, req, added)

    def service_call(
        self, req: messages.ProgramServiceCall
    ) -> effect_messages.ServiceAnswer:
        """Calls a plain service as the program's next step."""
        lease, program = self._find(req.program_id, req.account)
        with program.lock, self._owning(lease):
            row = program.stored.row
            self._check_open(row, 0)
            row = dataclasses.replace(row, calls=row.calls + 1)
            program.stored = self._journal.append(lease, program.stored, row)
            call = dataclasses.replace(req.request, kind=row.kind)
            return self._services.send(req.pool, call)

    def _run(
        self,
        lease: shards_lib.Lease,
        program: _Program,
        req: messages.ModelCall,
        added: tuple[target_ports.ChatMessage, ...],
    ) -> Iterator[messages.CallEvent]:
        generate = self._generate(program.stored, req, added)
        text: list[str] = []
        for event in self._router.generate(generate):
            match event:
                case target_ports.Token():
                    text.append(event.text)
                    yield messages.Chunk(event.text)
                case target_ports.Finished():
                    answer = "".join(text)
                    turn = self._turn(program.stored, req, added, answer, event)
                    row = _with_turn(program.stored.row, turn)
                    program.stored = self._journal.append(
                        lease, program.stored, row, turn
                    )
                    yield self._answer(
                        program.stored, turn, event.cached_tokens
                    )

    def _generate(
        self,
        stored: journal_lib.Stored,
        req: messages.ModelCall,
        added: tuple[target_ports.ChatMessage, ...],
    ) -> work_lib.Generate:
        row = stored.row
        state = self._current.state
        account = state.accounts.get(row.account)
        conversation = (*_conversation(stored), *added)
        work = work_lib.Work(
            account=row.account,
            weight=1.0 if account is None else account.weight,
            program_id=row.program_id,
            attained=row.tokens,
            cost=tokens.count_messages(added) + req.max_tokens,
            worth=state.weight_of_kind(row.kind),
            seconds=req.seconds,
        )
        request = target_ports.Generate(
            request_id=self._ids.unique(),
            session=row.program_id,
            model=row.model,
            messages=conversation,
            max_tokens=req.max_tokens,
        )
        return work_lib.Generate(work, request)

    def _turn(
        self,
        stored: journal_lib.Stored,
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

    def _answer(
        self, stored: journal_lib.Stored, turn: records.TurnRow, cached: int
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
        self, stored: journal_lib.Stored, turn: records.TurnRow
    ) -> Iterator[messages.CallEvent]:
        yield messages.Chunk(turn.answer)
        yield self._answer(stored, turn, 0)

    def _earlier(
        self, stored: journal_lib.Stored, req: messages.ModelCall
    ) -> records.TurnRow | None:
        """Returns the turn that the same call made before, or None."""
        for turn in stored.turns:
            if turn.call_id == req.call_id:
                return turn
        return None

    def _added(
        self, stored: journal_lib.Stored, req: messages.ModelCall
    ) -> tuple[target_ports.ChatMessage, ...]:
        """Returns what the call adds, once its history is found to be ours."""
        if req.receipt:
            self._check_receipt(stored, req)
        if not req.whole:
            return req.messages
        known = _conversation(stored)
        if req.messages[: len(known)] != known:
            raise _mismatch("the messages don't start with the history")
        return req.messages[len(known) :]

    def _check_receipt(
        self, stored: journal_lib.Stored, req: messages.ModelCall
    ) -> None:
        receipt = self._receipts.check(req.receipt)
        if receipt.program_id != req.program_id:
            raise _mismatch("the receipt is of another program")
        if (receipt.turn, receipt.digest) != (
            stored.row.turn,
            stored.row.digest,
        ):
            raise _mismatch(
                f"the receipt is of turn {receipt.turn}, the history is at "
                f"turn {stored.row.turn}"
            )

    def _check_open(self, row: records.ProgramRow, max_tokens: int) -> None:
        """Refuses a call that an ended program or its budget forbids."""
        if row.status is records.Status.ENDED:
            raise errors.Refused(
                errors.Code.PROGRAM_ENDED, 409, "the program has ended"
            )
        budget = row.budget
        age = self._timers.wall() - row.created
        if row.calls + 1 > budget.calls:
            raise _over_budget(f"all {budget.calls} calls are used")
        if row.tokens + max_tokens > budget.tokens:
            left = budget.tokens - row.tokens
            raise _over_budget(f"{left} tokens are left of {budget.tokens}")
        if age > budget.seconds:
            raise _over_budget(f"its {budget.seconds:.0f} s are over")

    def _find(
        self, program_id: str, account: str
    ) -> tuple[shards_lib.Lease, _Program]:
        """Returns a program of `account` and the lease of its shard."""
        lease = self._shards.lease(ids_lib.parse_program(program_id))
        lock = self._loading.setdefault(
            program_id, gevent.lock.BoundedSemaphore()
        )
        with lock:
            program = self._programs.get(program_id)
            if program is None:
                program = self._load(program_id)
        if program.stored.row.account != account:
            raise ids_lib.program_not_found(program_id)
        return lease, program

    def _load(self, program_id: str) -> _Program:
        try:
            stored = self._journal.load(program_id)
        except errors.Unavailable:
            raise _store_unavailable(errors.Ran.NO) from None
        if stored is None:
            raise ids_lib.program_not_found(program_id)
        program = _Program(stored)
        self._programs[program_id] = program
        return program

    @contextlib.contextmanager
    def _owning(self, lease: shards_lib.Lease) -> Iterator[None]:
        """Turns the loss of the shard or of the store into refusals."""
        try:
            yield
        except errors.Fenced:
            self._forget(lease)
            raise errors.Refused(
                errors.Code.WRONG_OWNER,
                421,
                "another process took the shard over",
                retry_after=RETRY_SECONDS,
            ) from None
        except errors.Unavailable:
            raise _store_unavailable(errors.Ran.NO) from None
        except errors.OutcomeUnknown:
            self._forget(lease)
            raise _store_unavailable(errors.Ran.UNKNOWN) from None

    def _forget(self, lease: shards_lib.Lease) -> None:
        """Drops a shard and what memory has of its programs."""
        self._shards.drop(lease)
        for program_id in list(self._programs):
            name = ids_lib.parse_program(program_id).shard_name
            if name == lease.shard:
                self._programs.pop(program_id)

    def _view_of(self, stored: journal_lib.Stored) -> messages.ProgramView:
        row = stored.row
        receipt = receipts_lib.Receipt(row.program_id, row.turn, row.digest)
        return messages.ProgramView(
            row, stored.turns, self._receipts.sign(receipt)
        )


def _conversation(
    stored: journal_lib.Stored,
) -> tuple[target_ports.ChatMessage, ...]:
    """Returns the messages of all turns, answers included."""
    found: list[target_ports.ChatMessage] = []
    for turn in stored.turns:
        found.extend(turn.added)
        found.append(target_ports.ChatMessage("assistant", turn.answer))
    return tuple(found)


def _with_turn(
    row: records.ProgramRow, turn: records.TurnRow
) -> records.ProgramRow:
    """Returns the program's row after a turn."""
    return dataclasses.replace(
        row,
        turn=turn.turn,
        digest=turn.digest,
        tokens=row.tokens + turn.completion_tokens,
        calls=row.calls + 1,
    )


def _mismatch(detail: str) -> errors.Refused:
    return errors.Refused(
        errors.Code.HISTORY_MISMATCH,
        409,
        f"{detail}; read the history and send the call again",
    )


def _over_budget(detail: str) -> errors.Refused:
    return errors.Refused(
        errors.Code.BUDGET_EXHAUSTED,
        409,
        f"the program's budget does not allow the call: {detail}",
    )


def _store_unavailable(ran: errors.Ran) -> errors.Refused:
    return errors.Refused(
        errors.Code.STORE_UNAVAILABLE,
        503,
        "the program's history can't be written now; retry later",
        ran=ran,
        retry_after=1.0,
    )
