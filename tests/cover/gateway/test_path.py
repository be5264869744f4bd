"""The path of a request, on loopback sockets."""

import gevent
from gevent import socket
import pytest

from endivepier.gateway import model
from endivepier.gateway import process
from tests.common import gateway_fleet
from tests.common import gateway_parts

WHOLE = b"".join(gateway_fleet.EVENTS)
STREAM = gateway_parts.route()
KEPT = gateway_parts.route(retained=True, resumable=False)
READ = gateway_parts.route(kind=model.RouteKind.IDEMPOTENT, resumable=False)
POST = gateway_parts.route(kind=model.RouteKind.NON_IDEMPOTENT, resumable=False)


@pytest.fixture
def start():
    fleets = []

    def make(*args, **options):
        fleets.append(gateway_fleet.Fleet(*args, **options))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.stop()


def behave(fleet, first, others=None):
    """Has the target that is asked first behave in one way, others not."""
    asked = []

    def choose(target):
        default = target.behave

        def act(seen, responder):
            asked.append(target.name)
            name = first if len(asked) == 1 else others
            action = default if name is None else getattr(target, name)
            action(seen, responder)

        return act

    for target in fleet.targets:
        target.behave = choose(target)
    return asked


def test_a_stream_is_handed_on_unchanged(start):
    fleet = start([STREAM])
    answer = fleet.ask()
    assert (answer.status, answer.whole, answer.body) == (200, True, WHOLE)
    assert b"server-seal: s" in answer.head


def test_events_leave_before_the_stream_ends(start):
    fleet = start([STREAM])
    for target in fleet.targets:
        target.behave = lambda seen, res, t=target: t.stream(
            seen, res, pause=0.2
        )
    sock = fleet.connect()
    fleet.send(sock)
    with gevent.Timeout(0.5):
        data = b""
        while b"word1" not in data:
            data += sock.recv(65536)
    assert b"word5" not in data


def test_a_resumable_stream_goes_on_at_another_target(start):
    fleet = start([STREAM])
    behave(fleet, "cut")
    answer = fleet.ask()
    assert (answer.whole, answer.body) == (True, WHOLE)
    assert len(fleet.seen()) == 2


def test_a_stream_that_is_not_resumable_is_never_completed(start):
    fleet = start([gateway_parts.route(resumable=False)])
    behave(fleet, "cut")
    answer = fleet.ask()
    assert not answer.whole
    assert answer.body == WHOLE[: len(answer.body)]
    assert len(fleet.seen()) == 1


def test_a_silent_target_is_given_up_for_another(start):
    fleet = start([READ])
    asked = behave(fleet, "silent", "plain")
    with gevent.Timeout(2):
        assert fleet.ask().status == 200
    assert len(set(asked)) == 2


def test_a_request_that_may_not_be_repeated_is_sent_once(start):
    fleet = start([POST])
    behave(fleet, "cut", "plain")
    answer = fleet.ask()
    assert answer.status == 502
    assert len(fleet.seen()) == 1


def test_a_rejection_is_taken_to_another_target(start):
    fleet = start([POST])
    behave(fleet, "full", "plain")
    assert fleet.ask().status == 200


def test_a_refusal_after_rejections_is_true_and_says_when_to_return(start):
    fleet = start([POST])
    behave(fleet, "full", "full")
    answer = fleet.ask()
    assert answer.status == 503
    assert b"retry-after: 0." in answer.head


def test_an_answer_to_another_call_is_never_handed_on(start):
    fleet = start([READ], targets=1)
    behave(fleet, "foreign", "plain")
    answer = fleet.ask(Deadline_Ms=500)
    assert answer.status in (502, 504)
    assert b"not yours" not in answer.body


def test_no_more_targets_are_asked_than_the_route_allows(start):
    fleet = start([READ], targets=4)
    behave(fleet, "full", "full")
    assert fleet.ask().status == 503
    assert len(fleet.seen()) == READ.most_targets


def test_a_client_that_leaves_ends_the_work_at_the_target(start):
    fleet = start([STREAM])
    behave(fleet, "silent", "silent")
    sock = fleet.connect()
    fleet.send(sock)
    with gevent.Timeout(5):
        while not fleet.seen():
            gevent.sleep(0.01)
        sock.close()
        gevent.sleep(0.4)
        assert fleet.seen()[0].cancelled


def test_a_turn_continues_the_chain_that_it_names(start):
    fleet = start([KEPT], targets=1)
    assert fleet.ask("one", body=b"first.").whole
    assert fleet.ask("two", body=b"second.", Previous_Turn="one").whole
    assert fleet.ask("three", body=b"third.", Previous_Turn="two").whole
    words = b"word1\nword2\nword3\nword4\nword5\n"
    assert fleet.seen()[2].body == (
        b"first." + words + b"second." + words + b"third."
    )


def test_a_turn_that_does_not_exist_is_told_so(start):
    fleet = start([KEPT])
    assert fleet.ask("two", Previous_Turn="none").status == 404
    assert not fleet.seen()


def test_a_turn_is_not_whole_before_it_is_durable(start):
    fleet = start([KEPT])
    fleet.table.faults.lost_requests = 1.0
    answer = fleet.ask("one")
    assert answer.body == WHOLE
    assert not answer.whole


def test_a_program_is_stopped_when_its_budget_is_spent(start):
    fleet = start([STREAM])
    headers = {
        "Program_Id": "p",
        "Token_Budget": 40,
        "Token_Count": "100,20",
    }
    outcomes = [fleet.ask(f"c{n}", **headers).status for n in range(4)]
    assert outcomes == [200, 200, 402, 402]


def test_keys_decide_who_asks(start):
    accounts = [gateway_parts.account()]
    fleet = start([STREAM], accounts)
    gevent.sleep(0.5)
    assert fleet.ask(Authorization="Bearer wrong").status == 401
    assert fleet.ask().status == 401
    assert fleet.ask(Authorization="Bearer key-1").status == 200
    assert (b"Tenant", b"acme") in fleet.seen()[0].headers


def test_a_path_without_a_route_is_not_found(start):
    fleet = start([STREAM])
    assert fleet.ask(path="/b/1").status == 404


def test_a_process_that_is_told_to_stop_cuts_off_nothing(start):
    fleet = start([STREAM])
    for target in fleet.targets:
        target.behave = lambda seen, res, t=target: t.stream(
            seen, res, pause=0.1
        )
    running = gevent.spawn(fleet.ask, "slow")
    gevent.sleep(0.1)
    drain = gevent.spawn(fleet.gateway.drain)
    gevent.sleep(0.1)
    assert not fleet.gateway.is_ready()
    late = fleet.ask("late")
    assert late.whole and b"connection: close" in late.head
    assert running.get(timeout=5).whole
    drain.join(timeout=5)


def test_a_client_that_leaves_is_no_fault_of_the_target(start):
    # The hang-up was taken for a failure of the target, which was then
    # avoided, and answered 502 to nobody.
    fleet = start([STREAM], targets=1)
    behave(fleet, "silent", "stream")
    sock = fleet.connect()
    fleet.send(sock)
    with gevent.Timeout(5):
        while not fleet.seen():
            gevent.sleep(0.01)
        sock.close()
        gevent.sleep(0.2)
    target = fleet.gateway.catalog.targets("s")[0]
    load = fleet.gateway.placement.load(target)
    assert (
        load.consecutive_failures,
        load.running,
        load.awaiting_first_event,
    ) == (0, 0, {})
    assert fleet.ask("c2").whole


def test_a_fault_of_our_own_is_told_in_the_logs(start, monkeypatch):
    # The request's line said "answered".
    fleet = start([STREAM])
    lines = []
    monkeypatch.setattr(
        "endivepier.gateway.handler.eliot.log_message",
        lambda kind, **fields: lines.append((kind, fields)),
    )

    def fail(passage):
        raise KeyError("lost")

    monkeypatch.setattr(fleet.gateway.handler._streams, "serve", fail)
    assert fleet.ask().status == 0
    outcomes = [fields["outcome"] for kind, fields in lines]
    assert outcomes == ["failed here"]


def test_counters_and_latencies_are_served(start):
    fleet = start([STREAM])
    assert fleet.ask().whole
    host, _, port = fleet.gateway.metrics_server.address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=5)
    sock.sendall(
        b"GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    )
    page = b""
    while piece := sock.recv(65536):
        page += piece
    assert b'endivepier_requests{outcome="answered",route="r"} 1' in page
    assert b"endivepier_request_seconds_bucket" in page


def test_a_process_that_leaves_takes_no_new_connection_to_the_end(
    start, monkeypatch
):
    # The balancer uses hosts that leave while under half of a data centre is
    # ready: one took requests until its grace was over and cut the last one
    # (LOST, bgw rolling-stop-in-a-burst, seed 116995950575).
    monkeypatch.setattr(process, "LEAVE_SECONDS", 0.1)
    fleet = start([STREAM])
    for target in fleet.targets:
        target.behave = lambda seen, res, t=target: t.stream(
            seen, res, pause=0.15
        )
    running = gevent.spawn(fleet.ask, "slow")
    gevent.sleep(0.05)
    drain = gevent.spawn(fleet.gateway.drain)
    gevent.sleep(0.3)
    with pytest.raises(ConnectionRefusedError):
        fleet.connect()
    assert running.get(timeout=5).whole
    drain.join(timeout=5)
