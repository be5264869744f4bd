"""Keeps each stream at the software version that began it."""

from __future__ import annotations

import eliot

from endivepier import errors
from endivepier.gateway import calls
from endivepier.gateway import model
from endivepier.gateway.streams import origins as stream_origins
from endivepier.gateway.targets import catalog as catalog_lib
from endivepier.gateway.targets import route_history

# A client may resume a stream until its own deadline, which usually equals the
# timeout of the route.
MAX_STREAM_TIMEOUTS = 2.0


class StreamVersions:
    """Restricts calls to the targets whose events fit their streams."""

    def __init__(
        self,
        catalog: catalog_lib.Catalog,
        origins: stream_origins.StreamOrigins,
        routes: route_history.RouteHistory,
    ) -> None:
        self._catalog = catalog
        self._origins = origins
        self._routes = routes

    def set_begun(self, ctx: calls.CallContext, target: model.Target) -> None:
        """Restricts a call to the version that sends its first event."""
        ctx.software_version = target.software_version
        origin = stream_origins.Origin(target.service, target.software_version)
        self._origins.record(
            ctx.call.id,
            origin,
            _max_stream_seconds(ctx),
            one_service=_has_one_service(ctx),
        )

    def set_resumed(self, ctx: calls.CallContext) -> None:
        """Restricts a call that resumes a stream to the stream's origin.

        Raises:
            errors.Refused: the origin is unknown or is no longer a service of
                the route, or the route stores turns or did so lately; the
                call has not run.
        """
        call = ctx.call
        if call.last_event is None:
            return
        origin = self._origins.find(
            call.resumes,
            ctx.service,
            _max_stream_seconds(ctx),
            one_service=_has_one_service(ctx),
        )
        eliot.log_message(
            "stream.resumed",
            request=call.id,
            resumes=call.resumes,
            last_event=call.last_event,
            service=None if origin is None else origin.service,
            version=None if origin is None else origin.version,
            listed=sorted(self._catalog.versions(ctx.service)),
        )
        if origin is None:
            raise _not_resumable(ctx, "it is not known which version began it")
        if ctx.route.retained:
            raise _not_resumable(
                ctx, "its turn would be stored without the events before"
            )
        if not ctx.route.resumable or self._routes.has_changed(
            ctx.route, _max_stream_seconds(ctx)
        ):
            raise _not_resumable(
                ctx, "its route does not, or did not, allow this"
            )
        if origin.service not in [b.service for b in ctx.route.backends]:
            raise _not_resumable(
                ctx, f"service {origin.service!r} no longer serves its route"
            )
        if not self._catalog.targets(origin.service, origin.version):
            raise _not_resumable(
                ctx,
                f"service {origin.service!r} has no target of version "
                f"{origin.version!r}, which began it",
            )
        if origin.service != ctx.service:
            ctx.service = origin.service
            ctx.engine = self._catalog.engine(origin.service)
        ctx.software_version = origin.version


def _has_one_service(ctx: calls.CallContext) -> bool:
    """Returns whether each call of a stream is routed to the same service.

    A request to resume a stream has another id, by which a service is chosen
    if the request belongs to no program.
    """
    return len(ctx.route.backends) == 1 or bool(ctx.call.program)


def _max_stream_seconds(ctx: calls.CallContext) -> float:
    return MAX_STREAM_TIMEOUTS * ctx.route.timeout


def _not_resumable(ctx: calls.CallContext, detail: str) -> errors.Refused:
    """Returns the error for a stream that has to begin anew."""
    return errors.Refused(
        errors.Code.STREAM_NOT_RESUMABLE,
        503,
        f"stream {ctx.call.resumes!r} can't be resumed: {detail}",
    )
