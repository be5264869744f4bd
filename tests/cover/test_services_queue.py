import gevent

from endivepier import errors
from endivepier.configuration import current as current_lib
from endivepier.effects import messages
from endivepier.scheduling import queue as queue_lib
from endivepier.scheduling import services
from endivepier.standins import clock


def call(account, seconds=30.0):
    return messages.CallService(
        account, "", "k", "POST", "/", b"", "text/plain", False, "key", seconds
    )


def test_a_flood_delays_others_little_and_refused_requests_never_ran():
    timers = clock.VirtualTimers()
    ran = []

    def run(req):
        ran.append((req.account, timers.now(), req.seconds))
        timers.sleep(1.0)
        return messages.ServiceAnswer(200, b"", "text/plain")

    queue = queue_lib.Queue(timers, slots=1, limit=40)
    current = current_lib.CurrentConfiguration()
    dispatcher = services.ServiceDispatcher(queue, current, timers, run)
    refused = []

    def send(account, seconds):
        try:
            dispatcher.run(call(account, seconds))
        except errors.Refused as exc:
            refused.append((account, exc.ran))

    def script():
        tasks = [gevent.spawn(send, "flood", 20.0) for _ in range(50)]
        timers.sleep(3.5)
        tasks.append(gevent.spawn(send, "other", 5.0))
        gevent.joinall(tasks, raise_error=True)

    timers.run(script)
    (moment, seconds_left), *more = [
        (t, s) for name, t, s in ran if name == "other"
    ]
    assert not more
    assert moment <= 5.0
    assert seconds_left == 5.0 - (moment - 3.5)
    assert all(moment < 20.0 for _, moment, _ in ran)
    assert len(ran) + len(refused) == 51
    assert {ran_state for _, ran_state in refused} == {errors.Ran.NO}
