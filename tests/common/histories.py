"""Runs callers against a simulated fleet under faults and checks the result."""

import gevent

from endivepier import errors
from endivepier.standins import local
from tests.common import callers
from tests.common import checker
from tests.common import faults as faults_lib
from tests.common import recorder as recorder_lib

SETTLE_SECONDS = 30.0


class History:
    """One run of a fleet with callers that each drive one program.

    Attributes:
        fleet: the fleet; a test may change it before `run`.
        recorder: the events that the checker examines.
        script: what each caller does.
        callers: the callers, one for each program.
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

    def run(self, faults=(), settle_seconds=SETTLE_SECONDS):
        """Runs all callers under faults; returns the checker's violations.

        Args:
            faults: the faults to inject.
            settle_seconds: time to recover after all faults are cleared,
                before the histories are read back.
        """
        self.fleet.start()
        return self.fleet.timers.run(lambda: self._run(faults, settle_seconds))

    def _run(self, faults, settle_seconds):
        injector = faults_lib.Injector(self.fleet, faults)
        fault_task = gevent.spawn(injector.run)
        tasks = [gevent.spawn(caller.run) for caller in self.callers]
        gevent.joinall([fault_task, *tasks], raise_error=True)
        injector.restore()
        self.fleet.timers.sleep(settle_seconds)
        violations = self._restart_sidecars()
        for caller in self.callers:
            if not caller.created:
                continue
            try:
                caller.show()
            except (errors.Refused, callers.NoResponse) as exc:
                violations.append(f"{caller.program} can't be read: {exc!r}")
        return violations + check(self)

    def _restart_sidecars(self):
        """Restarts all sidecars, so that only the table's data remains.

        Returns:
            A violation for each sidecar that had unflushed turns.
        """
        violations = []
        for address, sidecar in list(self.fleet.sidecars.items()):
            if sidecar.journal.flush(0.0):
                continue
            violations.append(f"{address} still has unflushed turns")
        for address in list(self.fleet.sidecars):
            self.fleet.kill(address)
        self.fleet.timers.sleep(3.0)
        for number in range(self.fleet.plan.engines):
            self.fleet.start_engine(number)
        self.fleet.timers.sleep(3.0)
        return violations

    def held_sessions(self):
        """Returns the sessions of which any engine holds a prefix."""
        return {
            prefix.session
            for engine in self.fleet.engines.values()
            for prefix in engine.cached_prefixes()
        }

    def _wrap(self, engine):
        return self.recorder.wrap(engine)


def check(history):
    """Returns the violations that the checker finds in a recorded history."""
    now = history.fleet.timers.now()
    return checker.check(history.recorder, history.held_sessions(), now)
