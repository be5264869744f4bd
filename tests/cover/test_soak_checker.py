"""What the soak's checker finds, and that it finds nothing else."""

import dataclasses

import pytest

from soak import checker
from soak import plan
from soak import records

COUNT = 6


def _stream(*, is_resumable=True, **fields):
    return records.Stream(
        **{
            "name": "caller-1/1",
            "route": "transfer-drafting",
            "is_resumable": is_resumable,
            "is_kept": not is_resumable,
            "program": "p1",
            "text": "asks",
            "body": "asks",
            "event_count": COUNT,
            **fields,
        }
    )


def _events(stream, attempt, ids, *, version="v1", target="i-1", born=1):
    return [
        records.Event(
            id,
            records.Origin(
                id=id,
                event_count=stream.event_count,
                digest=records.digest(stream.program, stream.body),
                version=version,
                target=target,
                born=born,
                attempt=attempt,
            ).encode(),
            float(id),
        )
        for id in ids
    ]


def _part(stream, attempt, ids, *, end=records.End.COMPLETE, **origin):
    """Adds a part with these events to a stream."""
    last = stream.events[-1].id if stream.events else None
    part = records.Part(
        attempt=attempt,
        host="edge-luz-a-1",
        at=0.0,
        last_event=last,
        status=200,
        events=_events(stream, attempt, ids, **origin),
        end=end,
    )
    stream.parts.append(part)
    return part


def _run(stream, attempt, *, last_event=None, sent=COUNT, **fields):
    return records.Run(
        **{
            "target": "i-1",
            "version": "v1",
            "born": 1,
            "attempt": attempt,
            "at": 0.0,
            "last_event": last_event,
            "body": stream.body,
            "framing": "chunks",
            "sent": sent,
            "end": "done",
            **fields,
        }
    )


def _whole(**fields):
    stream = _stream(**fields)
    _part(stream, "a1", range(1, COUNT + 1))
    return stream


def _kinds(stream, *runs):
    return [found.kind for found in checker.check([stream], runs)]


# A checker that finds too much would hide the faults among false ones.
def test_a_whole_stream_is_no_violation():
    for is_resumable in (True, False):
        stream = _whole(is_resumable=is_resumable)
        assert _kinds(stream, _run(stream, "a1")) == []


# Callers resume at any host and target, which is no fault by itself.
def test_a_stream_that_is_resumed_at_its_version_is_no_violation():
    stream = _stream()
    _part(stream, "a1", (1, 2, 3), end=records.End.BROKEN)
    _part(stream, "a2", (4,), end=records.End.LEFT, target="i-2")
    _part(stream, "a3", (5, 6), target="i-1", born=2)
    runs = [
        _run(stream, "a1", sent=4, end=""),
        _run(stream, "a2", last_event=3, sent=5, at=1.0),
        _run(stream, "a3", last_event=4, at=2.0),
    ]
    assert _kinds(stream, *runs) == []


# The last event may arrive before the end of its response is lost.
def test_a_stream_may_be_resumed_after_its_last_event():
    stream = _stream()
    _part(stream, "a1", range(1, COUNT + 1), end=records.End.BROKEN)
    _part(stream, "a2", ())
    runs = [_run(stream, "a1"), _run(stream, "a2", last_event=COUNT, at=1.0)]
    assert _kinds(stream, *runs) == []


# A stream may lack its end as long as it does not look complete.
def test_a_stream_that_is_broken_off_is_no_violation():
    stream = _stream(is_resumable=False)
    part = _part(stream, "a1", (1, 2, 3), end=records.End.BROKEN)
    part.rest = 7
    assert _kinds(stream, _run(stream, "a1", sent=5, end="")) == []


# Hosts resume streams themselves, within one response.
def test_a_host_may_go_on_at_a_second_target_where_streams_can_be_resumed():
    stream = _stream()
    part = _part(stream, "a1", (1, 2, 3))
    part.events += _events(stream, "a1", (4, 5, 6), target="i-2")
    runs = [
        _run(stream, "a1", sent=4, end=""),
        _run(stream, "a1", target="i-2", last_event=3, at=1.0),
    ]
    assert _kinds(stream, *runs) == []


# An event of the stream lost, repeated or swapped.
@pytest.mark.parametrize(
    ("ids", "kind"),
    [
        ((1, 2, 4, 5, 6), "missing"),
        ((2, 3, 4, 5, 6), "missing"),
        ((1, 2, 2, 3, 4, 5, 6), "repeated"),
        ((1, 2, 3, 4, 6, 5), "missing"),
        ((1, 2, 3, 4, 5, 6, 7), "surplus"),
        ((0, 1, 2, 3, 4, 5, 6), "repeated"),
    ],
)
def test_ids_are_whole_and_in_order(ids, kind):
    stream = _stream()
    _part(stream, "a1", ids)
    assert kind in _kinds(stream, _run(stream, "a1"))


# An event that both parts of a stream have.
def test_an_event_that_the_caller_has_does_not_come_again_after_resuming():
    stream = _stream()
    _part(stream, "a1", (1, 2, 3), end=records.End.BROKEN)
    _part(stream, "a2", (3, 4, 5, 6))
    runs = [_run(stream, "a1", end=""), _run(stream, "a2", last_event=3)]
    assert _kinds(stream, *runs) == ["repeated"]


# The close of a killed target taken for the end of its response.
@pytest.mark.parametrize("last", [0, 1, COUNT - 1])
def test_a_stream_is_complete_only_after_its_last_event(last):
    stream = _stream()
    _part(stream, "a1", range(1, last + 1))
    assert _kinds(stream, _run(stream, "a1", sent=last)) == ["early end"]


# The same in the second part of a stream.
def test_a_resumed_stream_is_complete_only_after_its_last_event():
    stream = _stream()
    _part(stream, "a1", (1, 2), end=records.End.BROKEN)
    _part(stream, "a2", (3, 4))
    assert _kinds(stream) == ["early end"]


# The close within an event taken for the end of the response.
def test_bytes_of_an_event_at_the_end_of_a_complete_stream_are_found():
    stream = _whole()
    stream.parts[0].rest = 3
    assert _kinds(stream, _run(stream, "a1")) == ["cut event"]


# A stream that its caller resumes at another version.
def test_parts_of_two_versions_are_found():
    stream = _stream()
    _part(stream, "a1", (1, 2, 3), end=records.End.BROKEN)
    _part(stream, "a2", (4, 5, 6), version="v2")
    assert _kinds(stream) == ["versions"]


# A stream that a host resumes at another version.
def test_events_of_two_versions_in_one_response_are_found():
    stream = _stream()
    part = _part(stream, "a1", (1, 2, 3))
    part.events += _events(stream, "a1", (4, 5, 6), version="v2")
    assert _kinds(stream) == ["versions"]


# Events of another request on the connection.
@pytest.mark.parametrize(
    "change",
    [
        {"attempt": "a2"},
        {"digest": "0" * records.DIGEST_DIGITS},
        {"id": 5},
        {"event_count": COUNT + 1},
    ],
)
def test_data_made_for_another_request_is_found(change):
    stream = _whole()
    event = stream.parts[0].events[3]
    origin = dataclasses.replace(records.decode_origin(event.data), **change)
    event.data = origin.encode()
    assert _kinds(stream, _run(stream, "a1")) == ["foreign"]


# Data that no target wrote so.
@pytest.mark.parametrize("data", ["", "4/6 d v1", "x/6 d v1 i-1 1 a1"])
def test_data_of_no_target_is_found(data):
    stream = _whole()
    stream.parts[0].events[3].data = data
    assert _kinds(stream, _run(stream, "a1")) == ["foreign"]


# A kept turn that went on at another target, or after a restart.
@pytest.mark.parametrize(
    "other", [{"target": "i-2"}, {"born": 2}], ids=["target", "restart"]
)
def test_two_runs_are_not_joined_where_streams_cannot_be_resumed(other):
    stream = _stream(is_resumable=False)
    part = _part(stream, "a1", (1, 2, 3))
    part.events += _events(stream, "a1", (4, 5, 6), **other)
    assert _kinds(stream) == ["joined"]


# A kept turn sent again although it may have run.
def test_a_second_run_of_a_stream_that_cannot_be_resumed_is_found():
    stream = _whole(is_resumable=False)
    runs = [_run(stream, "a1"), _run(stream, "a1", target="i-2", at=1.0)]
    assert _kinds(stream, *runs) == ["second run"]


# A resumed stream that was begun anew, or after another event.
@pytest.mark.parametrize("asked", [None, 0, 2, 6])
def test_a_target_goes_on_after_the_last_event_of_the_caller(asked):
    stream = _stream()
    _part(stream, "a1", (1, 2, 3), end=records.End.BROKEN)
    _part(stream, "a2", (4, 5, 6))
    runs = [
        _run(stream, "a1", sent=3, end=""),
        _run(stream, "a2", last_event=asked, at=1.0),
    ]
    assert _kinds(stream, *runs) == ["last event"]


# A host that counts events which its caller does not have.
def test_a_second_target_does_not_go_on_after_events_that_were_never_made():
    stream = _whole()
    runs = [
        _run(stream, "a1", sent=3, end=""),
        _run(stream, "a1", target="i-2", last_event=4, at=1.0),
    ]
    assert _kinds(stream, *runs) == ["last event"]


# A body that was cut or changed on its way.
def test_a_target_gets_the_request_of_the_caller():
    stream = _whole()
    assert _kinds(stream, _run(stream, "a1", body="ask")) == ["body"]


# A turn continued from one that was cut off, or stored twice.
@pytest.mark.parametrize("said", ["", "twice", "cut", "surplus"])
def test_a_target_gets_the_data_of_earlier_turns_whole_and_once(said):
    first = _whole(is_resumable=False)
    lines = [f"{event.data}\n" for event in first.events]
    right = f"asks{''.join(lines)}more"
    assert records.chain(first, "more") == right
    second = _whole(is_resumable=False, previous="a1", text="more", body=right)
    assert _kinds(second, _run(second, "a1")) == []
    wrong = {
        "": "",
        "twice": "".join(lines) * 2,
        "cut": "".join(lines[:-1]),
        "surplus": "".join([*lines, lines[-1]]),
    }
    run = _run(second, "a1", body=f"asks{wrong[said]}more")
    assert _kinds(second, run) == ["chain"]


# The expected body lacked the turns before the last one.
def test_a_chain_holds_all_turns_from_the_oldest():
    first = _whole(is_resumable=False)
    second = _whole(
        is_resumable=False, body=records.chain(first, "more"), previous="a1"
    )
    body = records.chain(second, "last")
    said = [
        "".join(f"{event.data}\n" for event in turn.events)
        for turn in (first, second)
    ]
    assert body == f"asks{said[0]}more{said[1]}last"


# Data that the checker reads in another way than targets write it.
def test_the_origin_of_an_event_survives_its_encoding():
    origin = records.Origin(3, 9, "d", "v2", "i-1", 17, "a1")
    assert records.decode_origin(origin.encode()) == origin


# A killed target writes no line at the end of its runs.
def test_runs_are_read_from_the_record_of_a_killed_target():
    common = {"target": "i-1", "version": "v1", "born": 1, "attempt": "a1"}
    begun = {"event": "begun", "last_event": 2, "body": "asks", "at": 1.0}
    lines = [
        {**common, **begun, "framing": "close"},
        {**common, "event": "event", "id": 3, "at": 1.1},
        {**common, "event": "event", "id": 4, "at": 1.2},
    ]
    [run] = records.decode_runs(lines)
    assert (run.last_event, run.sent, run.end) == (2, 4, "")


# A run of the same attempt at the same target replaced the first one.
def test_two_runs_of_an_attempt_at_one_target_are_both_read():
    common = {"target": "i-1", "version": "v1", "born": 1, "attempt": "a1"}
    begun = {"event": "begun", "last_event": None, "body": "asks", "at": 1.0}
    lines = [{**common, **begun, "framing": "close"}] * 2
    assert len(records.decode_runs(lines)) == 2


# A seed that fails is played again.
def test_a_seed_gives_the_same_plan():
    first, second = (plan.draw("bgw/7", 30.0, plan.KINDS) for _ in range(2))
    assert first == second
    assert first != plan.draw("bgw/8", 30.0, plan.KINDS)


# Regression seeds name their series, which later ones must not change.
def test_plans_draw_only_from_the_series_they_are_given():
    faults = plan.draw("bgw/7", 30.0, frozenset(("releases",)))
    assert faults
    assert all(isinstance(fault, plan.Release) for _, fault in faults)


# A kind of fault that is never drawn.
def test_plans_of_many_seeds_have_all_kinds_of_faults():
    faults = [
        type(fault)
        for seed in range(20)
        for _, fault in plan.draw(f"bgw/{seed}", 30.0, plan.KINDS)
    ]
    assert len(set(faults)) == len(plan.Fault.__args__)
