"""Since when routes have led to the same services, as far as a host knows.

A stream whose origin is not recorded can only have begun at the service to
which its route leads now if the route has led there all the time.
"""

from __future__ import annotations

from endivepier import timers as timers_lib
from endivepier.gateway import model
from endivepier.gateway.targets import catalog as catalog_lib

Routes = dict[tuple[str, str], model.Route]  # by host and prefix


class RouteHistory:
    """Notes when a new declaration changes what requests run at."""

    def __init__(
        self, catalog: catalog_lib.Catalog, timers: timers_lib.Timers
    ) -> None:
        self._catalog = catalog
        self._timers = timers
        self._revision: int | None = None
        self._routes: Routes = {}
        self._followed_since: float | None = None
        # When the kind of a route's streams changed, by host and prefix.
        self._changed_at: dict[tuple[str, str], float] = {}
        catalog.subscribe(self._note_declaration)

    def covers(self, seconds: float) -> bool:
        """Returns whether no route led elsewhere in the last seconds."""
        since = self._followed_since
        return since is not None and self._timers.now() - since >= seconds

    def has_changed(self, route: model.Route, seconds: float) -> bool:
        """Returns whether streams of a route lately had other properties.

        Args:
            route: a route of the declaration in force.
            seconds: the period, up to now.
        """
        changed_at = self._changed_at.get((route.host, route.prefix))
        return (
            changed_at is not None and self._timers.now() - changed_at < seconds
        )

    def _note_declaration(self) -> None:
        declaration = self._catalog.declaration
        assert declaration is not None
        now = self._timers.now()
        routes = {(r.host, r.prefix): r for r in declaration.routes}
        # A declaration that was never read here may have led elsewhere.
        if self._revision is None or declaration.revision != self._revision + 1:
            self._followed_since = now
        if not self._routes.keys() <= routes.keys():
            self._followed_since = now
        for key, route in routes.items():
            former = self._find_former(*key)
            if former is None:
                continue  # its requests were not allowed
            if _choice(former) != _choice(route):
                self._followed_since = now
            if (former.resumable, former.retained) != (
                route.resumable,
                route.retained,
            ):
                self._changed_at[key] = now
        self._changed_at = {
            key: at for key, at in self._changed_at.items() if key in routes
        }
        self._revision = declaration.revision
        self._routes = routes

    def _find_former(self, host: str, prefix: str) -> model.Route | None:
        """Returns the route that had the paths below a prefix before."""
        for end in range(len(prefix), -1, -1):
            route = self._routes.get((host, prefix[:end]))
            if route is not None:
                return route
        return None


def _choice(route: model.Route) -> tuple[tuple[model.Backend, ...], str]:
    """Returns what decides which service a call of a program is sent to."""
    name = route.name if len(route.backends) > 1 else ""
    return route.backends, name
