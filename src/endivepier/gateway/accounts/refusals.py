"""Logs what a request was refused on by its account's rate limit."""

from __future__ import annotations

import eliot

from endivepier.gateway import model
from endivepier.gateway.accounts import messages as share_messages
from endivepier.gateway.accounts import renewals as share_renewals


def log(
    renewals: share_renewals.Renewals,
    now: float,
    account: model.Account,
    request: str,
    admission: share_messages.Admission,
) -> None:
    """Logs the state that led to the refusal of a request.

    Args:
        renewals: this host's shares.
        now: the time, monotonic seconds.
        account: the account.
        request: id of the request.
        admission: the decision.
    """
    share = renewals.local.ensure(account, now)
    eliot.log_message(
        "account.refused",
        request=request,
        account=account.name,
        begins=admission.begins,
        delayed=admission.delayed,
        no_share=admission.no_share,
        owners=renewals.owners.owners(account),
        rate=account.rate,
        burst=account.burst,
        fraction=round(share.fraction, 4),
        tokens=round(share.bucket.level, 2),
        demand=round(share.bucket.demand(now), 1),
        holders=renewals.host_count,
        lease_left=round(share.lease_until - now, 2),
        fraction_age=round(now - share.written_at, 2),
    )
