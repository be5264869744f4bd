"""Simulated agent programs that send requests of one account.

A program requests a turn, then the tool calls that the turn named, then the
next turn. A client retries a refused request once, after the `Retry-After`
but at most a third of the time left until its own timeout. A failed turn is
sent again at most twice; a failed tool call ends the program. Durations are
those that the users state.
"""

import dataclasses

import gevent

TURN_SECONDS = 0.15
TOOL_SECONDS = 0.05
THINK_SECONDS = 0.06
DEADLINE_SECONDS = 4.0  # timeout of a client's request, with its retry
# A program is due after 1.6 times its duration on idle servers, plus 0.25 s.
DUE_FACTOR = 1.6
DUE_SECONDS = 0.25
HOME_FRACTION = 0.6  # of a program's requests always go to the same host
MEAN_TURNS = (4, 4, 4, 9)  # one program in four is a long conversation


@dataclasses.dataclass
class Outcomes:
    """Numbers of programs by how they ended."""

    begun: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    requests: int = 0  # made by all programs if none fails


class Programs:
    """Runs programs that send their requests through a function.

    `request(host, program, left, is_first=...)` gets the seconds until the
    program is due, and whether the request is of the program's first turn. It
    returns None for an admitted request, else the `Retry-After` in seconds.
    """

    def __init__(self, hosts, request, timers, rng, rng_of=None):
        """Initializes without programs.

        Args:
            hosts: names of the hosts.
            request: see the class.
            timers: the timer service.
            rng: draws when programs begin.
            rng_of: returns what draws all else for a program, so that its load
                does not depend on what hosts and other programs draw; None for
                `rng`.
        """
        self.hosts = hosts
        self.request = request
        self.timers = timers
        self.rng = rng
        self._rng_of = rng_of or (lambda program: rng)
        self._rngs = {}
        self.ends = Outcomes()

    def offer(self, per_second, seconds):
        """Starts programs at random times and waits until all have ended."""
        tasks = []
        end = self.timers.now() + seconds
        while self.timers.now() < end:
            self.timers.sleep(self.rng.expovariate(per_second))
            self.ends.begun += 1
            tasks.append(gevent.spawn(self._run, f"p{self.ends.begun}"))
        gevent.joinall(tasks, raise_error=True)

    def _run(self, name):
        rng = self._rngs[name] = self._rng_of(name)
        home = rng.choice(self.hosts)
        turns = max(1, round(rng.gauss(rng.choice(MEAN_TURNS), 1.5)))
        tools = [rng.choice((1, 2, 2, 3)) for _ in range(turns)]
        self.ends.requests += turns + sum(tools)
        idle_seconds = turns * (TURN_SECONDS + TOOL_SECONDS + THINK_SECONDS)
        due = self.timers.now() + DUE_FACTOR * idle_seconds + DUE_SECONDS
        for number in range(turns):
            if not self._turn(home, name, due, is_first=number == 0):
                self.ends.failed += 1
                return
            self.timers.sleep(TURN_SECONDS)
            calls = [
                gevent.spawn(self._call, home, name, due, is_first=False)
                for _ in range(tools[number])
            ]
            gevent.joinall(calls, raise_error=True)
            if not all(call.value for call in calls):
                self.ends.failed += 1
                return
            self.timers.sleep(TOOL_SECONDS + THINK_SECONDS)
        if self.timers.now() <= due:
            self.ends.in_time += 1
        else:
            self.ends.late += 1

    def _turn(self, home, name, due, *, is_first):
        rng = self._rngs.get(name, self.rng)
        for attempt in range(3):
            if attempt:
                self.timers.sleep(rng.uniform(0.1, 0.4))
            if self._call(home, name, due, is_first=is_first):
                return True
        return False

    def _call(self, home, name, due, *, is_first):
        rng = self._rngs.get(name, self.rng)
        end = self.timers.now() + DEADLINE_SECONDS
        for attempt in range(2):
            host = home
            if attempt or rng.random() > HOME_FRACTION:
                host = rng.choice(self.hosts)
            left = due - self.timers.now()
            seconds = self.request(host, name, left, is_first=is_first)
            if seconds is None:
                return True
            if not attempt:
                remaining = end - self.timers.now()
                self.timers.sleep(min(seconds, remaining / 3))
        return False
