"""Files under ``$TMPDIR`` that a process of a router leaves for its successor.

They are the service state (format: ``kelpcroft.store.handover``), the feed record (format:
``kelpcroft.net.feed_record_codec``), the settings that were replaced last (format:
``kelpcroft.net.replaced_settings_codec``), the configuration that was accepted last (format:
``kelpcroft.net.accepted_config_codec``) and the times of earlier starts (format:
``kelpcroft.startup.crash_loop_backoff``).  Each file is written under a temporary name, then renamed.  The
time of the last modification of the feed record and of the accepted configuration tells whether the process
still runs.
"""

from __future__ import annotations

import contextlib
import os
import time
from dataclasses import dataclass

from kelpcroft.config import Config
from kelpcroft.core import effects, inputs
from kelpcroft.net import accepted_config_codec, replaced_settings_codec
from kelpcroft.net.feed_record_codec import (
    MAX_RECORD_BYTES,
    RecordTooLargeError,
    decode_feed_record,
    encode_feed_record,
)
from kelpcroft.net.transport import Transport
from kelpcroft.startup import crash_loop_backoff
from kelpcroft.store import handover

FEED_SUFFIX = "-feed.json"  # ending of the path of the feed record
SETTINGS_SUFFIX = "-settings.json"  # ending of the path of the replaced settings
CONFIG_SUFFIX = "-config.json"  # ending of the path of the accepted configuration
# An accepted configuration that was not touched for so long is that of a process that no longer runs.
MAX_CONFIG_AGE_NS = 10_000_000_000


@dataclass(frozen=True)
class PredecessorRecords:
    """What the router's predecessor process left; None where there is no file.

    Attributes:
        service_state: The service state.
        feed: The feed record.
        settings: The settings that were replaced last.
    """

    service_state: inputs.PredecessorState | None = None
    feed: inputs.PredecessorFeed | None = None
    settings: inputs.PredecessorSettings | None = None


class PredecessorFiles:
    """Carries out the reducer's effects that write and read the files."""

    def __init__(self, transport: Transport) -> None:
        self.transport = transport

    def persist_service_state(self, effect: effects.PersistServiceState) -> None:
        """Writes the service state for this process's successor."""
        config = self.transport.config
        if not config.state_dir:
            return
        try:
            write_handover(config.state_dir, config.name, self.transport.clock.now(), effect)
        except OSError as error:
            self.log_unwritten("service state", error)

    def read_predecessor_state(self, _effect: effects.ReadPredecessorState) -> None:
        """Reports to the reducer if the predecessor, which ran beside this process, has recorded its end."""
        config = self.transport.config
        state = read_handover(config.state_dir, config.name)
        if state is not None and state.ended_at_ns:
            self.transport.handle_input(inputs.PredecessorEnded(state.ended_at_ns))

    def persist_feed_record(self, effect: effects.PersistFeedRecord) -> None:
        """Writes the feed record for this process's successor."""
        config = self.transport.config
        try:
            data = encode_feed_record(config.name, os.getpid(), effect.record)
            _replace_file(_path(config.state_dir, config.name, FEED_SUFFIX), data)
        except (OSError, RecordTooLargeError) as error:
            self.log_unwritten("feed record", error)

    def touch_feed_record(self, _effect: effects.TouchFeedRecord) -> None:
        """Sets the last modification of the files that tell that this process runs to now, if they exist."""
        config = self.transport.config
        now_ns = self.transport.clock.now()
        for suffix in (FEED_SUFFIX, CONFIG_SUFFIX):
            with contextlib.suppress(OSError):
                os.utime(_path(config.state_dir, config.name, suffix), ns=(now_ns, now_ns))

    def read_predecessor_feed(self, _effect: effects.ReadPredecessorFeed) -> None:
        """Reports the predecessor's feed record to the reducer, if there is one."""
        config = self.transport.config
        predecessor_feed = read_feed_record(config.state_dir, config.name, self.transport.clock.now())
        if predecessor_feed is not None:
            self.transport.handle_input(predecessor_feed)

    def persist_replaced_settings(self, effect: effects.PersistReplacedSettings) -> None:
        """Writes the settings that were replaced last for this process's successor."""
        config = self.transport.config
        try:
            data = replaced_settings_codec.encode_replaced_settings(config.name, os.getpid(), effect.replaced)
            _replace_file(_path(config.state_dir, config.name, SETTINGS_SUFFIX), data)
        except (OSError, replaced_settings_codec.SettingsTooLargeError) as error:
            self.log_unwritten("replaced settings", error)

    def persist_accepted_config(self, effect: effects.PersistAcceptedConfig) -> None:
        """Writes the configuration that was accepted last for this process's successor."""
        config = self.transport.config
        try:
            data = accepted_config_codec.encode_accepted_config(config.name, os.getpid(), effect.accepted)
            _replace_file(_path(config.state_dir, config.name, CONFIG_SUFFIX), data)
        except (OSError, accepted_config_codec.ConfigTooLargeError) as error:
            self.log_unwritten("accepted configuration", error)

    def log_unwritten(self, what: str, error: Exception) -> None:
        """Logs that a file could not be written."""
        self.transport.log(
            "handover.unwritten",
            f"{what} not written for the next process: {error}",
            {"why": str(error)},
            "warning",
        )


def read_handover(folder: str, name: str) -> inputs.PredecessorState | None:
    """Reads the service state that the predecessor left; None without a folder (``$TMPDIR``) or a file."""
    if not folder:
        return None
    path = handover.file_path(folder, name)
    try:
        data = _read_file(path)
    except FileNotFoundError:
        return None
    except OSError as error:
        return inputs.PredecessorState(None, reason=f"{path}: {error.strerror}")
    record, reason = handover.decode(data, name, time.time_ns())
    if record is None:
        return inputs.PredecessorState(None, reason=f"{path}: {reason}")
    return inputs.PredecessorState(record.in_service, record.since_ns, ended_at_ns=record.ended_ns)


def read_predecessor(config: Config) -> PredecessorRecords:
    """Reads what the predecessor left; feed and settings only if the listening socket is shared with it."""
    folder, name = config.state_dir, config.name
    service_state = read_handover(folder, name)
    if config.inherited_listener_fd is None:
        return PredecessorRecords(service_state)
    return PredecessorRecords(
        service_state, read_feed_record(folder, name, time.time_ns()), read_replaced_settings(folder, name)
    )


def read_feed_record(folder: str, name: str, now_ns: int) -> inputs.PredecessorFeed | None:
    """Reads the feed record that the predecessor left; None without a folder (``$TMPDIR``) or a file."""
    if not folder:
        return None
    path = _path(folder, name, FEED_SUFFIX)
    try:
        age_ns = max(0, now_ns - os.stat(path).st_mtime_ns)
        record = decode_feed_record(_read_file(path, MAX_RECORD_BYTES + 1), name)
    except FileNotFoundError:
        return None
    except OSError as error:
        return inputs.PredecessorFeed(None, reason=f"{path}: {error.strerror}")
    except handover.UnusableFileError as error:
        return inputs.PredecessorFeed(None, reason=f"{path}: {error}")
    return inputs.PredecessorFeed(record, age_ns)


def read_replaced_settings(folder: str, name: str) -> inputs.PredecessorSettings | None:
    """Reads the settings that the predecessor replaced last; None without a folder or a file."""
    if not folder:
        return None
    path = _path(folder, name, SETTINGS_SUFFIX)
    try:
        replaced = replaced_settings_codec.decode_replaced_settings(
            _read_file(path, replaced_settings_codec.MAX_FILE_BYTES), name
        )
    except FileNotFoundError:
        return None
    except OSError as error:
        return inputs.PredecessorSettings((), f"{path}: {error.strerror}")
    except handover.UnusableFileError as error:
        return inputs.PredecessorSettings((), f"{path}: {error}")
    return inputs.PredecessorSettings(replaced)


def read_accepted_config(folder: str, name: str) -> inputs.AcceptedConfig | None:
    """Reads the configuration that a predecessor accepted last; None if none runs or its file is unusable."""
    path = _path(folder, name, CONFIG_SUFFIX)
    try:
        if time.time_ns() - os.stat(path).st_mtime_ns > MAX_CONFIG_AGE_NS:
            return None
        data = _read_file(path, accepted_config_codec.MAX_FILE_BYTES)
        return accepted_config_codec.decode_accepted_config(data, name)
    except (OSError, handover.UnusableFileError):
        return None


def write_handover(folder: str, name: str, now_ns: int, state: effects.PersistServiceState) -> None:
    """Writes the service state.

    If this process ends and its successor has written the file since the shutdown began, the successor's
    service state is kept and only the time of the end is added.

    Raises:
        OSError: the file could not be written.
    """
    path = handover.file_path(folder, name)
    pid = os.getpid()
    data = handover.encode(name, pid, now_ns, state.is_in_service, state.since_ns, state.ended_at_ns)
    if state.ended_at_ns:
        try:
            successor, _ = handover.decode(_read_file(path), name, now_ns)
        except OSError:
            successor = None
        if successor is not None and successor.pid != pid and successor.written_ns > state.shutdown_began_ns:
            data = handover.encode(
                name, successor.pid, now_ns, successor.in_service, successor.since_ns, state.ended_at_ns
            )
    _replace_file(path, data)


def crash_loop_delay_ns(folder: str, name: str, now_ns: int) -> int:
    """Records a start and returns how long earlier starts delay the first request to the list service.

    Where the folder does not persist or cannot be written, no starts are recorded and there is no delay.
    """
    if not folder:
        return 0
    path = crash_loop_backoff.file_path(folder, name)
    try:
        earlier_starts_ns = crash_loop_backoff.decode(_read_file(path), name, now_ns)
    except OSError:
        earlier_starts_ns = []
    try:
        _replace_file(path, crash_loop_backoff.encode(name, earlier_starts_ns, now_ns))
    except OSError:
        return 0
    return crash_loop_backoff.crash_loop_delay_ns(earlier_starts_ns)


def _path(folder: str, name: str, suffix: str) -> str:
    """The path of a router's file; a slash in the name, which the platform gives, is replaced."""
    return f"{folder.rstrip('/')}/kelpcroft-{name.replace('/', '_')}{suffix}"


def _read_file(path: str, max_bytes: int = handover.MAX_FILE_BYTES) -> bytes:
    """Reads a file up to one byte over its size limit, so that a file over the limit is detected."""
    with open(path, "rb") as file:
        return file.read(max_bytes + 1)


def _replace_file(path: str, data: bytes) -> None:
    """Writes a file completely under a temporary name, then renames it over the old file."""
    temporary_path = f"{path}.{os.getpid()}"
    with open(temporary_path, "wb") as file:
        file.write(data)
    os.replace(temporary_path, path)
