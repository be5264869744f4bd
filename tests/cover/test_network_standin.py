import gevent

from endivepier.standins import clock
from endivepier.standins import network as network_lib
from endivepier.storage import wire


def test_killing_a_host_ends_its_calls_in_the_order_of_their_start():
    # Guards against histories that differ for the same seed: when the calls
    # were kept in a set, `kill` ended them in the order of their memory
    # addresses, which any change of the code could alter.
    timers = clock.VirtualTimers()
    network = network_lib.Network(timers)
    target, caller = network.add("target"), network.add("caller")
    ended = []

    def handle(req):
        try:
            timers.sleep(60.0)
        finally:
            ended.append(req.key)

    target.inbox.register(wire.Get, wire.Committed, handle)

    def call(number):
        try:
            caller.peers.call(
                "target", wire.Get(str(number)), wire.Committed, seconds=30.0
            )
        except Exception as exc:
            return exc
        return None

    def main():
        for number in range(40):
            gevent.spawn(call, number)
            timers.sleep(0.01)
        target.kill()
        timers.sleep(1.0)

    timers.run(main)
    assert ended == [str(number) for number in range(40)]
