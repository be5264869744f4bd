"""Client of the platform's store, run against a scripted HTTP server."""

import base64
import json
import urllib.parse

import gevent
import pytest

from endivepier import errors
from endivepier import timers as timers_lib
from endivepier.gateway.streams import turns
from endivepier.http1 import messages
from endivepier.http1 import server as server_lib
from endivepier.storage import ports
from endivepier_platform import store as store_lib
from tests.common import closing_server


class ScriptedStore:
    """Returns the given responses in order, and records the requests."""

    def __init__(self):
        self.requests = []
        self.responses = []
        self.server = server_lib.Server(
            "127.0.0.1:0",
            self.handle,
            timers_lib.SystemTimers(),
            messages.ClientLimits,
        )
        self.server.start()

    def handle(self, req, responder):
        path, _, query = req.target.decode().partition("?")
        self.requests.append(
            (path, dict(urllib.parse.parse_qsl(query)), req.body)
        )
        status, document = self.responses.pop(0)
        if status is None:
            gevent.sleep(5)
            return
        responder.send(status, [], json.dumps(document).encode())


@pytest.fixture
def scripted():
    scripted_store = ScriptedStore()
    yield scripted_store
    scripted_store.server.stop()


@pytest.fixture
def store(scripted):
    return store_lib.PlatformStore(
        scripted.server.address, timers_lib.SystemTimers()
    )


ROW = {"table": "t", "part": "p", "key": "k", "value": "eA==", "ver": 5}


def test_a_row_is_read_by_its_key(scripted, store):
    scripted.responses = [(200, {"rows": [ROW], "ver": 9, "more_pages": False})]
    assert store.get("t/p/k") == ports.Row("t/p/k", b"x", 5)
    path, query, _ = scripted.requests[0]
    assert path == "/endivepier/rows-get"
    assert (query["table"], query["part"], query["from"]) == ("t", "p", "k")
    assert query["to"] == "k\0"


def test_a_transaction_is_encoded_with_its_conditions_and_writes(
    scripted, store
):
    scripted.responses = [(200, {"ver": 12, "now_ms": 1})]
    txn = ports.Transaction(
        (ports.Absent("t/p/a"), ports.VersionIs("t/p/b", 3)),
        (ports.Put("t/p/a", b"x"), ports.Delete("t/p/b")),
    )
    assert store.transact(txn) == 12
    document = json.loads(scripted.requests[0][2])
    assert [item["ver"] for item in document["expect"]] == [0, 3]
    assert document["puts"][0]["value"] == "eA=="
    assert document["remove"] == [{"table": "t", "part": "p", "key": "b"}]


def test_a_failed_condition_is_reported_with_its_key(scripted, store):
    scripted.responses = [(412, {"rows": [{**ROW, "key": "b"}], "ver": 9})]
    txn = ports.Transaction(
        (ports.Absent("t/p/a"), ports.VersionIs("t/p/b", 3)), ()
    )
    with pytest.raises(errors.ConditionFailed) as caught:
        store.transact(txn)
    assert caught.value.key == "t/p/b"


@pytest.mark.parametrize("status", [503, 429])
def test_a_rejected_request_had_no_effect(scripted, store, status):
    scripted.responses = [(status, {}), (status, {})]
    with pytest.raises(errors.Unavailable):
        store.transact(ports.Transaction((), ()))
    with pytest.raises(errors.Unavailable):
        store.get("t/p/k")


def test_the_outcome_of_a_transaction_without_a_response_is_unknown(
    scripted, store, monkeypatch
):
    monkeypatch.setattr(store_lib, "CALL_TIMEOUT_SECONDS", 0.1)
    scripted.responses = [(None, {})]
    with pytest.raises(errors.OutcomeUnknown):
        store.transact(ports.Transaction((), ()))


def test_history_lost_is_raised_if_changes_are_no_longer_stored(
    scripted, store
):
    scripted.responses = [(410, {})]
    with pytest.raises(errors.HistoryLost):
        store.changes("t", 3, 0.1)


def test_changes_list_deleted_rows_and_replace_invalid_values(scripted, store):
    deleted = {"table": "t", "part": "", "key": "g", "deleted": True, "ver": 7}
    invalid = {**ROW, "value": "%%"}
    scripted.responses = [(200, {"rows": [deleted, invalid, ROW], "ver": 9})]
    changes = store.changes("t", 3, 0.1)
    assert changes.removed == ("t//g",)
    assert [row.value for row in changes.rows] == [b"", b"x"]
    assert changes.version == 9


def test_a_table_is_read_page_by_page(scripted, store):
    second = {**ROW, "key": "m"}
    scripted.responses = [
        (200, {"rows": [ROW], "ver": 9, "more_pages": True}),
        (200, {"rows": [second], "ver": 11, "more_pages": False}),
    ]
    snapshot = store.snapshot("t")
    assert [row.key for row in snapshot.rows] == ["t/p/k", "t/p/m"]
    assert snapshot.version == 9


def page_of_rows(rows, first, end, more):
    """Returns a page of the rows with the numbers from `first` to `end`."""
    table, part, prefix = rows.prefix.split("/", 2)
    entries = [
        {
            "table": table,
            "part": part,
            "key": f"{prefix}{number}",
            "value": base64.b64encode(rows.values[number]).decode(),
            "ver": 5,
        }
        for number in range(first, end)
    ]
    return 200, {"rows": entries, "ver": 9, "more_pages": more}


class StoredTurn:
    """The rows of a turn of account "a", in its first part."""

    def __init__(self, turn_id, history):
        turn = turns.Turn(turn_id, "a", history)
        self.prefix = turns._prefixes(turn_id)[0]
        self.values = turns._split(turn)


# A turn of over 1 MB, which is what a page of the store holds, could be read by
# no host: the client's connection was closed without a response.
def test_a_turn_longer_than_a_page_of_the_store_is_read_whole(scripted, store):
    history = b"x" * 6 * turns.PIECE_BYTES
    stored = StoredTurn("abc", history)
    scripted.responses = [
        page_of_rows(stored, 0, 4, more=True),
        page_of_rows(stored, 4, 6, more=False),
    ]
    turn_store = turns.TurnStore(store, timers_lib.SystemTimers())
    assert turn_store.find("abc", "a").history == history
    _, query, _ = scripted.requests[1]
    assert query["from"] == stored.prefix.split("/", 2)[2] + "3\0"


# A row that is missing raised a `KeyError`, which closed the connection.
def test_a_turn_with_a_missing_row_is_unavailable(scripted, store, monkeypatch):
    lines = []
    monkeypatch.setattr(
        turns.eliot,
        "log_message",
        lambda kind, **fields: lines.append((kind, fields)),
    )
    stored = StoredTurn("abc", b"x" * 6 * turns.PIECE_BYTES)
    scripted.responses = [page_of_rows(stored, 0, 4, more=False)]
    turn_store = turns.TurnStore(store, timers_lib.SystemTimers())
    with pytest.raises(errors.Unavailable):
        turn_store.find("abc", "a")
    assert [(kind, f["rows"], f["missing"]) for kind, f in lines] == [
        ("turn.rows_missing", 6, 2)
    ]


# Otherwise a scan would never end, or end early.
def test_an_empty_page_that_is_not_the_last_is_unavailable(scripted, store):
    page = (200, {"rows": [], "ver": 9, "more_pages": True})
    scripted.responses = [page, page]
    with pytest.raises(errors.Unavailable):
        store.scan("t/p/")
    with pytest.raises(errors.Unavailable):
        store.snapshot("t")


def connect_to(body):
    """Returns the client of a store whose responses end with the connection."""
    server = closing_server.Server(closing_server.HEAD + body)
    return store_lib.PlatformStore(server.address, timers_lib.SystemTimers())


def test_a_whole_response_may_end_with_its_connection():
    page = json.dumps({"rows": [ROW], "ver": 9, "more_pages": False}).encode()
    assert connect_to(page).get("t/p/k") == ports.Row("t/p/k", b"x", 5)
    assert connect_to(b'{"ver":12}').transact(ports.Transaction((), ())) == 12


@pytest.mark.parametrize("body", [b"", b"{", b'{"ver":1', b'{"ver":12'])
def test_a_truncated_response_to_a_transaction_has_an_unknown_outcome(body):
    with pytest.raises(errors.OutcomeUnknown):
        connect_to(body).transact(ports.Transaction((), ()))


@pytest.mark.parametrize("body", [b"", b'{"rows":[', b'{"rows":[],"ver":9'])
def test_a_truncated_page_is_unavailable(body):
    store = connect_to(body)
    with pytest.raises(errors.Unavailable):
        store.get("t/p/k")
    with pytest.raises(errors.Unavailable):
        store.scan("t/p/")
    with pytest.raises(errors.Unavailable):
        store.snapshot("t")
    with pytest.raises(errors.Unavailable):
        store.changes("t", 3, 0.1)
