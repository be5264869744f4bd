"""The operator API: release notes and the state of all processes."""

from __future__ import annotations

import hmac

import gevent.pool
import werkzeug.wrappers

from endivepier import errors
from endivepier.configuration import checking
from endivepier.configuration import keys as keys_lib
from endivepier.configuration import notes
from endivepier.configuration import state as state_lib
from endivepier.configuration import store as store_lib
from endivepier.entry import documents
from endivepier.internal import process
from endivepier.internal import web
from endivepier.membership import members as members_lib

RELEASES_PATH = "/v1/operators/releases"
CHANGE_ID_HEADER = "X-Endivepier-Change-Id"
MAX_CONCURRENT_PROBES = 64
RETRY_AFTER_SECONDS = 1.0


class OperatorRoutes:
    """The routes for release notes and for the state of all processes."""

    def __init__(
        self,
        base: process.Base,
        authenticator: keys_lib.Authenticator,
        bootstrap_digest: str,
    ) -> None:
        self._base = base
        self._auth = authenticator
        self._bootstrap = bootstrap_digest

    def add_to(self, app: web.App) -> None:
        """Adds the routes to `app`."""
        app.route("POST", RELEASES_PATH, self.apply)
        app.route("POST", RELEASES_PATH + "/check", self.check)
        app.route("GET", RELEASES_PATH + "/<int:revision>", self.show)
        app.route("GET", RELEASES_PATH + "/head", self.show)
        app.route("GET", RELEASES_PATH + "/status", self.revisions)
        app.route("GET", "/v1/operators/status", self.status)

    def apply(self, req: web.Request) -> werkzeug.wrappers.Response:
        """Applies a release note, atomically."""
        self._check_operator(req)
        try:
            accepted = self._base.store.apply(
                _note_text(req),
                req.headers.get(CHANGE_ID_HEADER, ""),
                self._base.current,
                lambda: self._check_operator(req),
            )
        except errors.Unavailable:
            raise _table_unavailable(errors.Ran.NO) from None
        except errors.OutcomeUnknown:
            raise _table_unavailable(errors.Ran.UNKNOWN) from None
        self._publish(accepted)
        return web.json_response(accepted, 201)

    def check(self, req: web.Request) -> werkzeug.wrappers.Response:
        """Returns all faults of a release note without applying it."""
        self._check_operator(req)
        self._catch_up()
        state = self._base.current.state
        faults: tuple[notes.Fault, ...] = ()
        try:
            checking.resolve(notes.parse(_note_text(req)), state)
        except notes.InvalidNote as exc:
            faults = exc.faults
        return web.json_response(
            documents.CheckDocument(state.revision, faults)
        )

    def show(
        self, req: web.Request, revision: int | None = None
    ) -> werkzeug.wrappers.Response:
        """Returns the configuration at a revision, or at the newest one."""
        self._check_operator(req)
        if revision is None:
            self._catch_up()
            return web.json_response(self._base.current.state)
        try:
            state = self._base.store.read(revision, self._base.current.state)
        except errors.Unavailable:
            raise _table_unavailable(errors.Ran.NO) from None
        return web.json_response(state)

    def revisions(self, req: web.Request) -> werkzeug.wrappers.Response:
        """Returns the head and the revision in force on each process.

        This process reads the table service and probes every listed host, so
        the response includes hosts that do not respond. The head is current
        if the table service responds.
        """
        self._check_operator(req)
        try:
            self._base.store.catch_up(self._base.current)
            from_table = True
        except errors.Unavailable:
            from_table = False
        members = self._probe_members()
        newest = max(member.revision for member in members.values())
        head = max(self._base.current.state.revision, newest)
        rows = [
            documents.ProcessRevision(
                member.address,
                member.role,
                member.data_centre,
                member.state.value,
                member.revision,
                member.revision < head,
            )
            for member in members.values()
        ]
        rows.extend(
            documents.ProcessRevision(
                host.address, host.role, host.data_centre, "", None, True
            )
            for host in self._base.view.hosts()
            if host.address not in members
        )
        rows.sort(key=lambda row: row.address)
        return web.json_response(
            documents.ReleaseStatus(head, from_table, tuple(rows))
        )

    def status(self, req: web.Request) -> werkzeug.wrappers.Response:
        """Returns the state of all processes that answer heartbeats."""
        self._check_operator(req)
        members = sorted(
            self._base.view.reachable_members(), key=lambda item: item.address
        )
        return web.json_response(documents.StatusDocument(tuple(members)))

    def _publish(self, accepted: store_lib.Accepted) -> None:
        """Announces a revision, then starts the write of a due snapshot."""
        self._base.follower.announce(accepted.revision)
        state = self._base.current.state
        if state.revision == accepted.revision:
            self._base.env.timers.after(
                0.0, lambda: self._base.store.write_due_snapshot(state)
            )

    def _probe_members(self) -> dict[str, members_lib.Member]:
        """Probes all listed hosts; returns this process and the reachable ones.

        A known member that only misses this probe does not become a suspect,
        so it is returned as it last described itself.

        Returns:
            The members by address.
        """
        view = self._base.view
        me = view.me()
        responding = {me.address: me}
        pool = gevent.pool.Pool(MAX_CONCURRENT_PROBES)
        others = [
            host.address for host in view.hosts() if host.address != me.address
        ]
        for member in pool.imap_unordered(view.probe, others):
            if member is not None:
                responding[member.address] = member
        return responding

    def _catch_up(self) -> None:
        """Reads the newest configuration from the table service."""
        try:
            self._base.store.catch_up(self._base.current)
        except errors.Unavailable:
            raise _table_unavailable(errors.Ran.NO) from None

    def require_operator(self, req: web.Request) -> None:
        """Raises `errors.Refused` unless the request has an operator's key."""
        self._check_operator(req)

    def _check_operator(self, req: web.Request) -> None:
        """Checks that the request has an operator's key that is in force.

        Raises:
            errors.Refused: `UNAUTHENTICATED`, `FORBIDDEN`, or `NOT_READY`.
        """
        authorization = req.headers.get("Authorization", "")
        self._auth.check_serving()
        if self._is_bootstrap(authorization):
            return
        caller = self._auth.authenticate(authorization)
        if caller.role is not state_lib.Role.OPERATOR:
            raise errors.Refused(
                errors.Code.FORBIDDEN, 403, "use an operator's key"
            )

    def _is_bootstrap(self, authorization: str) -> bool:
        """Returns whether the header has the bootstrap key, still in force.

        The bootstrap key ends for good when an operator's key is granted for
        the first time, even if that key is withdrawn later.
        """
        if not self._bootstrap or self._base.current.state.operators_began:
            return False
        digest = keys_lib.digest_of(keys_lib.bearer_key(authorization))
        return hmac.compare_digest(digest, self._bootstrap)


def _note_text(req: web.Request) -> str:
    try:
        return req.get_data().decode()
    except UnicodeDecodeError:
        raise errors.Refused(
            errors.Code.BAD_REQUEST, 400, "the release note is not UTF-8"
        ) from None


def _table_unavailable(ran: errors.Ran) -> errors.Refused:
    return errors.Refused(
        errors.Code.STORE_UNAVAILABLE,
        503,
        "the table service does not respond; retry with the same change id",
        ran=ran,
        retry_after=RETRY_AFTER_SECONDS,
    )
