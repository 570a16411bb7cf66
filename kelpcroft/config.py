"""The environment and its JSON as one typed Config.  What cannot be used is named by its key."""

from __future__ import annotations

import resource
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson

from kelpcroft.core.descriptors import MIN_DESCRIPTORS as LEAST_SOCKETS
from kelpcroft.core.inputs import ConfigFileRead, WatchResponse
from kelpcroft.decision.interface import Settings, SettingsError
from kelpcroft.deployment_check import Diagnostic, check_configuration
from kelpcroft.deployment_check.known_keys import parse_host_port
from kelpcroft.diagnostics import Severity
from kelpcroft.net.feed_codec import FeedError, parse_watch_response
from kelpcroft.settings_wire import MachineKinds, parse_settings

NS_PER_MS = 1_000_000
MAX_CONFIG_FILE_BYTES = 16 << 20  # bytes of a configuration read again


class ConfigError(ValueError):
    """A value that cannot be used; the text names its key."""


Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Config:
    """All that a router is told at its start."""

    name: str
    listen_address: Address
    feed_address: Address
    max_descriptors: int
    memory_mb: int
    max_attempts_per_connection: int  # attempts that one connection to a server carries
    server_idle_timeout_ns: int  # servers close a connection that has been idle for so long
    connect_timeout_ns: int
    settings: Settings
    kinds: MachineKinds
    initial_endpoints: WatchResponse
    is_tracing: bool = False  # ROUTER_TRACE=1: every step of every attempt goes to the log
    control_address: Address | None = None  # the control address, if any
    inherited_listener_fd: int | None = (
        None  # ROUTER_FD: a listening socket's descriptor, served on and not bound
    )
    state_dir: str = ""  # $TMPDIR: where a process leaves its state of service for the next
    raw: dict[str, Any] = field(default_factory=dict, compare=False, repr=False)  # the file as it was read
    warnings: tuple[Diagnostic, ...] = ()  # what is odd in it, and starts all the same


def parse_address(key: str, text: Any) -> Address:
    """``host:port`` as a socket wants it."""
    found = parse_host_port(text)
    if found is None:
        raise ConfigError(f"{key}: {text!r} is not an address as host:port")
    return found


def require_number(key: str, value: Any, least: int, default: int | None = None) -> int:
    """A number of at least so much."""
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < least:
        raise ConfigError(f"{key}: {value!r} is not a number of at least {least}")
    return int(value)


def require_object(key: str, value: Any) -> dict[str, Any]:
    """A JSON object."""
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: {'is missing' if value is None else 'is not an object'}")
    return value


def load_config(environ: Mapping[str, str]) -> Config:
    """Read the environment, and the file that it names.  Raises ConfigError with a line for each fault."""
    path = environ.get("ROUTER_CONFIG", "")
    if not path:
        raise ConfigError("ROUTER_CONFIG: is not set")
    try:
        raw = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"ROUTER_CONFIG: {path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"ROUTER_CONFIG: {path}: {error}") from error
    found = check_configuration(require_object("ROUTER_CONFIG", raw))
    faults = [f"{f}" for f in found if f.level == "fault"]
    if faults:
        raise ConfigError("\nconfiguration: ".join(faults))
    return limit_to_system_descriptors(
        replace(parse_config(raw, environ), warnings=tuple(found)), descriptors()
    )


def descriptors() -> int:
    """How many descriptors the system lets this process have."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


def limit_to_system_descriptors(config: Config, most: int) -> Config:
    """A configuration that counts on no more descriptors than the system gives.  The settings may say more:
    who counts on those fails on the first that is not there, with clients already taken."""
    if config.max_descriptors <= most:
        return config
    if most < LEAST_SOCKETS:
        raise ConfigError(
            f"limits.sockets: the system gives this process {most} descriptors; "
            f"{LEAST_SOCKETS} at the least would do"
        )
    doubt = Diagnostic(
        "limits.sockets",
        f"{config.max_descriptors}, but the system gives {most}",
        f"a limit of that many; {most} are counted on",
        Severity.DOUBT,
    )
    return replace(config, max_descriptors=most, warnings=(*config.warnings, doubt))


def reread_config(environ: Mapping[str, str]) -> ConfigFileRead:
    """The file's bytes once more, for the reducer to check (``kelpcroft.config_reload``); files are
    1 MB at most."""
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
    """The JSON's values; ROUTER_NAME and ROUTER_LISTEN go before what it says."""
    limits = require_object("limits", raw.get("limits", {}))
    options = require_object("settings", raw.get("settings"))
    try:
        seed = int(raw.get("seed", "0"), 16)
    except (TypeError, ValueError) as error:
        raise ConfigError(f"seed: {raw.get('seed')!r} is not a hexadecimal number") from error
    try:
        settings = parse_settings(options, seed)
        kinds = MachineKinds(options)
    except SettingsError as error:
        raise ConfigError(f"settings.{error}") from error
    except KeyError as error:
        raise ConfigError(f"settings: {error} is missing") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from error
    lim = require_object("settings.limits", options.get("limits", {}))
    try:
        known = parse_watch_response(require_object("known", raw.get("known")))
        if known.unusable_events:
            raise FeedError(known.unusable_events[0])
    except FeedError as error:
        raise ConfigError(f"known: {error}") from error
    name = environ.get("ROUTER_NAME") or raw.get("name")
    if not isinstance(name, str) or not name:
        raise ConfigError("name: is missing, and so is ROUTER_NAME")
    listen = environ.get("ROUTER_LISTEN")
    mgmt = environ.get("ROUTER_MGMT") or raw.get("mgmt")
    fd = environ.get("ROUTER_FD", "")
    if fd and not (fd.isascii() and fd.isdigit() and len(fd) < 8):
        raise ConfigError(f"ROUTER_FD: {fd[:40]!r} is not the number of a descriptor")
    return Config(
        name=name,
        listen_address=parse_address("ROUTER_LISTEN" if listen else "listen", listen or raw.get("listen")),
        feed_address=parse_address("feed", raw.get("feed")),
        max_descriptors=require_number("limits.sockets", limits.get("sockets"), LEAST_SOCKETS, 1024),
        memory_mb=require_number("limits.memory_mb", limits.get("memory_mb"), 1, 192),
        max_attempts_per_connection=require_number(
            "settings.limits.max_streams", lim.get("max_streams"), 1, 1
        ),
        server_idle_timeout_ns=require_number("settings.limits.conn_idle_ns", lim.get("conn_idle_ns"), 0, 0),
        connect_timeout_ns=require_number(
            "settings.limits.dial_timeout_ns", lim.get("dial_timeout_ns"), 1, 400 * NS_PER_MS
        ),
        settings=settings,
        kinds=kinds,
        initial_endpoints=known,
        is_tracing=environ.get("ROUTER_TRACE") == "1",
        raw=raw,
        control_address=parse_address("ROUTER_MGMT" if environ.get("ROUTER_MGMT") else "mgmt", mgmt)
        if mgmt
        else None,
        inherited_listener_fd=int(fd) if fd else None,
        state_dir=environ.get("TMPDIR", ""),
    )
