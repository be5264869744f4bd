import json

import pytest

from endivepier.gateway import model
from endivepier.gateway.targets import decoding
from endivepier.storage import ports
from endivepier_platform import documents

ROUTE = {
    "name": "r-1",
    "hostname": "Shop.example",
    "prefix": "/a/",
    "type": "streaming",
    "timeout_ms": 4000,
    "target_latency_ms": 250,
    "priority": 0,
    "service": "models",
    "max_attempts": 2,
    "retained": True,
    "retention_s": 60.0,
    "public": False,
    "sticky": True,
    "resumable": False,
    "target_gap_ms": 200,
    "some_new_field": {"x": 1},
}
CONFIG = {
    "version": 7,
    "routes": [
        ROUTE,
        {
            **ROUTE,
            "name": "r-2",
            "type": "idempotent",
            "service": None,
            "backends": [
                {"service": "models", "weight": 90},
                {"service": "ledger", "weight": 10},
            ],
        },
    ],
    "services": [
        {
            "name": "models",
            "max_conns": 150,
            "engine": {
                "slots": 12,
                "kv_capacity": 174738,
                "chunk_tokens": 4,
                "kv_bytes": 192512,
            },
        }
    ],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
    "tenants": [
        {
            "name": "acme",
            "api_keys": ["k1", "k2"],
            "priority": 1,
            "rate_per_s": 119,
            "burst": 119,
        }
    ],
}
SERVER = {
    "service": "models",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "cold_left_ms": 0,
    "seq_no": 4,
    "born": 1775275030180,
}


def row(key, document):
    value = document
    if not isinstance(document, bytes):
        value = json.dumps(document).encode()
    return ports.Row(key, value, 9)


def without_none(config):
    routes = [
        {key: value for key, value in r.items() if value is not None}
        for r in config["routes"]
    ]
    return {**config, "routes": routes}


def test_a_configuration_is_decoded_into_a_declaration():
    decoder = documents.Decoder()
    declaration = decoder.decode_declaration(
        row("op//config", without_none(CONFIG))
    )
    assert declaration.revision == 7
    first, second = declaration.routes
    assert first.host == "shop.example"
    assert (first.kind, first.repeatable) == (model.RouteKind.STREAM, False)
    assert (first.timeout, first.objective, first.gap) == (4.0, 0.25, 0.2)
    assert second.backends[1] == model.Backend("ledger", 10)
    assert second.repeatable
    assert declaration.services["models"].engine == model.Engine(12, 174738, 4)
    assert declaration.accounts["acme"].keys == ("k1", "k2")
    assert declaration.limits.idle_seconds == 15.0


def test_other_rows_of_the_operator_are_no_declaration():
    decoder = documents.Decoder()
    assert decoder.decode_declaration(row("op//other", CONFIG)) is None


def test_an_invalid_declaration_is_ignored():
    decoder = documents.Decoder()
    assert decoder.decode_declaration(row("op//config", b"\xff{")) is None


def test_a_server_is_decoded_into_a_target():
    target = documents.Decoder().decode_target(row("servers//i-7f", SERVER))
    assert (target.name, target.service) == ("i-7f", "models")
    assert (target.address, target.data_centre) == ("10.128.0.9:8080", "a")
    assert not target.draining
    assert target.incarnation == "i-7f@1775275030180"
    assert target.software_version == "v1"


@pytest.mark.parametrize(
    "document",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        {**SERVER, "state": "resting"},
        {**SERVER, "address": 5},
        {**SERVER, "slots": "12"},
        {key: value for key, value in SERVER.items() if key != "service"},
    ],
)
def test_an_invalid_or_unusable_server_is_no_target(document):
    decoder = documents.Decoder()
    assert decoder.decode_target(row("servers//i-7f", document)) is None


# Choosing a target, and following the table, raised OverflowError (RECOVER).
@pytest.mark.parametrize(
    "fields",
    [
        b'"slots": 1' + b"0" * 400,
        b'"slots": -1',
        b'"born": 1' + b"0" * 400,
        b'"born": -1' + b"0" * 400,
        b'"born": 1' + b"0" * 5000,
        b'"slots": 1e400',
    ],
)
def test_a_server_whose_numbers_no_float_holds_is_no_target(fields):
    document = json.dumps({**SERVER, "zone": "a"}).encode()
    document = document.removesuffix(b"}") + b", " + fields + b"}"
    decoder = decoding.CheckedDecoder(documents.Decoder())
    assert decoder.decode_target(row("servers//i-7f", document)) is None


def test_a_server_without_a_number_of_slots_has_one():
    decoder = decoding.CheckedDecoder(documents.Decoder())
    target = decoder.decode_target(row("servers//i-7f", {**SERVER, "slots": 0}))
    assert target.slots == 1


# The name is what follows the table and its part, which is empty. An entry
# named "x/i-7f" counted as the server "i-7f".
@pytest.mark.parametrize("key", ["servers//x/i-7f", "servers/x/i-7f"])
def test_a_server_under_another_key_is_not_the_one_it_is_called_after(key):
    decoder = decoding.CheckedDecoder(documents.Decoder())
    assert decoder.decode_target(row(key, SERVER)) is None


# Another writer's entry that lacked most fields replaced a server's own, and
# its service ran postings of another one (ROUTE).
@pytest.mark.parametrize(
    "field",
    [
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "cold_left_ms",
        "seq_no",
    ],
)
def test_a_server_without_one_of_its_fields_is_no_target(field):
    document = {key: value for key, value in SERVER.items() if key != field}
    decoder = documents.Decoder()
    assert decoder.decode_target(row("servers//i-7f", document)) is None


@pytest.mark.parametrize("value", [None, "1", 1.5, True, [1]])
@pytest.mark.parametrize("field", ["slots", "seq_no", "born", "version"])
def test_a_server_with_a_field_of_another_type_is_no_target(field, value):
    if field == "version" and value == "1":
        value = 1
    document = {**SERVER, field: value}
    decoder = documents.Decoder()
    assert decoder.decode_target(row("servers//i-7f", document)) is None


# Former deployments don't state when a server started.
def test_a_server_need_not_state_when_it_started():
    document = {key: value for key, value in SERVER.items() if key != "born"}
    target = documents.Decoder().decode_target(row("servers//i-7f", document))
    assert target.started == 0
