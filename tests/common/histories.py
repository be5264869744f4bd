"""Runs a history of callers under faults and judges it."""

import gevent

from endivepier import errors
from endivepier.standins import local
from tests.common import callers
from tests.common import checker
from tests.common import faults as faults_lib
from tests.common import recorder as recorder_lib

QUIET_SECONDS = 30.0


class History:
    """One fleet, its callers and what was recorded.

    Attributes:
        fleet: the fleet; change it before `run`.
        recorder: what was recorded.
        faults: the judge's findings.
    """

    def __init__(self, seed, plan=None, script=None, programs=3):
        self.fleet = local.LocalFleet(seed, plan, self._wrap)
        self.recorder = recorder_lib.Recorder(self.fleet.timers)
        self.script = script or callers.Script()
        self.callers = [
            callers.Caller(
                self.fleet, self.recorder, seed * 100 + n, self.script, f"c{n}"
            )
            for n in range(programs)
        ]
        self.found = []

    def run(self, drawn=(), quiet=QUIET_SECONDS):
        """Runs all callers under faults; returns the judge's findings."""
        self.fleet.start()
        return self.fleet.timers.run(lambda: self._run(drawn, quiet))

    def _run(self, drawn, quiet):
        injector = faults_lib.Injector(self.fleet, drawn)
        trouble = gevent.spawn(injector.run)
        tasks = [gevent.spawn(caller.run) for caller in self.callers]
        gevent.joinall([trouble, *tasks], raise_error=True)
        injector.mend()
        self.fleet.timers.sleep(quiet)
        faults = self._replace_owners()
        for caller in self.callers:
            if not caller.created:
                continue
            try:
                caller.show()
            except (errors.Refused, callers.NoAnswer) as exc:
                faults.append(f"{caller.program} can't be read: {exc!r}")
        return faults + judged(self)

    def _replace_owners(self):
        """Replaces all sidecars: only what the table has is left."""
        faults = []
        for address, sidecar in list(self.fleet.sidecars.items()):
            if sidecar.journal.flush(0.0):
                continue
            faults.append(f"{address} has unflushed turns in the quiet")
        for address in list(self.fleet.sidecars):
            self.fleet.kill(address)
        self.fleet.timers.sleep(3.0)
        for number in range(self.fleet.spec.engines):
            self.fleet.start_engine(number)
        self.fleet.timers.sleep(3.0)
        return faults

    def held(self):
        """Returns the sessions that any engine holds."""
        return {
            prefix.session
            for engine in self.fleet.engines.values()
            for prefix in engine.held()
        }

    def _wrap(self, engine):
        return self.recorder.wrap(engine)


def judged(history):
    """Returns the judge's findings about what was recorded."""
    now = history.fleet.timers.now()
    return checker.judge(history.recorder, history.held(), now)
