"""Settings of the daemons, from flags and environment variables.

The flag `--table-url` and the variable `ENDIVEPIER_TABLE_URL` both set the
field `table_url`; the flag takes precedence. Settings are validated when they
are loaded; the error for an invalid one has its name, its value (hidden for a
secret) and the reason.
"""

from __future__ import annotations

import argparse
from collections.abc import Mapping
import enum
import re
from typing import Annotated
from typing import Any
from typing import TypeVar

import pydantic

from endivepier import errors
from endivepier.telemetry import spans

VARIABLE_PREFIX = "ENDIVEPIER_"
MIN_SECRET_LENGTH = 16
ADDRESS_PATTERN = re.compile(
    r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}", re.IGNORECASE
)
URL_PATTERN = re.compile(r"https?://[^\s/]+(/\S*)?")


def _check_address(value: str) -> str:
    if ADDRESS_PATTERN.fullmatch(value) is None:
        raise ValueError("write it as <IP number>:<port>, as in 10.0.0.5:8080")
    return value


def _check_url(value: str) -> str:
    if URL_PATTERN.fullmatch(value) is None:
        raise ValueError("write it as http://<IP number>:<port>")
    return value.rstrip("/")


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Url = Annotated[str, pydantic.AfterValidator(_check_url)]


class ProcessSettings(pydantic.BaseModel):
    """Settings that all daemons have in common."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    listen: Address = pydantic.Field(
        description="IP number and port to listen on"
    )
    advertise: str = pydantic.Field(
        "",
        description="address at which other processes reach this one, if it "
        "differs from --listen",
    )
    data_centre: str = pydantic.Field(
        min_length=1, description="name of the data centre of this host"
    )
    table_url: Url = pydantic.Field(
        description="URL of the platform's table service"
    )
    objects_url: Url = pydantic.Field(
        description="URL of the platform's object store"
    )
    hosts_url: Url = pydantic.Field(
        description="URL of the platform's host list"
    )
    fleet_secret: pydantic.SecretStr = pydantic.Field(
        min_length=MIN_SECRET_LENGTH,
        description="secret shared by all processes of the fleet; "
        "set it by the environment variable",
    )
    drain_seconds: float = pydantic.Field(
        3.0,
        ge=0,
        description="seconds to keep listening after SIGTERM, until load "
        "balancers and other processes stop sending requests",
    )
    stop_seconds: float = pydantic.Field(
        90.0,
        ge=0,
        description="maximum seconds to wait for running requests to end, "
        "once --drain-seconds have passed",
    )
    memory_mb: float = pydantic.Field(
        256.0,
        gt=0,
        description="memory that this process may use, in megabytes; what "
        "clients hold is limited to parts of it",
    )
    max_sockets: int = pydantic.Field(
        1024,
        gt=0,
        description="maximum number of sockets, in both directions",
    )
    trace_export: spans.Exporter = pydantic.Field(
        spans.Exporter.NONE, description="where spans go: none, console, otlp"
    )
    trace_endpoint: str = pydantic.Field(
        "", description="URL of the OTLP collector"
    )


class EntrySettings(ProcessSettings):
    """Settings of `endivepier entry`."""

    tls_certificate: str = pydantic.Field(
        "", description="path of a PEM certificate for callers; empty for HTTP"
    )
    tls_key: str = pydantic.Field(
        "", description="path of the certificate's private key"
    )
    caller_listen: Address = pydantic.Field(
        description="IP number and port that callers and operators use"
    )
    body_limit: int = pydantic.Field(
        8 * 1024 * 1024,
        gt=0,
        description="maximum size of a request body, in bytes",
    )
    call_seconds: float = pydantic.Field(
        60.0, gt=0, description="time limit for one call, in seconds"
    )
    bootstrap_digest: str = pydantic.Field(
        "",
        pattern="^([0-9a-f]{64})?$",
        description="SHA-256 of the operator key that is in force until the "
        "first release note grants one",
    )


class TargetKind(enum.StrEnum):
    """The kind of a target."""

    ENGINE = "engine"
    SERVICE = "service"


class SidecarSettings(ProcessSettings):
    """Settings of `endivepier sidecar`."""

    target_kind: TargetKind = pydantic.Field(
        description="kind of the target: engine or service"
    )

    target: str = pydantic.Field(
        min_length=1, description="name of the target beside this process"
    )
    target_url: Url = pydantic.Field(description="URL of that target")
    slots: int = pydantic.Field(
        8, gt=0, description="maximum number of requests running at the target"
    )
    queue_limit: int = pydantic.Field(
        512, gt=0, description="maximum number of requests in the queue"
    )


T = TypeVar("T", bound=ProcessSettings)


def add_flags(
    parser: argparse.ArgumentParser, kind: type[pydantic.BaseModel]
) -> None:
    """Adds a flag for each setting of `kind`."""
    for name, field in kind.model_fields.items():
        variable = VARIABLE_PREFIX + name.upper()
        default = "" if field.is_required() else f"; default {field.default!r}"
        parser.add_argument(
            "--" + name.replace("_", "-"),
            dest=name,
            default=None,
            help=f"{field.description} ({variable}{default})".replace(
                "%", "%%"
            ),
        )


def load(
    kind: type[T], flags: Mapping[str, Any], environ: Mapping[str, str]
) -> T:
    """Returns the settings given by flags and environment variables.

    Args:
        kind: the class of settings.
        flags: values of flags by field name; None if a flag is not given.
        environ: the environment variables.

    Raises:
        errors.SettingsError: a setting is missing or invalid.
    """
    values: dict[str, Any] = {}
    for name in kind.model_fields:
        variable = VARIABLE_PREFIX + name.upper()
        if flags.get(name) is not None:
            values[name] = flags[name]
        elif variable in environ:
            values[name] = environ[variable]
    try:
        return kind.model_validate(values)
    except pydantic.ValidationError as exc:
        raise errors.SettingsError(_explain(kind, exc)) from None


def _explain(
    kind: type[pydantic.BaseModel], exc: pydantic.ValidationError
) -> str:
    """Returns a line for each fault, with name, value and fix."""
    lines = []
    for fault in exc.errors(include_url=False):
        name = str(fault["loc"][0])
        flag = "--" + name.replace("_", "-")
        variable = VARIABLE_PREFIX + name.upper()
        if fault["type"] == "missing":
            description = kind.model_fields[name].description
            lines.append(f"set {flag} or {variable}: {description}")
            continue
        value = "(hidden)" if "secret" in name else repr(fault["input"])
        lines.append(f"{flag} ({variable}) is {value}: {fault['msg']}")
    return "\n".join(lines)
