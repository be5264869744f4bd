"""Clients for the services of the platform."""

from __future__ import annotations

import dataclasses

from endivepier import settings
from endivepier.storage import http_hosts
from endivepier.storage import http_objects
from endivepier.storage import http_table
from endivepier.storage import ports
from endivepier.telemetry import spans


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Clients for all services of the platform.

    Attributes:
        table: the table service.
        objects: the object store.
        hosts: the list of hosts.
    """

    table: ports.Table
    objects: ports.Objects
    hosts: ports.HostList


def make_http_platform(
    cfg: settings.ProcessSettings, tracer: spans.Tracer
) -> Platform:
    """Returns HTTP clients for the service URLs in the settings."""
    return Platform(
        table=http_table.HttpTable(cfg.table_url, tracer),
        objects=http_objects.HttpObjects(cfg.objects_url),
        hosts=http_hosts.HttpHostList(cfg.hosts_url),
    )
