"""Assembles an entry host from its components."""

from __future__ import annotations

from endivepier import errors
from endivepier.configuration import keys as keys_lib
from endivepier.effects import attempts as attempts_lib
from endivepier.effects import claims as claims_lib
from endivepier.effects import client as client_lib
from endivepier.entry import admission as admission_lib
from endivepier.entry import effects as effects_lib
from endivepier.entry import guard as guard_lib
from endivepier.entry import operators as operators_lib
from endivepier.entry import owners as owners_lib
from endivepier.entry import programs as programs_lib
from endivepier.entry import services as services_lib
from endivepier.http1 import headers as headers_lib
from endivepier.http1 import screening
from endivepier.internal import process
from endivepier.internal import web
from endivepier.limits import agreement as agreement_lib
from endivepier.limits import limiter as limiter_lib
from endivepier.limits import policies
from endivepier.limits import rights as rights_lib
from endivepier.limits import rows


class Entry(process.Base):
    """An entry host without its HTTP servers; `add_to` adds its routes."""

    def __init__(
        self,
        env: process.Environment,
        *,
        call_seconds: float = 60.0,
        bootstrap_digest: str = "",
        policy: policies.Policy | None = None,
    ) -> None:
        super().__init__(env, "entry")
        self.authenticator = keys_lib.Authenticator(
            self.current, self.follower.freshness
        )
        self._add_rate_limits(policy or policies.Lending())
        self.owners = owners_lib.Owners(self.view, env.peers, env.timers)
        self.guard = guard_lib.Guard(
            self.authenticator, self.current, env.timers, self.metrics
        )
        self.admission = admission_lib.Admission(
            self.authenticator, self.limiter, self.guard
        )
        self.programs = programs_lib.ProgramRoutes(
            self, self.admission, self.owners, self.guard, call_seconds
        )
        self.services = self._make_services(call_seconds)
        self.operators = operators_lib.OperatorRoutes(
            self, self.authenticator, bootstrap_digest
        )
        self.effects = effects_lib.EffectRoutes(
            self, self.operators.require_operator
        )

    def _make_services(self, call_seconds: float) -> services_lib.ServiceRoutes:
        env = self.env
        client = client_lib.Client(
            self.view,
            env.peers,
            env.timers,
            evacuated=lambda: self.current.state.evacuations,
        )
        claims = claims_lib.Claims(
            env.platform.table, env.platform.objects, env.timers, self.ids
        )
        return services_lib.ServiceRoutes(
            self,
            self.admission,
            self.owners,
            self.guard,
            client,
            attempts_lib.Attempts(claims, client, self.current, env.timers),
            call_seconds,
        )

    def _add_rate_limits(self, policy: policies.Policy) -> None:
        env = self.env
        self.rights = rights_lib.Rights(
            rows.Process(env.address, self.incarnation),
            env.timers,
            policies.holders_per_account(policy),
        )
        self.limiter = limiter_lib.Limiter(
            self.current,
            env.timers,
            self.rights,
            env.peers,
            self.metrics,
            self._entry_addresses,
            policy,
        )
        self.limiter.register(env.inbox)
        self.agreement = agreement_lib.Agreement(
            self.rights,
            self.witness,
            env.platform.table,
            self.committer,
            env.peers,
            self.view,
            env.timers,
            self.ids,
            self.limiter.loan_seconds_left,
        )
        self.kernel.register("limits", self.limiter)
        self.kernel.register("limits agreement", self.agreement)

    def _entry_addresses(self) -> list[str]:
        return [member.address for member in self.view.ready("entry")]

    def screen(
        self, target: bytes, headers: headers_lib.Headers
    ) -> screening.Screening:
        """Tells whose key a request shows; see `screening.Screen`."""
        del target
        authorization = headers.find(b"authorization") or b""
        try:
            caller = self.authenticator.authenticate(
                authorization.decode("latin-1")
            )
        except errors.Refused:
            return screening.UNKNOWN  # some routes need no key
        return screening.Screening(caller.account or caller.role.value)

    def add_to(self, app: web.App) -> None:
        """Adds the routes for callers and operators to `app`."""
        self.programs.add_to(app)
        self.services.add_to(app)
        self.operators.add_to(app)
        self.effects.add_to(app)
