"""Which services routes have led to lately, as far as a host knows.

A stream whose origin is not recorded can only have begun at the service to
which its route leads now if the paths of the route have led there all the time.
A declaration that was replaced before a host read it is not known.
"""

from __future__ import annotations

from endivepier import timers as timers_lib
from endivepier.gateway import model
from endivepier.gateway.targets import catalog as catalog_lib

# How long a removed route is known. Streams of it may be resumed for some
# seconds if it is declared again.
REMOVED_SECONDS = 120.0

Key = tuple[str, str]  # host and prefix of a route


class RouteHistory:
    """Notes when a new declaration changes what requests run at."""

    def __init__(
        self, catalog: catalog_lib.Catalog, timers: timers_lib.Timers
    ) -> None:
        self._catalog = catalog
        self._timers = timers
        self._followed_since: float | None = None
        self._routes: dict[Key, model.Route] = {}
        # Routes that are not declared any more, with the time of their removal.
        self._removed: dict[Key, tuple[float, model.Route]] = {}
        # When a path that had led elsewhere was led to a service.
        self._led_at: dict[str, float] = {}
        # When the kind of a route's streams changed.
        self._changed_at: dict[Key, float] = {}
        catalog.subscribe(self._note_declaration)

    def covers(self, service: str, seconds: float) -> bool:
        """Returns whether no path of a service lately led elsewhere.

        Args:
            service: the service.
            seconds: the period, up to now.
        """
        since = self._followed_since
        if since is None:
            return False
        since = max(since, self._led_at.get(service, since))
        return self._timers.now() - since >= seconds

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
        if self._followed_since is None:
            self._followed_since = now
        self._removed = {
            key: (at, route)
            for key, (at, route) in self._removed.items()
            if now - at < REMOVED_SECONDS
        }
        removed = {key: route for key, (_, route) in self._removed.items()}
        routes = {(r.host, r.prefix): r for r in declaration.routes}
        for host, prefix in {**removed, **self._routes, **routes}:
            route = _find(routes, host, prefix)
            former = _find(self._routes, host, prefix) or _find(
                removed, host, prefix
            )
            if route is None or former is None:
                continue  # no request can be resumed, or has begun a stream
            if _choice(former) != _choice(route):
                for backend in route.backends:
                    self._led_at[backend.service] = now
            if (former.resumable, former.retained) != (
                route.resumable,
                route.retained,
            ):
                self._changed_at[route.host, route.prefix] = now
        for key, route in self._routes.items():
            if key not in routes:
                self._removed[key] = (now, route)
        self._routes = routes


def _find(
    routes: dict[Key, model.Route], host: str, prefix: str
) -> model.Route | None:
    """Returns the route that has the paths below a prefix, if any."""
    for end in range(len(prefix), -1, -1):
        route = routes.get((host, prefix[:end]))
        if route is not None:
            return route
    return None


def _choice(route: model.Route) -> tuple[tuple[model.Backend, ...], str]:
    """Returns what decides which service a call of a program is sent to."""
    name = route.name if len(route.backends) > 1 else ""
    return route.backends, name
