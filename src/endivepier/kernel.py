"""The registry and life cycle of the services of a process.

A service is a component of the process here, not a plain service that is a
target.

Services are registered and looked up by name. They start in the order of their
registration and stop in reverse order, so that a service can rely on those
registered before it from its start to its stop.
"""

from __future__ import annotations

from typing import Protocol
from typing import runtime_checkable
from typing import TypeVar

from endivepier import errors

T = TypeVar("T")


@runtime_checkable
class Startable(Protocol):
    """A service that must be started and stopped.

    Such services have tasks, connections or subscriptions of their own.
    """

    def start(self) -> None:
        """Starts the service, which is ready when this returns."""

    def stop(self) -> None:
        """Stops the service gracefully; none of its tasks run afterwards."""


@runtime_checkable
class Drainable(Protocol):
    """A service that hands over its work before the process stops."""

    def drain(self) -> None:
        """Hands over; the service still serves requests meanwhile."""


class Kernel:
    """A registry of named services."""

    def __init__(self) -> None:
        self._services: dict[str, object] = {}
        self._started: list[Startable] = []

    def register(self, name: str, service: T) -> T:
        """Adds `service` under `name` and returns it.

        Raises:
            ValueError: if the name is already registered.
        """
        if name in self._services:
            raise ValueError(
                f"service {name!r} is already registered; use another name"
            )
        self._services[name] = service
        return service

    def find(self, name: str, kind: type[T]) -> T:
        """Returns the service registered as `name`.

        Raises:
            errors.ServiceNotFoundError: if there is none of type `kind`.
        """
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise errors.ServiceNotFoundError(
                f"no service {name!r} of type {kind.__name__}; "
                f"registered: {', '.join(self._services) or 'none'}"
            )
        return service

    def start(self) -> None:
        """Starts the services in order; if one fails, stops those started."""
        try:
            for service in self._services.values():
                if isinstance(service, Startable):
                    service.start()
                    self._started.append(service)
        except BaseException:
            self.stop()
            raise

    def drain(self) -> None:
        """Drains the services in reverse order of registration."""
        for service in reversed(self._services.values()):
            if isinstance(service, Drainable):
                service.drain()

    def stop(self) -> None:
        """Stops the started services in reverse order."""
        while self._started:
            self._started.pop().stop()
