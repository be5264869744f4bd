"""The client of the platform's store, against a small stand-in of it."""

import json
import urllib.parse

import gevent
import pytest

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.http1 import messages
from endivepier.http1 import server as server_lib
from endivepier.storage import ports
from endivepier_platform import store as store_lib


class StoreStandin:
    """Answers as it is told, and keeps what it was asked."""

    def __init__(self):
        self.asked = []
        self.answers = []
        self.server = server_lib.Server(
            "127.0.0.1:0",
            self.handle,
            timers_lib.SystemTimers(),
            messages.ClientLimits,
        )
        self.server.start()

    def handle(self, req, responder):
        path, _, query = req.target.decode().partition("?")
        self.asked.append((path, dict(urllib.parse.parse_qsl(query)), req.body))
        status, document = self.answers.pop(0)
        if status is None:
            gevent.sleep(5)
            return
        responder.send(status, [], json.dumps(document).encode())


@pytest.fixture
def standin():
    found = StoreStandin()
    yield found
    found.server.stop()


@pytest.fixture
def store(standin):
    return store_lib.PlatformStore(
        standin.server.address, timers_lib.SystemTimers()
    )


ROW = {"table": "t", "part": "p", "key": "k", "value": "eA==", "ver": 5}


def test_a_row_is_read_by_its_key(standin, store):
    standin.answers = [(200, {"rows": [ROW], "ver": 9, "more_pages": False})]
    assert store.get("t/p/k") == ports.Row("t/p/k", b"x", 5)
    path, query, _ = standin.asked[0]
    assert path == "/endivepier/rows-get"
    assert (query["table"], query["part"], query["from"]) == ("t", "p", "k")
    assert query["to"] == "k\0"


def test_a_transaction_names_its_conditions_and_writes(standin, store):
    standin.answers = [(200, {"ver": 12, "now_ms": 1})]
    txn = ports.Transaction(
        (ports.Absent("t/p/a"), ports.VersionIs("t/p/b", 3)),
        (ports.Put("t/p/a", b"x"), ports.Delete("t/p/b")),
    )
    assert store.transact(txn) == 12
    document = json.loads(standin.asked[0][2])
    assert [each["ver"] for each in document["expect"]] == [0, 3]
    assert document["puts"][0]["value"] == "eA=="
    assert document["remove"] == [{"table": "t", "part": "p", "key": "b"}]


def test_a_condition_that_fails_names_its_row(standin, store):
    standin.answers = [(412, {"rows": [{**ROW, "key": "b"}], "ver": 9})]
    txn = ports.Transaction(
        (ports.Absent("t/p/a"), ports.VersionIs("t/p/b", 3)), ()
    )
    with pytest.raises(errors.ConditionFailed) as caught:
        store.transact(txn)
    assert caught.value.key == "t/p/b"


@pytest.mark.parametrize("status", [503, 429])
def test_a_refused_call_certainly_did_nothing(standin, store, status):
    standin.answers = [(status, {}), (status, {})]
    with pytest.raises(errors.Unavailable):
        store.transact(ports.Transaction((), ()))
    with pytest.raises(errors.Unavailable):
        store.get("t/p/k")


def test_a_call_without_an_answer_may_have_been_made(
    standin, store, monkeypatch
):
    monkeypatch.setattr(store_lib, "CALL_SECONDS", 0.1)
    standin.answers = [(None, {})]
    with pytest.raises(errors.OutcomeUnknown):
        store.transact(ports.Transaction((), ()))


def test_history_that_is_gone_is_told(standin, store):
    standin.answers = [(410, {})]
    with pytest.raises(errors.HistoryLost):
        store.changes("t", 3, 0.1)


def test_changes_tell_rows_that_are_gone_and_bytes_that_are_none(
    standin, store
):
    gone = {"table": "t", "part": "", "key": "g", "deleted": True, "ver": 7}
    bad = {**ROW, "value": "%%"}
    standin.answers = [(200, {"rows": [gone, bad, ROW], "ver": 9})]
    found = store.changes("t", 3, 0.1)
    assert found.removed == ("t//g",)
    assert [row.value for row in found.rows] == [b"", b"x"]
    assert found.version == 9


def test_a_table_is_read_page_by_page(standin, store):
    second = {**ROW, "key": "m"}
    standin.answers = [
        (200, {"rows": [ROW], "ver": 9, "more_pages": True}),
        (200, {"rows": [second], "ver": 11, "more_pages": False}),
    ]
    found = store.snapshot("t")
    assert [row.key for row in found.rows] == ["t/p/k", "t/p/m"]
    assert found.version == 9
