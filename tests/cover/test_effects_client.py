"""Which sidecar of a plain service gets a request."""

import pytest

from endivepier import errors
from endivepier.effects import client as client_lib
from endivepier.effects import messages
from endivepier.membership import members
from endivepier.standins import clock


class View:
    """A view with one ready sidecar in each of two data centres."""

    def ready(self, role, pool=""):
        return [
            members.Member(
                address=f"sidecar:{data_centre}",
                role=role,
                data_centre=data_centre,
                pool=pool,
                state=members.MemberState.READY,
            )
            for data_centre in ("one", "two")
        ]


class Peers:
    """Peers that answer each request with the address they were asked at."""

    def call(self, address, req, kind, *, seconds):
        return address


@pytest.mark.parametrize("path", [f"/r/{n}" for n in range(8)])
def test_services_of_an_evacuated_data_centre_get_no_requests(path):
    evacuated = {"one"}
    client = client_lib.Client(
        View(), Peers(), clock.VirtualTimers(), evacuated=lambda: evacuated
    )
    req = messages.CallService(
        account="a",
        program_id="",
        kind="standard",
        method="POST",
        path=path,
        body=b"",
        content_type="text/plain",
        idempotent=True,
        idempotency_key="",
        seconds=1.0,
    )
    assert client.send("ledger", req) == "sidecar:two"
    evacuated.add("two")
    with pytest.raises(errors.Refused) as refused:
        client.send("ledger", req)
    assert (refused.value.status, refused.value.ran) == (503, errors.Ran.NO)
