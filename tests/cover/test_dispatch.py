import gevent
import hypothesis
from hypothesis import strategies as st
import pytest

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.internal import web
from endivepier.scheduling import dispatch
from endivepier.scheduling import queue as queue_lib
from endivepier.scheduling import work as work_lib
from endivepier.standins import clock
from endivepier.standins import engine as engine_lib
from endivepier.standins import network as network_lib
from endivepier.standins import servers
from endivepier.targets import http_engine
from endivepier.targets import ports
from endivepier.telemetry import metrics as metrics_lib
from endivepier.telemetry import spans

CORRUPTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["drop", "repeat", "swap", "foreign", "cut", "count", "raise"]
        ),
        st.integers(0, 12),
    ),
    max_size=4,
)


def request(name="r1", session="s", size=400, max_tokens=8):
    message = ports.ChatMessage("user", "x" * size)
    return ports.Generate(name, session, "m", (message,), max_tokens)


def generate(req, seconds=60.0):
    work = work_lib.Work("a", 1.0, req.session, 0.0, 10.0, 1.0, seconds)
    return work_lib.Generate(work, req)


def make_dispatcher(engine, host):
    queue = queue_lib.Queue(host.timers, slots=4, limit=10)
    dispatcher = dispatch.Dispatcher(
        engine, queue, host.timers, metrics_lib.Metrics(), host.peers
    )
    dispatcher.register(host.inbox, lambda: None)
    return dispatcher


class ScriptedEngine:
    """An engine that yields the given events and raises the given errors."""

    def __init__(self, events):
        self.events = events

    def generate(self, req):
        for event in self.events:
            if isinstance(event, Exception):
                raise event
            yield event


def complete_events(sizes):
    events = []
    done = 0
    for size in sizes:
        events.append(ports.Token("r1", done, f"<{done}>", size))
        done += size
    events.append(ports.Finished("r1", 100, 0, done, "stop"))
    return events


def corrupt(events, corruptions):
    events = list(events)
    for name, position in corruptions:
        index = position % max(1, len(events))
        if not events:
            break
        match name:
            case "drop":
                events.pop(index)
            case "repeat":
                events.insert(position % (len(events) + 1), events[index])
            case "swap":
                other = (index + 1) % len(events)
                events[index], events[other] = events[other], events[index]
            case "foreign":
                other = ports.Token("r2", index, "other's", 1)
                if position % 2:
                    other = ports.Finished("r2", 1, 0, index, "stop")
                events.insert(index, other)
            case "cut":
                del events[index:]
            case "count":
                events.insert(index, ports.Finished("r1", 1, 0, index, "stop"))
            case "raise":
                failure = errors.TargetFailed("e", "broke", sent=True)
                events.insert(index, failure)
    return events


@hypothesis.given(st.lists(st.integers(1, 3), max_size=6), CORRUPTIONS)
def test_an_incomplete_answer_never_ends_without_an_error(sizes, corruptions):
    expected = complete_events(sizes)
    timers = clock.VirtualTimers()
    host = network_lib.Network(timers).add("one:1")
    dispatcher = make_dispatcher(
        ScriptedEngine(corrupt(expected, corruptions)), host
    )
    received = []
    complete = True
    try:
        received.extend(dispatcher.generate(generate(request())))
    except errors.Refused as exc:
        complete = False
        assert exc.ran is errors.Ran.UNKNOWN
    assert all(event.request_id == "r1" for event in received)
    tokens = [event for event in received if isinstance(event, ports.Token)]
    assert tokens == expected[: len(tokens)]
    finished = [
        event for event in received if isinstance(event, ports.Finished)
    ]
    assert len(finished) == complete
    if complete and tokens == expected[:-1]:
        assert received[-1] is finished[0]
    # Only the engine's final count tells the length of an answer: one that
    # was cut, but has a matching count, looks like a complete short answer.
    if complete:
        assert finished[0].completion_tokens == sum(t.count for t in tokens)
    assert dispatcher.queue.running == 0


def test_a_prefix_moves_with_its_program():
    timers = clock.VirtualTimers()
    network = network_lib.Network(timers)
    dispatchers = []
    engines = []
    for name in ("one:1", "two:1"):
        host = network.add(name)
        engine = engine_lib.MemoryEngine(host.timers, name, ["m"])
        engines.append(engine)
        dispatchers.append(make_dispatcher(engine, host))

    def script():
        list(dispatchers[0].generate(generate(request("r1", size=8000))))
        second = request("r2", size=9000)
        moved = work_lib.Generate(generate(second).work, second, "one:1")
        *_, finished = dispatchers[1].generate(moved)
        assert finished.cached_tokens > 1900
        assert [p.session for p in engines[0].cached_prefixes()] == []
        third = request("r3", session="lost", size=9000)
        absent = work_lib.Generate(generate(third).work, third, "gone:1")
        *_, finished = dispatchers[1].generate(absent)
        assert finished.cached_tokens == 0

    timers.run(script)


def test_closing_a_call_before_its_first_token_cancels_it_at_the_engine():
    timers = timers_lib.SystemTimers()
    profile = engine_lib.EngineProfile(max_batch_size=1, token_seconds=0.5)
    engine = engine_lib.MemoryEngine(timers, "e", ["m"], profile)
    server = web.Server("127.0.0.1:0", servers.engine_app(engine))
    server.start()
    client = http_engine.HttpEngine(
        "e", f"http://{server.address}", spans.Tracer("test")
    )
    try:
        tasks = [
            gevent.spawn(list, client.generate(request(f"r{n}")))
            for n in range(3)
        ]
        deadline = timers.now() + 5.0
        while engine.active_requests < 3 and timers.now() < deadline:
            timers.sleep(0.01)
        assert engine.active_requests == 3
        gevent.killall(tasks)
        while engine.active_requests and timers.now() < deadline:
            timers.sleep(0.01)
        assert engine.active_requests == 0
        assert engine.generated_tokens == 0
    finally:
        server.kill()


def test_a_paused_sidecar_does_not_dispatch_expired_work():
    timers = clock.VirtualTimers()
    network = network_lib.Network(timers)
    host = network.add("one:1")
    engine = engine_lib.MemoryEngine(host.timers, "e", ["m"])
    dispatcher = make_dispatcher(engine, host)

    def script():
        busy = [
            gevent.spawn(list, dispatcher.generate(generate(request(f"b{n}"))))
            for n in range(4)
        ]
        timers.sleep(0.02)
        late = gevent.spawn(
            list, dispatcher.generate(generate(request("late"), seconds=1.0))
        )
        timers.sleep(0.01)
        host.freeze()
        timers.sleep(5.0)
        host.thaw()
        gevent.joinall([*busy, late])
        with pytest.raises(errors.Refused) as refusal:
            late.get()
        assert refusal.value.code is errors.Code.DEADLINE_EXCEEDED
        assert refusal.value.ran is errors.Ran.NO

    timers.run(script)


# The time of a probe was divided by its number of tokens.
def test_an_engine_may_answer_a_probe_without_a_token():
    timers = clock.VirtualTimers()
    host = network_lib.Network(timers).add("one:1")
    name = f"{dispatch.PROBE_SESSION}-1"
    engine = ScriptedEngine([ports.Finished(name, 5, 0, 0, "stop")])
    engine.models = lambda: ["m"]
    engine.release = lambda session: None
    dispatcher = make_dispatcher(engine, host)
    (finished,) = timers.run(lambda: list(dispatcher.probe()))
    assert finished.completion_tokens == 0
