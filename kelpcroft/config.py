"""The environment and its JSON as one typed Config.  What cannot be used is named by its key."""

from __future__ import annotations

import resource
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson

from kelpcroft.core.descriptors import LEAST as LEAST_SOCKETS
from kelpcroft.deployment import Finding, check
from kelpcroft.deployment.known import host_port
from kelpcroft.messages import News, Reload
from kelpcroft.net.feed import FeedError, news_of
from zincgrade.interface import Settings, SettingsError
from zincgrade.simhost import Kinds, settings_of

NS_PER_MS = 1_000_000
FILE_MOST = 16 << 20  # bytes of a configuration read again


class ConfigError(ValueError):
    """A value that cannot be used; the text names its key."""


Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Config:
    """All that a router is told at its start."""

    name: str
    listen: Address
    feed: Address
    sockets: int
    memory_mb: int
    max_streams: int  # attempts that one connection to a server carries
    idle_ns: int  # servers close a connection that has been idle for so long
    dial_ns: int
    settings: Settings
    kinds: Kinds
    known: News
    trace: bool = False  # ROUTER_TRACE=1: every step of every attempt goes to the log
    mgmt: Address | None = None  # the control address, if any
    inherited: int | None = None  # ROUTER_FD: a listening socket's descriptor, served on and not bound
    state_dir: str = ""  # $TMPDIR: where a process leaves its state of service for the next
    raw: dict[str, Any] = field(default_factory=dict, compare=False, repr=False)  # the file as it was read
    doubts: tuple[Finding, ...] = ()  # what is odd in it, and starts all the same


def address_of(key: str, text: Any) -> Address:
    """``host:port`` as a socket wants it."""
    found = host_port(text)
    if found is None:
        raise ConfigError(f"{key}: {text!r} is not an address as host:port")
    return found


def number(key: str, value: Any, least: int, default: int | None = None) -> int:
    """A number of at least so much."""
    if value is None and default is not None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < least:
        raise ConfigError(f"{key}: {value!r} is not a number of at least {least}")
    return int(value)


def table(key: str, value: Any) -> dict[str, Any]:
    """A JSON object."""
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: {'is missing' if value is None else 'is not an object'}")
    return value


def load(environ: Mapping[str, str]) -> Config:
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
    found = check(table("ROUTER_CONFIG", raw))
    faults = [f"{f}" for f in found if f.level == "fault"]
    if faults:
        raise ConfigError("\nconfiguration: ".join(faults))
    return held(replace(parse(raw, environ), doubts=tuple(found)), descriptors())


def descriptors() -> int:
    """How many descriptors the system lets this process have."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if soft == resource.RLIM_INFINITY else soft


def held(config: Config, most: int) -> Config:
    """A configuration that counts on no more descriptors than the system gives.  The settings may say more:
    who counts on those fails on the first that is not there, with clients already taken."""
    if config.sockets <= most:
        return config
    if most < LEAST_SOCKETS:
        raise ConfigError(
            f"limits.sockets: the system gives this process {most} descriptors; "
            f"{LEAST_SOCKETS} at the least would do"
        )
    doubt = Finding(
        "doubt",
        "limits.sockets",
        f"{config.sockets}, but the system gives {most}",
        f"a limit of that many; {most} are counted on",
    )
    return replace(config, sockets=most, doubts=(*config.doubts, doubt))


def reread(environ: Mapping[str, str]) -> Reload:
    """The file's bytes once more, for the reducer to check (``kelpcroft.retune``); files are 1 MB at most."""
    path = environ.get("ROUTER_CONFIG", "")
    try:
        with open(path, "rb") as file:
            data = file.read(FILE_MOST + 1)
    except OSError as error:
        return Reload(path, None, f"{path}: {error.strerror}")
    if len(data) > FILE_MOST:
        return Reload(path, None, f"{path}: is over {FILE_MOST} bytes")
    return Reload(path, data)


def parse(raw: dict[str, Any], environ: Mapping[str, str]) -> Config:
    """The JSON's values; ROUTER_NAME and ROUTER_LISTEN go before what it says."""
    limits = table("limits", raw.get("limits", {}))
    options = table("settings", raw.get("settings"))
    try:
        seed = int(raw.get("seed", "0"), 16)
    except (TypeError, ValueError) as error:
        raise ConfigError(f"seed: {raw.get('seed')!r} is not a hexadecimal number") from error
    try:
        settings = settings_of(options, seed)
        kinds = Kinds(options)
    except SettingsError as error:
        raise ConfigError(f"settings.{error}") from error
    except KeyError as error:
        raise ConfigError(f"settings: {error} is missing") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from error
    lim = table("settings.limits", options.get("limits", {}))
    try:
        known = news_of(table("known", raw.get("known")))
        if known.faults:
            raise FeedError(known.faults[0])
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
        listen=address_of("ROUTER_LISTEN" if listen else "listen", listen or raw.get("listen")),
        feed=address_of("feed", raw.get("feed")),
        sockets=number("limits.sockets", limits.get("sockets"), LEAST_SOCKETS, 1024),
        memory_mb=number("limits.memory_mb", limits.get("memory_mb"), 1, 192),
        max_streams=number("settings.limits.max_streams", lim.get("max_streams"), 1, 1),
        idle_ns=number("settings.limits.conn_idle_ns", lim.get("conn_idle_ns"), 0, 0),
        dial_ns=number("settings.limits.dial_timeout_ns", lim.get("dial_timeout_ns"), 1, 400 * NS_PER_MS),
        settings=settings,
        kinds=kinds,
        known=known,
        trace=environ.get("ROUTER_TRACE") == "1",
        raw=raw,
        mgmt=address_of("ROUTER_MGMT" if environ.get("ROUTER_MGMT") else "mgmt", mgmt) if mgmt else None,
        inherited=int(fd) if fd else None,
        state_dir=environ.get("TMPDIR", ""),
    )
