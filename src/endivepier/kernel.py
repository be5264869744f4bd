"""The micro-kernel: services register by name and find each other by name.

A daemon is a kernel with a list of services. Services start in the order in
which they were registered and stop in the reverse order, so that a service
may use whatever was registered before it during its whole life.
"""

from __future__ import annotations

from typing import Protocol
from typing import runtime_checkable
from typing import TypeVar

from endivepier import errors

T = TypeVar("T")


@runtime_checkable
class Startable(Protocol):
    """A service with a life of its own: tasks, connections, subscriptions."""

    def start(self) -> None:
        """Starts the service; it must be ready when this returns."""

    def stop(self) -> None:
        """Stops the service gracefully; nothing of it runs afterwards."""


@runtime_checkable
class Drainable(Protocol):
    """A service that has something to hand over before the process stops."""

    def drain(self) -> None:
        """Hands over; the service still answers while this runs."""


class Kernel:
    """A registry of named services."""

    def __init__(self) -> None:
        self._services: dict[str, object] = {}
        self._started: list[Startable] = []

    def register(self, name: str, service: T) -> T:
        """Adds `service` under `name` and returns it.

        Raises:
            ValueError: if the name is taken.
        """
        if name in self._services:
            raise ValueError(
                f"service {name!r} is registered already; take another name"
            )
        self._services[name] = service
        return service

    def find(self, name: str, kind: type[T]) -> T:
        """Returns the service called `name`.

        Raises:
            errors.ServiceNotFoundError: if there is none of that kind.
        """
        service = self._services.get(name)
        if not isinstance(service, kind):
            raise errors.ServiceNotFoundError(
                f"no service {name!r} of type {kind.__name__}; "
                f"registered: {', '.join(self._services) or 'none'}"
            )
        return service

    def start(self) -> None:
        """Starts the services in order; on a failure stops what had started."""
        try:
            for service in self._services.values():
                if isinstance(service, Startable):
                    service.start()
                    self._started.append(service)
        except BaseException:
            self.stop()
            raise

    def drain(self) -> None:
        """Has the services hand over, in reverse order."""
        for service in reversed(self._services.values()):
            if isinstance(service, Drainable):
                service.drain()

    def stop(self) -> None:
        """Stops the started services in reverse order."""
        while self._started:
            self._started.pop().stop()
