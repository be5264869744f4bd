"""Loans of a lender, without a network."""

import dataclasses

from endivepier.limits import bucket as bucket_lib
from endivepier.limits import lending
from endivepier.limits import messages
from endivepier.limits import rows
from endivepier.standins import clock


@dataclasses.dataclass
class Rights:
    """The rights of one process, which do not end."""

    me: rows.Process

    def seconds_left(self):
        return 60.0


@dataclasses.dataclass
class Limit:
    rate: float = 10.0
    burst: float = 10.0


def start_lender(timers, incarnation):
    """Returns a lender with the whole rate, and its bucket."""
    now = timers.now()
    bucket = bucket_lib.Bucket(Limit(), 1.0, now, now, full=True)
    rights = Rights(rows.Process("10.0.0.1:7000", incarnation))
    return lending.Lender(lambda account: bucket, rights, timers), bucket


# Each process numbered its loans from 1: a loan of a lender's former process,
# when returned, ended another one, whose borrower went on to use it.
def test_returning_a_loan_of_a_former_process_ends_no_other_loan():
    timers = clock.VirtualTimers()
    borrow = messages.Borrow("acme", 0.25, 0.0, 3.0)
    former, _ = start_lender(timers, "first")
    loan = former.lend(borrow)
    restarted, bucket = start_lender(timers, "second")
    assert restarted.lend(borrow).fraction == loan.fraction > 0
    restarted.accept_return(messages.Return("acme", loan.loan, 1.0))
    assert [lent.fraction for lent in bucket.lent.values()] == [loan.fraction]
    assert restarted.renew(messages.Renew("acme", loan.loan, 3.0)).seconds == 0
