import eliot
import gevent
import gevent.event
import pytest

from endivepier import errors
from endivepier import timers
from endivepier.standins import clock


def test_sleeping_tasks_wake_in_the_order_of_their_timers():
    virtual = clock.VirtualTimers()
    woken = []

    def sleeper(seconds):
        virtual.sleep(seconds)
        woken.append((seconds, virtual.now()))

    def main():
        gevent.joinall([gevent.spawn(sleeper, s) for s in (3.0, 1.0, 2.0)])

    virtual.run(main)
    assert woken == [(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)]


@pytest.mark.parametrize("make", [clock.VirtualTimers, timers.SystemTimers])
def test_a_limit_raises_inside_its_block_and_not_after_it(make):
    service = make()

    def main():
        with pytest.raises(errors.DeadlineExceeded), service.limit(0.01):
            service.sleep(10.0)
        with service.limit(0.01):
            pass
        service.sleep(0.03)
        return "done"

    run = service.run if make is clock.VirtualTimers else lambda f: f()
    assert run(main) == "done"


@pytest.mark.parametrize("make", [clock.VirtualTimers, timers.SystemTimers])
def test_wait_returns_whether_the_event_was_set_in_time(make):
    service = make()

    def main():
        event = gevent.event.Event()
        late = service.wait(event, 0.01)
        service.after(0.01, event.set)
        return late, service.wait(event, 1.0), service.wait(event, 0.0)

    run = service.run if make is clock.VirtualTimers else lambda f: f()
    assert run(main) == (False, True, True)


def test_wait_removes_its_callback_from_the_event():
    virtual = clock.VirtualTimers()
    event = gevent.event.Event()
    for _ in range(3):
        virtual.run(virtual.wait, event, 0.1)
    assert event.linkcount() == 0


def test_a_cancelled_subscription_does_not_fire_again():
    virtual = clock.VirtualTimers()
    fired = []
    subscription = virtual.every(1.0, lambda: fired.append(virtual.now()))
    virtual.advance(3.5)
    subscription.cancel()
    virtual.advance(5.0)
    assert fired == [1.0, 2.0, 3.0]


def test_waiting_without_any_timer_raises_instead_of_hanging():
    virtual = clock.VirtualTimers()
    with pytest.raises(RuntimeError, match="no timer is set"):
        virtual.run(gevent.event.Event().wait)


# The exception was written as text to standard error, and not to the log.
def test_a_periodic_callback_that_fails_is_logged_and_called_again():
    virtual = clock.VirtualTimers()
    lines = []
    called = []

    def fail():
        called.append(virtual.now())
        raise OverflowError("int too large to convert to float")

    eliot.add_destinations(lines.append)
    lines.clear()  # the first destination gets earlier messages
    try:
        virtual.every(1.0, fail)
        virtual.advance(3.5)
    finally:
        eliot.remove_destination(lines.append)
    assert called == [1.0, 2.0, 3.0]
    failed = [li for li in lines if li.get("message_type") == "task.failed"]
    assert len(failed) == 3
