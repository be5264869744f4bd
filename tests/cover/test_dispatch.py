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

OPERATIONS = st.lists(
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


def make(engine, host):
    queue = queue_lib.Queue(host.timers, slots=4, limit=10)
    made = dispatch.Dispatcher(
        engine, queue, host.timers, metrics_lib.Metrics(), host.peers
    )
    made.register(host.inbox, lambda: None)
    return made


class Scripted:
    """An engine that says what it is told to say."""

    def __init__(self, events):
        self.events = events

    def generate(self, req):
        for event in self.events:
            if isinstance(event, Exception):
                raise event
            yield event


def true_events(sizes):
    events = []
    done = 0
    for size in sizes:
        events.append(ports.Token("r1", done, f"<{done}>", size))
        done += size
    events.append(ports.Finished("r1", 100, 0, done, "stop"))
    return events


def mangle(events, operations):
    events = list(events)
    for name, where in operations:
        at = where % max(1, len(events))
        if not events:
            break
        match name:
            case "drop":
                events.pop(at)
            case "repeat":
                events.insert(where % (len(events) + 1), events[at])
            case "swap":
                other = (at + 1) % len(events)
                events[at], events[other] = events[other], events[at]
            case "foreign":
                other = ports.Token("r2", at, "other's", 1)
                if where % 2:
                    other = ports.Finished("r2", 1, 0, at, "stop")
                events.insert(at, other)
            case "cut":
                del events[at:]
            case "count":
                events.insert(at, ports.Finished("r1", 1, 0, at, "stop"))
            case "raise":
                failure = errors.TargetFailed("e", "broke", sent=True)
                events.insert(at, failure)
    return events


@hypothesis.given(st.lists(st.integers(1, 3), max_size=6), OPERATIONS)
def test_an_answer_is_passed_on_whole_or_not_as_whole(sizes, operations):
    true = true_events(sizes)
    timers = clock.VirtualTimers()
    host = network_lib.Network(timers).add("one:1")
    dispatcher = make(Scripted(mangle(true, operations)), host)
    seen = []
    whole = True
    try:
        seen.extend(dispatcher.generate(generate(request())))
    except errors.Refused as exc:
        whole = False
        assert exc.ran is errors.Ran.UNKNOWN
    assert all(event.request_id == "r1" for event in seen)
    tokens = [event for event in seen if isinstance(event, ports.Token)]
    assert tokens == true[: len(tokens)]
    finished = [event for event in seen if isinstance(event, ports.Finished)]
    assert len(finished) == whole
    if whole and tokens == true[:-1]:
        assert seen[-1] is finished[0]
    # The engine's own count is the only witness of the length: an answer
    # that ends early with a matching count can't be told from a short one.
    if whole:
        assert finished[0].completion_tokens == sum(t.count for t in tokens)
    assert dispatcher.queue.running == 0


def test_a_prefix_moves_with_its_program():
    timers = clock.VirtualTimers()
    network = network_lib.Network(timers)
    made = []
    engines = []
    for name in ("one:1", "two:1"):
        host = network.add(name)
        engine = engine_lib.MemoryEngine(host.timers, name, ["m"])
        engines.append(engine)
        made.append(make(engine, host))

    def script():
        list(made[0].generate(generate(request("r1", size=8000))))
        second = request("r2", size=9000)
        moved = work_lib.Generate(generate(second).work, second, "one:1")
        *_, finished = made[1].generate(moved)
        assert finished.cached_tokens > 1900
        assert [p.session for p in engines[0].held()] == []
        third = request("r3", session="lost", size=9000)
        absent = work_lib.Generate(generate(third).work, third, "gone:1")
        *_, finished = made[1].generate(absent)
        assert finished.cached_tokens == 0

    timers.run(script)


def test_a_hang_up_before_the_first_token_reaches_the_engine():
    timers = timers_lib.SystemTimers()
    profile = engine_lib.EngineProfile(batch=1, token_seconds=0.5)
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
        while engine.busy < 3 and timers.now() < deadline:
            timers.sleep(0.01)
        assert engine.busy == 3
        gevent.killall(tasks)
        while engine.busy and timers.now() < deadline:
            timers.sleep(0.01)
        assert engine.busy == 0
        assert engine.generated_tokens == 0
    finally:
        server.kill()


def test_a_paused_sidecar_does_not_dispatch_expired_work():
    timers = clock.VirtualTimers()
    network = network_lib.Network(timers)
    host = network.add("one:1")
    engine = engine_lib.MemoryEngine(host.timers, "e", ["m"])
    dispatcher = make(engine, host)

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
        with pytest.raises(errors.Refused) as info:
            late.get()
        assert info.value.code is errors.Code.DEADLINE_EXCEEDED
        assert info.value.ran is errors.Ran.NO

    timers.run(script)
