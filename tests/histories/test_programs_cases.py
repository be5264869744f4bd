"""Histories of programs in cases that random faults rarely produce."""

import gevent
import pytest

from endivepier import errors
from endivepier.history import messages
from endivepier.history import receipts
from endivepier.standins import local
from tests.common import callers
from tests.common import faults
from tests.common import histories

SLOW = callers.Script(turns=6, max_tokens=40, duplicate=0.0)


def _owner_of(history, caller):
    """Returns the address of the sidecar that owns a caller's program."""
    shard = caller.program.shard_name
    for address, sidecar in history.fleet.sidecars.items():
        if sidecar.shards.current(shard) is not None:
            return address
    return ""


def test_turns_made_in_a_table_outage_survive_the_loss_of_their_owner():
    history = histories.History(3, script=SLOW, programs=1)
    answered = []

    def start_outage_and_kill_owner():
        history.fleet.timers.sleep(0.3)
        history.fleet.table.faults.outage = True
        history.fleet.timers.sleep(6.0)
        answered.append(sum(bool(c.answers) for c in history.recorder.calls))
        history.fleet.kill(_owner_of(history, history.callers[0]))
        history.fleet.timers.sleep(0.5)
        history.fleet.table.faults.outage = False

    history.fleet.start()
    history.fleet.timers.after(0.0, start_outage_and_kill_owner)
    assert history.fleet.timers.run(lambda: history._run((), 20.0)) == []
    assert answered[0] >= 3
    assert all(call.answers for call in history.recorder.calls)


def test_an_owner_without_replicas_refuses_calls_in_a_table_outage():
    plan = local.Plan(engines=1)
    script = callers.Script(turns=1, duplicate=0.0, end=False)
    history = histories.History(3, plan, script, programs=1)
    caller = history.callers[0]
    history.fleet.start()
    history.fleet.timers.run(caller.run)
    history.fleet.table.faults.outage = True
    refused = []

    def call_in_outage():
        for number in (1, 2):
            before = len(history.recorder.runs)
            with pytest.raises(callers.NoResponse):
                caller.call(number)
            call = history.recorder.calls[-1]
            refused.extend(call.refusals)
        assert all(r.code is errors.Code.STORE_UNAVAILABLE for r in refused)
        assert any(r.ran is errors.Ran.NO for r in refused)
        assert len(history.recorder.runs) == before
        history.fleet.table.faults.outage = False
        history.fleet.timers.sleep(15.0)
        caller.call(1)

    history.fleet.timers.run(call_in_outage)


def test_a_graceful_stop_hands_programs_over_without_a_pause():
    history = histories.History(5, script=SLOW, programs=4)
    handed_over = []

    def stop():
        history.fleet.timers.sleep(0.9)
        address = _owner_of(history, history.callers[0])
        sidecar = history.fleet.sidecars[address]
        sidecar.drain()
        handed_over.append(not sidecar.shards.held())
        history.fleet.timers.sleep(5.0)
        sidecar.stop()
        history.fleet.kill(address)
        history.fleet.restart(address)

    history.fleet.start()
    history.fleet.timers.after(0.0, stop)
    assert history.fleet.timers.run(lambda: history._run((), 20.0)) == []
    assert handed_over == [True]
    assert history.recorder.refused == []
    slowest = max(c.ended - c.started for c in history.recorder.calls)
    usual = 40 * 0.01 * 1.2
    assert slowest < usual + 0.5


def test_children_never_use_more_than_the_budget_of_their_parent():
    script = callers.Script(
        turns=4, budget_tokens=60, budget_calls=12, duplicate=0.3
    )
    history = histories.History(11, script=script, programs=4)
    parent, *children = history.callers
    drawn = (
        faults.Fault("kill", 0, 0, 0.2, 1.0),
        faults.Fault("kill", 1, 0, 0.9, 1.0),
    )

    def run_child(caller):
        caller.create(parent=str(parent.program))
        for number in range(script.turns):
            caller.call(number)
        caller.end()

    def record_refusals(work, *args):
        try:
            work(*args)
        except (errors.Refused, callers.NoResponse) as exc:
            history.recorder.refused.append(exc)

    def main():
        injector = faults.Injector(history.fleet, drawn)
        faults_task = gevent.spawn(injector.run)
        parent.create()
        tasks = [gevent.spawn(record_refusals, run_child, c) for c in children]
        tasks.append(gevent.spawn(record_refusals, parent.call, 0))
        gevent.joinall([faults_task, *tasks], raise_error=True)
        injector.restore()
        history.fleet.timers.sleep(10.0)
        for caller in history.callers:
            caller.show()

    history.fleet.start()
    history.fleet.timers.run(main)
    assert histories.check(history) == []
    assert sum(bool(c.answers) for c in history.recorder.calls) >= 6
    parent_row = history.recorder.final[str(parent.program)].program
    assert parent_row.tokens <= 60


def test_a_receipt_that_does_not_match_the_history_is_refused():
    script = callers.Script(turns=2, duplicate=0.0, end=False)
    history = histories.History(5, script=script, programs=1)
    caller = history.callers[0]
    history.fleet.start()
    history.fleet.timers.run(caller.run)
    signer = receipts.Receipts(local.SECRET)
    mismatched = receipts.Receipt(str(caller.program), 5, "0" * 64)
    caller.receipt = signer.sign(mismatched)
    runs = len(history.recorder.runs)
    with pytest.raises(errors.Refused) as refused:
        history.fleet.timers.run(caller.call, 2)
    assert refused.value.code is errors.Code.HISTORY_MISMATCH
    assert refused.value.ran is errors.Ran.NO
    assert len(history.recorder.runs) == runs


def test_a_call_is_stopped_when_the_wall_time_of_its_program_has_passed():
    script = callers.Script(
        turns=1, max_tokens=900, budget_seconds=2.0, duplicate=0.0
    )
    history = histories.History(5, script=script, programs=1)
    assert history.run() == []
    ((_, exc),) = history.recorder.refused
    assert exc.code is errors.Code.BUDGET_EXHAUSTED
    row = history.recorder.final[str(history.callers[0].program)].program
    assert row.tokens >= sum(run.tokens for run in history.recorder.runs)


def test_large_bodies_are_stored_as_objects_and_read_back_whole():
    script = callers.Script(turns=2, duplicate=0.0, end=False)
    history = histories.History(5, script=script, programs=2)

    def long_messages(caller, number):
        text = f"{caller.program} step {number} " + "x" * 100_000
        return (callers.target_ports.ChatMessage("user", text),)

    for caller in history.callers:
        caller.added = lambda number, c=caller: long_messages(c, number)
    assert history.run() == []
    assert 1 <= history.fleet.objects.puts <= 4
    rows = history.fleet.table.peek("turn/")
    assert len(rows) == 4
    assert max(len(row.value) for row in rows) < 2000


def test_calls_are_answered_in_time_after_the_loss_of_an_owner():
    history = histories.History(9, script=SLOW, programs=6)

    def kill_owner():
        history.fleet.timers.sleep(1.0)
        address = _owner_of(history, history.callers[0])
        history.fleet.kill(address)
        history.fleet.timers.sleep(6.0)
        history.fleet.restart(address)

    history.fleet.start()
    history.fleet.timers.after(0.0, kill_owner)
    assert history.fleet.timers.run(lambda: history._run((), 20.0)) == []
    assert history.recorder.refused == []
    assert max(c.ended - c.started for c in history.recorder.calls) < 5.0


def test_calls_are_forwarded_if_entry_hosts_cannot_reach_the_owner():
    history = histories.History(9, script=SLOW, programs=3)

    def cut_owner_off_from_entry_hosts():
        history.fleet.timers.sleep(0.5)
        owner = _owner_of(history, history.callers[0])
        for entry in list(history.fleet.entries):
            history.fleet.network.cut(entry, owner)

    history.fleet.start()
    history.fleet.timers.after(0.0, cut_owner_off_from_entry_hosts)
    assert history.fleet.timers.run(lambda: history._run((), 20.0)) == []
    assert history.recorder.refused == []
    assert max(c.ended - c.started for c in history.recorder.calls) < 5.0


def test_a_program_that_ended_is_shown_as_ended():
    history = histories.History(2, programs=1)
    assert history.run() == []
    view = history.recorder.final[str(history.callers[0].program)]
    assert isinstance(view, messages.ProgramView)
    assert view.program.status.value == "ended"


def test_memory_of_an_earlier_ownership_does_not_hide_that_a_program_ended():
    # With seed 5177 the program ends at another owner while its first owner is
    # frozen. The first owner, whose memory has it as active, then gets the
    # shard back by a handover.
    script = callers.Script(turns=6, budget_tokens=30, duplicate=0.3)
    drawn = (
        faults.Fault("freeze", 2, 0, 0.4130173027145192, 4.757000974934299),
        faults.Fault("lost_replies", 3, 0, 0.12073439861480884, 1.83),
    )
    assert histories.History(5177, script=script).run(drawn) == []
