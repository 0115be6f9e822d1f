"""Settings of a process, read from a TOML file into typed data classes.

Loading has these phases: parse the file as TOML; convert the data into data classes, which checks
names, types and ranges; check that addresses are IP addresses; check the rules that involve several
keys.  The first failure is reported as one line, `FILE: KEY: reason (code NAME)`, and the whole
file is rejected.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Final

import msgspec
from returns.result import Failure, Result, Success

from jacinthreel_common import Fault, Name, ResultCode, convert, parse_ip

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
RatePerS = Annotated[int, msgspec.Meta(ge=1, le=10_000)]

UNSPECIFIED_ADDRESSES: Final = frozenset({"0.0.0.0", "::"})
SETTINGS_EXIT_STATUS: Final = 2

_PATH_SUFFIX = re.compile(r" - at `\$\.?(?P<path>[^`]*)`$")
_MISSING_FIELD = re.compile(r"missing required field `(?P<field>[^`]*)`")
_UNKNOWN_FIELD = re.compile(r"^unknown field \$\.(?P<path>.*)$")


class LogLevel(StrEnum):
    """The lowest severity that is written to the log."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Address and port of a platform service."""

    address: str
    port: Port


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Ports of the router role."""

    http_port: Port
    stream_port: Port


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Ports of the scheduler role; `http_port` serves health and metrics."""

    http_port: Port
    stream_port: Port


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Endpoints of the platform's services."""

    table: Endpoint
    objects: Endpoint
    hosts: Endpoint


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """Rows per second that one process may write to or read from the table service."""

    router_writes_per_s: RatePerS = 25
    scheduler_writes_per_s: RatePerS = 150
    reads_per_s: RatePerS = 100


@dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """Graceful shutdown, in milliseconds.

    `balancer_pause_ms` is how long a router continues to serve after `/readyz` starts to fail;
    `drain_limit_ms` bounds the wait for requests and calls in progress.
    """

    balancer_pause_ms: Annotated[int, msgspec.Meta(ge=0, le=600_000)] = 3_000
    drain_limit_ms: Annotated[int, msgspec.Meta(ge=0, le=3_600_000)] = 60_000


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a process.

    `advertise_address` is the address that other hosts connect to; the default is `bind_address`.
    """

    host_id: Name
    region: Name
    zone: Name
    bind_address: str
    router: RouterSettings
    scheduler: SchedulerSettings
    platform: PlatformSettings
    advertise_address: str = ""
    log_level: LogLevel = LogLevel.INFO
    budgets: BudgetSettings = field(default_factory=BudgetSettings)
    shutdown: ShutdownSettings = field(default_factory=ShutdownSettings)

    @property
    def public_address(self) -> str:
        """The address that other hosts connect to: `advertise_address` or `bind_address`."""
        return self.advertise_address or self.bind_address


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """A settings failure, with its file and key."""

    file: str
    key: str
    fault: Fault

    def line(self) -> str:
        """Returns the failure as a one-line message for users."""
        code = self.fault.code
        return f"{self.file}: {self.key}: {self.fault.detail} ({code.value} {code.name})"


def load_settings(path: str) -> Result[Settings, SettingsFault]:
    """Reads and validates a settings file.

    Errors: BAD_SETTINGS for an unreadable file or conflicting keys, MALFORMED_BODY for invalid
    TOML, UNKNOWN_FIELD, WRONG_TYPE, OUT_OF_RANGE, NOT_AN_IP.
    """
    try:
        text = Path(path).read_bytes().decode()
    except OSError as error:
        reason = error.strerror or "can't be read"
        return _failure(path, "file", ResultCode.BAD_SETTINGS, reason)
    except UnicodeDecodeError:
        return _failure(path, "file", ResultCode.MALFORMED_BODY, "not UTF-8")
    try:
        data = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return _failure(path, "file", ResultCode.MALFORMED_BODY, f"not TOML: {error}")
    match convert(Settings, data):
        case Success(settings):
            return _validate(path, settings)
        case Failure(Fault() as fault):
            key, detail = _split_key(fault.detail)
            return _failure(path, key, fault.code, detail)
        case _:
            raise AssertionError("a Result is Success or Failure")


def _validate(path: str, settings: Settings) -> Result[Settings, SettingsFault]:
    for key, address in _iter_addresses(settings):
        match parse_ip(address):
            case Failure(Fault() as fault):
                return _failure(path, key, fault.code, fault.detail)
    if settings.public_address in UNSPECIFIED_ADDRESSES:
        reason = "needed, since bind_address stands for every address"
        return _failure(path, "advertise_address", ResultCode.BAD_SETTINGS, reason)
    keys_by_port: dict[int, str] = {}
    for key, port in _iter_ports(settings):
        if port in keys_by_port:
            reason = f"port {port} is taken by {keys_by_port[port]}"
            return _failure(path, key, ResultCode.BAD_SETTINGS, reason)
        keys_by_port[port] = key
    return Success(settings)


def _iter_addresses(settings: Settings) -> Iterator[tuple[str, str]]:
    yield "bind_address", settings.bind_address
    if settings.advertise_address:
        yield "advertise_address", settings.advertise_address
    yield "platform.table.address", settings.platform.table.address
    yield "platform.objects.address", settings.platform.objects.address
    yield "platform.hosts.address", settings.platform.hosts.address


def _iter_ports(settings: Settings) -> Iterator[tuple[str, int]]:
    yield "router.http_port", settings.router.http_port
    yield "router.stream_port", settings.router.stream_port
    yield "scheduler.http_port", settings.scheduler.http_port
    yield "scheduler.stream_port", settings.scheduler.stream_port


def _split_key(detail: str) -> tuple[str, str]:
    """Splits a conversion error into its key and the reason.

    >>> _split_key("Expected `int`, got `str` - at `$.router.http_port`")
    ('router.http_port', 'Expected `int`, got `str`')
    >>> _split_key("Object missing required field `zone`")
    ('zone', 'missing')
    """
    if unknown := _UNKNOWN_FIELD.match(detail):
        return unknown["path"], "unknown field"
    path = ""
    if suffix := _PATH_SUFFIX.search(detail):
        path, detail = suffix["path"], detail[: suffix.start()]
    if missing := _MISSING_FIELD.search(detail):
        return ".".join(filter(None, (path, missing["field"]))), "missing"
    return path or "file", detail


def _failure(path: str, key: str, code: ResultCode, reason: str) -> Failure[SettingsFault]:
    return Failure(SettingsFault(path, key, Fault(code, " ".join(reason.split()))))
