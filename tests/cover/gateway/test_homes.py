"""Calls of routes and accounts with homes stay in these regions."""

import json

import gevent
import pytest

from endivepier.gateway import model
from endivepier.gateway.choice import homes as homes_lib
from endivepier.storage import ports
from endivepier_platform import documents
from tests.common import gateway_fleet
from tests.common import gateway_parts

REGIONS = {"a": "north", "b": "north", "c": "south"}
TARGETS = [gateway_parts.target(name, data_centre=name) for name in "abcd"]


def served_by(homes):
    model_homes = homes_lib.Homes("a", REGIONS)
    return "".join(t.name for t in model_homes.targets(TARGETS, homes))


@pytest.mark.parametrize(
    ("route", "account", "common"),
    [
        ((), (), None),
        (("north",), (), {"north"}),
        ((), ("south",), {"south"}),
        (("north", "south"), ("south",), {"south"}),
        (("north",), ("south",), set()),
    ],
)
def test_a_route_and_an_account_both_bind(route, account, common):
    bound_route = gateway_parts.route(homes=route)
    bound_account = model.Account("acme", ("k",), None, 1.0, 1.0, account)
    assert homes_lib.common(bound_route, bound_account) == common
    assert homes_lib.common(bound_route, None) == (set(route) or None)


def test_a_target_of_an_unknown_region_is_in_no_home():
    assert served_by(None) == "abcd"
    assert served_by({"north"}) == "ab"
    assert served_by({"south"}) == "c"
    assert served_by(set()) == ""


def test_a_host_relays_only_through_hosts_of_its_region():
    homes = homes_lib.Homes("a", REGIONS)
    assert [homes.is_near(name) for name in "abcd"] == [
        True,
        True,
        False,
        False,
    ]
    without_regions = homes_lib.Homes("a", {})
    assert without_regions.is_near("z")


@pytest.mark.parametrize("kind", model.RouteKind)
def test_a_call_that_no_home_can_serve_is_refused_and_has_not_run(kind):
    route = gateway_parts.route(kind=kind, homes=("south",))
    fleet = gateway_fleet.Fleet([route])
    try:
        with gevent.Timeout(5):
            response = fleet.request()
        assert response.status == 503
        assert b"home regions ['south']" in response.body
        assert fleet.received() == []
    finally:
        fleet.stop()


def test_the_operators_configuration_names_the_regions():
    route = {
        "name": "r",
        "hostname": "a.example",
        "prefix": "/a/",
        "type": "idempotent",
        "allowed_regions": ["dakar"],
    }
    tenant = {"name": "acme", "allowed_regions": ["ouest"]}
    config = {"version": 1, "routes": [route], "tenants": [tenant]}
    declaration = documents.Decoder().decode_declaration(
        ports.Row("op//config", json.dumps(config).encode(), 1)
    )
    assert declaration.routes[0].homes == ("dakar",)
    assert declaration.accounts["acme"].homes == ("ouest",)
