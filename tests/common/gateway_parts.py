"""Factories of model objects for the tests of `endivepier.gateway`."""

from endivepier.gateway import model
from endivepier.http1 import messages

STATUS_PATH = "/status"


def route(**changes):
    values = {
        "name": "r",
        "host": "a.example",
        "prefix": "/a/",
        "kind": model.RouteKind.STREAM,
        "backends": (model.Backend("s", 1.0),),
        "timeout": 4.0,
        "objective": 0.25,
        "priority": 0,
        "most_targets": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "retained": False,
        "retention": 60.0,
        "gap": 0.2,
    }
    return model.Route(**{**values, **changes})


def account(name="acme", rate=20.0, burst=20.0, keys=("key-1",)):
    return model.Account(name, tuple(keys), None, rate, burst)


def declaration(
    revision=1,
    routes=(),
    accounts=(),
    engine_tokens=4,
    cold=(0.0, 0.0),
    services=("s",),
):
    engine = model.Engine(12, 100_000, engine_tokens)
    return model.Declaration(
        revision=revision,
        routes=tuple(routes),
        services={
            name: model.Service(
                name, 100, engine, *cold, status_path=STATUS_PATH
            )
            for name in services
        },
        accounts={account.name: account for account in accounts},
        limits=messages.ClientLimits(),
    )


def target(name, address="127.0.0.1:1", data_centre="a", **changes):
    values = {
        "name": name,
        "service": "s",
        "address": address,
        "data_centre": data_centre,
        "slots": 12,
        "draining": False,
        "started": 1,
    }
    return model.Target(**{**values, **changes})


def call(id_="c", **changes):
    values = {
        "id": id_,
        "method": b"POST",
        "path": b"/a/1",
        "host": "a.example",
        "headers": [],
        "body": b"",
        "received": 0.0,
    }
    return model.Call(**{**values, **changes})
