import gevent
import hypothesis
from hypothesis import strategies as st

from endivepier.membership import members
from endivepier.membership import view as view_lib
from endivepier.standins import clock
from endivepier.standins import hosts as hosts_lib
from endivepier.standins import network as network_lib
from endivepier.storage import ports

HOST_LIST_LAG_SECONDS = 1.0


class _Fleet:
    """Membership views on simulated hosts, without other services."""

    def __init__(self, count):
        self.timers = clock.VirtualTimers()
        self.network = network_lib.Network(self.timers)
        self.host_list = hosts_lib.MemoryHostList(
            self.timers, lag_seconds=HOST_LIST_LAG_SECONDS
        )
        self.views = {}
        self.states = {}
        for number in range(count):
            self.add(f"10.0.0.{number}:1")

    def add(self, address):
        self.put(address, ports.HostState.LIVE, at_once=True)
        self.restart(address)

    def put(self, address, state, **options):
        host = ports.Host(address, "plateau", "sidecar", "t", state)
        self.host_list.put(host, **options)

    def restart(self, address):
        host = self.network.add(address)
        self.states[address] = members.MemberState.READY
        incarnation = f"{address}@{self.timers.now()}"

        def describe():
            return members.Member(
                address,
                "sidecar",
                "plateau",
                pool="pool",
                state=self.states[address],
                incarnation=incarnation,
            )

        view = view_lib.View(self.host_list, host.peers, host.timers, describe)
        view.register(host.inbox)
        self.views[address] = view

    def start(self):
        tasks = [gevent.spawn(view.start) for view in self.views.values()]
        self.timers.run(lambda: gevent.joinall(tasks))
        self.timers.advance(5.0)

    def ready_members(self, address):
        """Returns the members that the process at `address` takes for ready."""
        return [m.address for m in self.views[address].ready("sidecar", "pool")]


def test_every_member_sees_all_members_as_ready():
    fleet = _Fleet(20)
    fleet.start()
    fleet.timers.advance(10.0)
    for address in fleet.views:
        assert fleet.ready_members(address) == sorted(fleet.views)


def test_heartbeats_per_member_do_not_grow_with_the_fleet():
    sent_per_member = []
    for count in (20, 40):
        fleet = _Fleet(count)
        fleet.start()
        before = fleet.network.messages
        fleet.timers.advance(10.0)
        sent_per_member.append((fleet.network.messages - before) / count)
    assert sent_per_member[1] <= sent_per_member[0] * 1.05
    most = view_lib.ROUND_ROBIN_HEARTBEATS * 10.0 / view_lib.ROUND_SECONDS
    assert sent_per_member[1] <= 2 * most


def test_a_host_listed_as_leaving_is_not_ready_after_lag_and_heartbeat():
    fleet = _Fleet(8)
    fleet.start()
    leaving = "10.0.0.3:1"
    fleet.put(leaving, ports.HostState.LEAVING)
    fleet.timers.advance(HOST_LIST_LAG_SECONDS + 3.0)
    assert fleet.views[leaving].is_leaving(leaving)
    for address in fleet.views:
        if address != leaving:
            assert leaving not in fleet.ready_members(address)


def test_watchers_learn_that_a_member_froze_and_it_recovers_after_a_thaw():
    fleet = _Fleet(12)
    fleet.start()
    frozen, watcher = "10.0.0.5:1", "10.0.0.0:1"

    def main():
        with fleet.views[watcher].watch(frozen) as suspected:
            fleet.network.hosts[frozen].freeze()
            assert fleet.timers.wait(suspected, 3.0)
        assert fleet.views[watcher].find(frozen) is None
        fleet.network.hosts[frozen].thaw()
        fleet.timers.sleep(3.0)
        assert fleet.views[watcher].find(frozen) is not None

    fleet.timers.run(main)


def test_one_missed_heartbeat_does_not_make_a_suspect():
    fleet = _Fleet(4)
    fleet.start()
    one, other = "10.0.0.0:1", "10.0.0.1:1"
    fleet.network.hosts[other].freeze()
    fleet.timers.run(lambda: fleet.views[one].probe(other))
    assert fleet.views[one].find(other) is not None
    fleet.timers.run(lambda: fleet.views[one].probe(other))
    assert fleet.views[one].find(other) is None


def test_a_restart_resets_the_time_for_which_a_member_is_ready():
    fleet = _Fleet(4)
    fleet.start()
    one, other = "10.0.0.0:1", "10.0.0.1:1"
    old = fleet.views[one].find(other).incarnation
    fleet.network.hosts[other].kill()
    fleet.timers.advance(5.0)
    assert fleet.views[one].find(other) is None
    fleet.restart(other)
    fleet.timers.run(fleet.views[other].start)
    fleet.timers.advance(3.0)
    assert fleet.views[one].find(other).incarnation != old
    assert (
        fleet.views[one].ready_seconds(other)
        <= 3.0
        < fleet.views[one].ready_seconds(one) + 9
    )


@hypothesis.given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["freeze", "thaw", "kill", "restart", "cut"]),
            st.integers(0, 4),
            st.integers(0, 4),
            st.floats(0.0, 4.0),
        ),
        max_size=8,
    )
)
@hypothesis.settings(max_examples=12)
def test_all_members_are_ready_again_once_the_faults_have_ended(steps):
    fleet = _Fleet(5)
    fleet.start()
    names = list(fleet.views)
    for action, number, other, seconds in steps:
        address = names[number]
        host = fleet.network.hosts.get(address)
        if action == "cut" and number != other:
            fleet.network.cut(address, names[other])
        elif action == "restart" and host is None:
            fleet.restart(address)
            gevent.spawn(fleet.views[address].start)
        elif host is not None and action in ("freeze", "thaw", "kill"):
            getattr(host, action)()
        fleet.timers.advance(seconds)
    fleet.network.mend_all()
    for address in names:
        if address not in fleet.network.hosts:
            fleet.restart(address)
            gevent.spawn(fleet.views[address].start)
        fleet.network.hosts[address].thaw()
    fleet.timers.advance(15.0)
    for address in names:
        assert fleet.ready_members(address) == names
