"""Typed configuration from the environment and a JSON file.  Errors name the key of the unusable value."""

from __future__ import annotations

import resource
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from kelpcroft.config_reload import check_file, decode_config
from kelpcroft.core.descriptors import MIN_DESCRIPTORS
from kelpcroft.core.inputs import AcceptedConfig, ConfigFileRead, WatchResponse
from kelpcroft.decision.interface import Settings, SettingsError
from kelpcroft.deployment_check import Diagnostic
from kelpcroft.deployment_check.known_keys import parse_host_port
from kelpcroft.diagnostics import Severity
from kelpcroft.net.feed_codec import FeedError, parse_watch_response
from kelpcroft.settings_wire import MachineKinds, parse_settings

NS_PER_MS = 1_000_000
MAX_CONFIG_FILE_BYTES = 16 << 20  # size of a configuration file that is read again
MAX_DESCRIPTOR_DIGITS = 7  # digits in the value of ROUTER_FD
DEFAULT_MAX_DESCRIPTORS = 1024  # used without limits.sockets
DEFAULT_MEMORY_MB = 192  # used without limits.memory_mb
# Used without settings.limits.dial_timeout_ns.
DEFAULT_CONNECT_TIMEOUT_NS = 400 * NS_PER_MS

Address = tuple[str, int]  # host and port


class ConfigError(ValueError):
    """A value cannot be used; the message names its key."""


class RefusedFileError(ConfigError):
    """A configuration file cannot be used; the message has a line for each error."""

    def __init__(self, path: str, diagnostics: list[Diagnostic]) -> None:
        super().__init__("\nconfiguration: ".join(str(diagnostic) for diagnostic in diagnostics))
        self.path = path
        self.diagnostics = tuple(diagnostics)


# Returns the configuration that the predecessor of a router accepted last: folder ($TMPDIR) and name of the
# router; None if no predecessor runs.
ReadAcceptedConfig = Callable[[str, str], AcceptedConfig | None]


@dataclass(frozen=True, slots=True)
class RefusedFile:
    """The configuration file of a start that was not used, because the predecessor's was used instead."""

    path: str
    diagnostics: tuple[Diagnostic, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration that a router starts with.

    Attributes:
        name: Name of the router.
        listen_address: Address for clients.
        feed_address: Address that publishes the list of servers and the purges.
        max_descriptors: Maximum number of file descriptors that the process uses.
        memory_mb: Memory limit of the process.
        max_attempts_per_connection: Maximum number of attempts in flight on one connection to a server.
        server_idle_timeout_ns: Idle time after which servers close a connection.
        connect_timeout_ns: Connect timeout of connections to servers.
        settings: Settings of the decision package.
        machine_kinds: Kinds of machines that the settings name, and their roles.
        initial_endpoints: The servers known before the feed's first response.
        is_tracing: Whether every step of every attempt is logged (ROUTER_TRACE=1).
        control_address: Address for control clients; None = the router has none.
        inherited_listener_fd: Descriptor of an inherited listening socket, used instead of binding one
            (ROUTER_FD).
        state_dir: Folder in which a process stores its service state for its successor ($TMPDIR).
        raw: The JSON of the file.
        required: The JSON whose keys a file that is read again must have.
        refused: The file that was not used; ``raw`` is then what the predecessor accepted last.
        warnings: Diagnostics of the file that do not prevent the start.
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
    machine_kinds: MachineKinds
    initial_endpoints: WatchResponse
    is_tracing: bool = False
    control_address: Address | None = None
    inherited_listener_fd: int | None = None
    state_dir: str = ""
    raw: dict[str, Any] = field(default_factory=dict, compare=False, repr=False)
    required: dict[str, Any] = field(default_factory=dict, compare=False, repr=False)
    warnings: tuple[Diagnostic, ...] = ()
    refused: RefusedFile | None = None


def parse_address(key: str, text: Any) -> Address:
    """Parse ``host:port`` into an address for a socket.

    Args:
        key: Key or variable for the error message.
        text: The value as read.

    Raises:
        ConfigError: The value is not an address.
    """
    address = parse_host_port(text)
    if address is None:
        raise ConfigError(f"{key}: {text!r} is not an address as host:port")
    return address


def require_number(key: str, value: Any, minimum: int, default: int | None = None) -> int:
    """Return a number of at least ``minimum`` as an int; raises ConfigError for any other value.

    Args:
        key: Key for the error message.
        value: The value as read; None = missing.
        minimum: The lowest accepted value.
        default: Returned for a missing value; None = the value is required.
    """
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < minimum:
        raise ConfigError(f"{key}: {value!r} is not a number of at least {minimum}")
    return int(value)


def require_object(key: str, value: Any) -> dict[str, Any]:
    """Return a value that is a JSON object; raises ConfigError for any other value."""
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: {'is missing' if value is None else 'is not an object'}")
    return value


def load_config(environ: Mapping[str, str], read_accepted: ReadAcceptedConfig | None = None) -> Config:
    """Read the environment and the file that it names.

    In an upgrade, a file is refused as its predecessor would refuse it at a reload; the configuration that
    the predecessor accepted last is used instead.

    Args:
        environ: The environment.
        read_accepted: Reads what the predecessor accepted last; None = there is no predecessor.

    Raises:
        ConfigError: The file cannot be used, and there is no predecessor; the message has a line for each
            error.
    """
    read = reread_config(environ)
    if not read.path:
        raise ConfigError("ROUTER_CONFIG: is not set")
    accepted = find_accepted_config(read, environ, read_accepted)
    try:
        config = config_of_file(read, environ, accepted)
    except RefusedFileError as error:
        if accepted is None:
            raise
        refused = RefusedFile(error.path, error.diagnostics)
        config = parse_config(accepted.config, environ)
        config = replace(config, required=accepted.required, refused=refused)
    return limit_to_system_descriptors(config, system_descriptors())


def find_accepted_config(
    read: ConfigFileRead, environ: Mapping[str, str], read_accepted: ReadAcceptedConfig | None
) -> AcceptedConfig | None:
    """Return what the predecessor accepted last; None without a shared listening socket or a predecessor."""
    folder = environ.get("TMPDIR", "")
    if read_accepted is None or not folder or not environ.get("ROUTER_FD"):
        return None
    raw = decode_config(read.data or b"")[0] or {}
    name = environ.get("ROUTER_NAME") or raw.get("name")
    return read_accepted(folder, name) if isinstance(name, str) and name else None


def config_of_file(
    read: ConfigFileRead, environ: Mapping[str, str], accepted: AcceptedConfig | None
) -> Config:
    """Check and parse a file.

    Raises:
        RefusedFileError: The file cannot be used.
    """
    if read.data is None:
        raise RefusedFileError(read.path, [Diagnostic("ROUTER_CONFIG", read.reason, "must be readable")])
    raw, diagnostics = check_file(read.data, accepted.required if accepted else None)
    if raw is None:
        raise RefusedFileError(read.path, diagnostics)
    try:
        return replace(parse_config(raw, environ), warnings=tuple(diagnostics))
    except ConfigError as error:
        place, _, found = str(error).partition(": ")
        raise RefusedFileError(
            read.path, [Diagnostic(place, found, "must be a value that the router can use")]
        ) from error


def system_descriptors() -> int:
    """Return the number of file descriptors that the system allows this process."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


def limit_to_system_descriptors(config: Config, available: int) -> Config:
    """Return the configuration with ``max_descriptors`` reduced to what the system allows.

    The settings may allow more than that.  A process that relied on them would fail at the first descriptor
    that it cannot get, when it has already accepted clients.

    Raises:
        ConfigError: The system allows fewer than MIN_DESCRIPTORS.
    """
    if config.max_descriptors <= available:
        return config
    if available < MIN_DESCRIPTORS:
        raise ConfigError(
            f"limits.sockets: the system gives this process {available} descriptors; "
            f"must be at least {MIN_DESCRIPTORS}"
        )
    warning = Diagnostic(
        "limits.sockets",
        f"{config.max_descriptors}, but the system gives {available}",
        f"must be at most {available}, the number that is used",
        Severity.WARNING,
    )
    return replace(config, max_descriptors=available, warnings=(*config.warnings, warning))


def reread_config(environ: Mapping[str, str]) -> ConfigFileRead:
    """Return the file's bytes, read again for the reducer to check, or why there are none.

    A file of over MAX_CONFIG_FILE_BYTES counts as unreadable.
    """
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
    """Parse the JSON's values; ROUTER_NAME, ROUTER_LISTEN and ROUTER_MGMT override them.

    Raises:
        ConfigError: A value cannot be used; the message names the key of the first.
    """
    limits = require_object("limits", raw.get("limits", {}))
    options = require_object("settings", raw.get("settings"))
    settings, machine_kinds = parse_decision_settings(options, parse_seed(raw))
    server_limits = require_object("settings.limits", options.get("limits", {}))
    initial_endpoints = parse_initial_endpoints(raw)
    name = parse_name(raw, environ)
    inherited_listener_fd = parse_inherited_fd(environ)
    # Of several errors the first in this order is reported.
    return Config(
        name=name,
        listen_address=parse_overridden_address("listen", "ROUTER_LISTEN", raw, environ),
        feed_address=parse_address("feed", raw.get("feed")),
        max_descriptors=parse_limit("limits", limits, "sockets", MIN_DESCRIPTORS, DEFAULT_MAX_DESCRIPTORS),
        memory_mb=parse_limit("limits", limits, "memory_mb", 1, DEFAULT_MEMORY_MB),
        max_attempts_per_connection=parse_limit("settings.limits", server_limits, "max_streams", 1, 1),
        server_idle_timeout_ns=parse_limit("settings.limits", server_limits, "conn_idle_ns", 0, 0),
        connect_timeout_ns=parse_limit(
            "settings.limits", server_limits, "dial_timeout_ns", 1, DEFAULT_CONNECT_TIMEOUT_NS
        ),
        settings=settings,
        machine_kinds=machine_kinds,
        initial_endpoints=initial_endpoints,
        is_tracing=environ.get("ROUTER_TRACE") == "1",
        raw=raw,
        required=raw,
        control_address=parse_control_address(raw, environ),
        inherited_listener_fd=inherited_listener_fd,
        state_dir=environ.get("TMPDIR", ""),
    )


def parse_limit(place: str, limits: dict[str, Any], key: str, minimum: int, default: int) -> int:
    """Return one number of a table of limits; ``place`` is the table's path for the error message."""
    return require_number(f"{place}.{key}", limits.get(key), minimum, default)


def parse_seed(raw: dict[str, Any]) -> int:
    """Return the seed, a hexadecimal number; 0 if it is absent."""
    try:
        return int(raw.get("seed", "0"), 16)
    except (TypeError, ValueError) as error:
        raise ConfigError(f"seed: {raw.get('seed')!r} is not a hexadecimal number") from error


def parse_decision_settings(options: dict[str, Any], seed: int) -> tuple[Settings, MachineKinds]:
    """Return the decision package's settings and the kinds of machines."""
    try:
        return parse_settings(options, seed), MachineKinds(options)
    except SettingsError as error:
        raise ConfigError(f"settings.{error}") from error
    except KeyError as error:
        raise ConfigError(f"settings: {error} is missing") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from error


def parse_initial_endpoints(raw: dict[str, Any]) -> WatchResponse:
    """Return the servers known at the start, given in the feed's form; every event must be usable."""
    try:
        response = parse_watch_response(require_object("known", raw.get("known")))
    except FeedError as error:
        raise ConfigError(f"known: {error}") from error
    if response.unusable_events:
        raise ConfigError(f"known: {response.unusable_events[0]}")
    return response


def parse_name(raw: dict[str, Any], environ: Mapping[str, str]) -> str:
    """Return the router's name."""
    name = environ.get("ROUTER_NAME") or raw.get("name")
    if not isinstance(name, str) or not name:
        raise ConfigError("name: is missing, and so is ROUTER_NAME")
    return name


def parse_inherited_fd(environ: Mapping[str, str]) -> int | None:
    """Return the descriptor of the inherited listening socket, or None."""
    text = environ.get("ROUTER_FD", "")
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DESCRIPTOR_DIGITS):
        raise ConfigError(f"ROUTER_FD: {text[:40]!r} is not the number of a descriptor")
    return int(text)


def parse_overridden_address(
    key: str, variable: str, raw: dict[str, Any], environ: Mapping[str, str]
) -> Address:
    """Return an address from a variable or else from the file; the error names the one that was read."""
    text = environ.get(variable)
    return parse_address(variable if text else key, text or raw.get(key))


def parse_control_address(raw: dict[str, Any], environ: Mapping[str, str]) -> Address | None:
    """Return the control address, or None."""
    if not (environ.get("ROUTER_MGMT") or raw.get("mgmt")):
        return None
    return parse_overridden_address("mgmt", "ROUTER_MGMT", raw, environ)
