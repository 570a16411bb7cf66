"""The environment and its JSON as one typed Config.  What cannot be used is named by its key."""

from __future__ import annotations

import resource
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import orjson

from kelpcroft.core.descriptors import MIN_DESCRIPTORS
from kelpcroft.core.inputs import ConfigFileRead, WatchResponse
from kelpcroft.decision.interface import Settings, SettingsError
from kelpcroft.deployment_check import Diagnostic, check_configuration
from kelpcroft.deployment_check.known_keys import parse_host_port
from kelpcroft.diagnostics import Severity
from kelpcroft.net.feed_codec import FeedError, parse_watch_response
from kelpcroft.settings_wire import MachineKinds, parse_settings

NS_PER_MS = 1_000_000
MAX_CONFIG_FILE_BYTES = 16 << 20  # of a configuration read again
MAX_DESCRIPTOR_DIGITS = 7  # of ROUTER_FD
DEFAULT_MAX_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192
DEFAULT_CONNECT_TIMEOUT_NS = 400 * NS_PER_MS

Address = tuple[str, int]  # host and port


class ConfigError(ValueError):
    """A value that cannot be used; the text names its key."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration that a router starts with.

    Attributes:
        name: The router's own.
        listen_address: Where clients connect.
        feed_address: Where the list of servers and the purges come from.
        max_descriptors: How many file descriptors the process uses at most.
        memory_mb: The process stays under it.
        max_attempts_per_connection: That one connection to a server carries.
        server_idle_timeout_ns: Servers close a connection that has been idle for so long.
        connect_timeout_ns: A connection to a server is established within this, or given up.
        settings: For the decision module.
        kinds: The settings' kinds of machines and their roles.
        initial_endpoints: What is known of the servers before the feed has answered.
        is_tracing: Every step of every attempt goes to the log (ROUTER_TRACE=1).
        control_address: Where the control address listens; None = nowhere.
        inherited_listener_fd: A listening socket's descriptor, served on and not bound (ROUTER_FD).
        state_dir: Where a process leaves its state of service for the next ($TMPDIR).
        raw: The file as it was read.
        warnings: What is odd in it, and starts all the same.
    """

    name: str
    listen_address: Address
    feed_address: Address
    max_descriptors: int
    memory_mb: int
    max_attempts_per_connection: int
    server_idle_timeout_ns: int
    connect_timeout_ns: int
    settings: Settings
    kinds: MachineKinds
    initial_endpoints: WatchResponse
    is_tracing: bool = False
    control_address: Address | None = None
    inherited_listener_fd: int | None = None
    state_dir: str = ""
    raw: dict[str, Any] = field(default_factory=dict, compare=False, repr=False)
    warnings: tuple[Diagnostic, ...] = ()


def parse_address(key: str, text: Any) -> Address:
    """``host:port`` as a socket wants it.

    Args:
        key: Named in the error.
        text: As it was read.

    Raises:
        ConfigError: It is no such text.
    """
    address = parse_host_port(text)
    if address is None:
        raise ConfigError(f"{key}: {text!r} is not an address as host:port")
    return address


def require_number(key: str, value: Any, least: int, default: int | None = None) -> int:
    """A number of at least so much; raises ConfigError where it is none.

    Args:
        key: Named in the error.
        value: As it was read; None = missing.
        least: The lowest that will do.
        default: Where it is missing; None = it must be there.
    """
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < least:
        raise ConfigError(f"{key}: {value!r} is not a number of at least {least}")
    return int(value)


def require_object(key: str, value: Any) -> dict[str, Any]:
    """A JSON object; raises ConfigError where it is none."""
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: {'is missing' if value is None else 'is not an object'}")
    return value


def load_config(environ: Mapping[str, str]) -> Config:
    """Read the environment, and the file that it names.

    Raises:
        ConfigError: It cannot be used: a line for each fault.
    """
    path = environ.get("ROUTER_CONFIG", "")
    if not path:
        raise ConfigError("ROUTER_CONFIG: is not set")
    try:
        with open(path, "rb") as file:
            raw = orjson.loads(file.read())
    except OSError as error:
        raise ConfigError(f"ROUTER_CONFIG: {path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"ROUTER_CONFIG: {path}: {error}") from error
    diagnostics = check_configuration(require_object("ROUTER_CONFIG", raw))
    faults = [f"{diagnostic}" for diagnostic in diagnostics if diagnostic.level == "fault"]
    if faults:
        raise ConfigError("\nconfiguration: ".join(faults))
    config = replace(parse_config(raw, environ), warnings=tuple(diagnostics))
    return limit_to_system_descriptors(config, system_descriptors())


def system_descriptors() -> int:
    """How many descriptors the system lets this process have."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


def limit_to_system_descriptors(config: Config, available: int) -> Config:
    """A configuration that counts on no more descriptors than the system gives.

    The settings may name more: a process that counts on those fails on the first that is not there, with
    clients already taken.

    Raises:
        ConfigError: The system gives too few to serve with.
    """
    if config.max_descriptors <= available:
        return config
    if available < MIN_DESCRIPTORS:
        raise ConfigError(
            f"limits.sockets: the system gives this process {available} descriptors; "
            f"{MIN_DESCRIPTORS} at the least would do"
        )
    warning = Diagnostic(
        "limits.sockets",
        f"{config.max_descriptors}, but the system gives {available}",
        f"a limit of that many; {available} are counted on",
        Severity.WARNING,
    )
    return replace(config, max_descriptors=available, warnings=(*config.warnings, warning))


def reread_config(environ: Mapping[str, str]) -> ConfigFileRead:
    """The file's bytes once more, for the reducer to check; MAX_CONFIG_FILE_BYTES of them at most."""
    path = environ.get("ROUTER_CONFIG", "")
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_CONFIG_FILE_BYTES + 1)
    except OSError as error:
        return ConfigFileRead(path, None, f"{path}: {error.strerror}")
    if len(data) > MAX_CONFIG_FILE_BYTES:
        return ConfigFileRead(path, None, f"{path}: is over {MAX_CONFIG_FILE_BYTES} bytes")
    return ConfigFileRead(path, data)


def parse_config(raw: dict[str, Any], environ: Mapping[str, str]) -> Config:
    """The JSON's values; ROUTER_NAME, ROUTER_LISTEN and ROUTER_MGMT go before what it says.

    Raises:
        ConfigError: The first fault, named by its key.
    """
    limits = require_object("limits", raw.get("limits", {}))
    options = require_object("settings", raw.get("settings"))
    settings, kinds = parse_decision_settings(options, parse_seed(raw))
    server_limits = require_object("settings.limits", options.get("limits", {}))
    initial_endpoints = parse_initial_endpoints(raw)
    name = parse_name(raw, environ)
    inherited_listener_fd = parse_inherited_fd(environ)
    # Of several faults the first in this order is reported.
    return Config(
        name=name,
        listen_address=parse_overridden_address("listen", "ROUTER_LISTEN", raw, environ),
        feed_address=parse_address("feed", raw.get("feed")),
        max_descriptors=limit("limits", limits, "sockets", MIN_DESCRIPTORS, DEFAULT_MAX_DESCRIPTORS),
        memory_mb=limit("limits", limits, "memory_mb", 1, DEFAULT_MEMORY_MB),
        max_attempts_per_connection=limit("settings.limits", server_limits, "max_streams", 1, 1),
        server_idle_timeout_ns=limit("settings.limits", server_limits, "conn_idle_ns", 0, 0),
        connect_timeout_ns=limit(
            "settings.limits", server_limits, "dial_timeout_ns", 1, DEFAULT_CONNECT_TIMEOUT_NS
        ),
        settings=settings,
        kinds=kinds,
        initial_endpoints=initial_endpoints,
        is_tracing=environ.get("ROUTER_TRACE") == "1",
        raw=raw,
        control_address=parse_control_address(raw, environ),
        inherited_listener_fd=inherited_listener_fd,
        state_dir=environ.get("TMPDIR", ""),
    )


def limit(place: str, limits: dict[str, Any], key: str, least: int, default: int) -> int:
    """One number of a table of limits; ``place`` names the table in the error."""
    return require_number(f"{place}.{key}", limits.get(key), least, default)


def parse_seed(raw: dict[str, Any]) -> int:
    """The seed, a hexadecimal number; 0 where there is none."""
    try:
        return int(raw.get("seed", "0"), 16)
    except (TypeError, ValueError) as error:
        raise ConfigError(f"seed: {raw.get('seed')!r} is not a hexadecimal number") from error


def parse_decision_settings(options: dict[str, Any], seed: int) -> tuple[Settings, MachineKinds]:
    """The decision module's settings, and the kinds of machines."""
    try:
        return parse_settings(options, seed), MachineKinds(options)
    except SettingsError as error:
        raise ConfigError(f"settings.{error}") from error
    except KeyError as error:
        raise ConfigError(f"settings: {error} is missing") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from error


def parse_initial_endpoints(raw: dict[str, Any]) -> WatchResponse:
    """What is known of the servers at the start, written as the feed writes it; all of it must be usable."""
    try:
        known = parse_watch_response(require_object("known", raw.get("known")))
    except FeedError as error:
        raise ConfigError(f"known: {error}") from error
    if known.unusable_events:
        raise ConfigError(f"known: {known.unusable_events[0]}")
    return known


def parse_name(raw: dict[str, Any], environ: Mapping[str, str]) -> str:
    """The router's name."""
    name = environ.get("ROUTER_NAME") or raw.get("name")
    if not isinstance(name, str) or not name:
        raise ConfigError("name: is missing, and so is ROUTER_NAME")
    return name


def parse_inherited_fd(environ: Mapping[str, str]) -> int | None:
    """The descriptor of a listening socket that the process was started with, if any."""
    text = environ.get("ROUTER_FD", "")
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DESCRIPTOR_DIGITS):
        raise ConfigError(f"ROUTER_FD: {text[:40]!r} is not the number of a descriptor")
    return int(text)


def parse_overridden_address(
    key: str, variable: str, raw: dict[str, Any], environ: Mapping[str, str]
) -> Address:
    """An address that a variable may name in the file's place; the error names where it was read."""
    text = environ.get(variable)
    return parse_address(variable if text else key, text or raw.get(key))


def parse_control_address(raw: dict[str, Any], environ: Mapping[str, str]) -> Address | None:
    """The control address, if any."""
    if not (environ.get("ROUTER_MGMT") or raw.get("mgmt")):
        return None
    return parse_overridden_address("mgmt", "ROUTER_MGMT", raw, environ)
