"""The configuration read again at SIGHUP: checked whole, then its classes, limits and feed taken up.

The check and the plan are ``kelpcroft.config_reload``'s; here they are applied to the state.  A file with any
fault changes nothing, the feed included, and one line names the first fault, the file and how many there are.
A good one moves the feed at once and changes settings in two steps: the stricter of old and new for
``TRANSITION_NS``, then the new.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpcroft import config_reload
from kelpcroft.config import Address, ConfigError, parse_address
from kelpcroft.core.feed_watch import FeedWatch
from kelpcroft.core.inputs import ConfigFileRead
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.state import SECOND, State
from kelpcroft.decision import interface as api
from kelpcroft.settings_wire import parse_settings

# What of the settings changes in service; the rest waits for the next start.
RELOADED_KEYS = ("classes", "limits")
# Of ``family_info``: lists that go with the classes.
RELOADED_FAMILY_KEYS = ("goes_through", "multi_part", "max_age_ns", "usable_after_ns", "old_copy_worth")


@dataclass(frozen=True, slots=True)
class CheckedConfig:
    """A configuration read again that can be used whole."""

    raw: dict[str, Any]  # the file's JSON
    settings: api.Settings
    feed_address: Address


class ConfigReload:
    """Takes up a configuration read again."""

    def __init__(self, state: State, watch: FeedWatch) -> None:
        self.state = state
        self.watch = watch
        self.pending_settings: api.Settings | None = None  # to be used once the transition is over
        self.transition_number = 0  # of files taken up: a transition's end is for the last one

    def on_file_read(self, read: ConfigFileRead) -> None:
        """The configuration was read again: use it whole, or nothing of it."""
        checked, faults = self.check(read)
        if checked is None:
            self.log_refused(read.path, faults)
        else:
            self.apply(read.path, checked)

    def check(self, read: ConfigFileRead) -> tuple[CheckedConfig | None, list[config_reload.Diagnostic]]:
        """What a file says, or None and what is wrong with it."""
        if read.data is None:
            return None, [config_reload.Diagnostic("", read.reason, "a file that can be read would do")]
        raw, faults = config_reload.decode_config(read.data)
        if raw is None or faults:
            return None, faults
        faults = config_reload.validate_reload(raw, self.state.raw_config)
        if faults:
            return None, faults
        try:
            settings = parse_settings(raw["settings"], self.state.settings.seed)
            feed_address = parse_address("feed", raw["feed"])
        except (api.SettingsError, ConfigError, KeyError, TypeError, ValueError, AttributeError) as error:
            return None, [
                config_reload.Diagnostic("settings", str(error), "settings as at the start would do")
            ]
        return CheckedConfig(raw, settings, feed_address), []

    def log_refused(self, path: str, faults: list[config_reload.Diagnostic]) -> None:
        """A file changes nothing: one line with its first fault."""
        first = faults[0] if faults else config_reload.Diagnostic("", "cannot be used", "")
        self.state.counters["files refused"] += 1
        count = f"{len(faults)} fault{'s' if len(faults) != 1 else ''}"
        self.state.log(
            "config.refused",
            f"configuration not taken: {first} (in {path}; {count} in all); nothing of it is used",
            "warning",
            {
                "file": path,
                "place": first.place,
                "found": first.found,
                "wanted": first.expected,
                "faults": len(faults),
            },
        )

    def apply(self, path: str, checked: CheckedConfig) -> None:
        """Take up a file that can be used."""
        state = self.state
        kept = kept_keys(checked.raw["settings"], state.raw_config.get("settings", {}))
        state.raw_config = checked.raw
        feed_text = self.watch.move_feed(checked.feed_address)
        change = config_reload.diff_settings(state.settings, checked.settings)
        if change:
            self.begin_transition(checked.settings)
        fields: dict[str, object] = {
            "file": path,
            "came": list(change.added),
            "went": list(change.removed),
            "changed": list(change.changed),
            "attempts": list(change.attempts),
            "kept": kept,
        }
        kept_text = f"; kept until the next start: {', '.join(kept)}" if kept else ""
        state.log(
            "config.read", f"configuration read again: {feed_text}; {change}{kept_text}", "info", fields
        )

    def begin_transition(self, settings: api.Settings) -> None:
        """Use the stricter of the settings in use and others for a while, then the others."""
        state = self.state
        self.transition_number += 1
        in_use = state.settings
        state.change_settings(config_reload.transition_settings(in_use, settings))
        self.pending_settings = config_reload.final_settings(state.settings, settings)
        state.schedule(config_reload.TRANSITION_NS, TimerKind.SETTINGS_TRANSITION, self.transition_number)

    def on_transition_over(self, number: int) -> None:
        """The transition of the last file is over: its classes and limits alone from now on."""
        settings = self.pending_settings
        if number != self.transition_number or settings is None:
            return
        self.pending_settings = None
        self.state.change_settings(settings)
        names, attempts = [c.name for c in settings.classes], settings.limits.max_attempts
        self.state.log(
            "config.settled",
            f"settings read again in use alone: classes {', '.join(names)}; attempts {attempts}",
            "info",
            {"classes": names, "attempts": attempts, "after_s": config_reload.TRANSITION_NS / SECOND},
        )


def kept_keys(new: dict[str, Any], old: dict[str, Any]) -> list[str]:
    """The settings' keys that differ and are kept until the next start.

    That is all but classes and limits, and but the lists of ``family_info`` that go with the classes.
    """
    kept = []
    for key in sorted({*new, *old} - set(RELOADED_KEYS)):
        new_value, old_value = new.get(key), old.get(key)
        if key == "family_info" and isinstance(new_value, dict) and isinstance(old_value, dict):
            family_keys = sorted({*new_value, *old_value} - set(RELOADED_FAMILY_KEYS))
            kept += [f"{key}.{k}" for k in family_keys if new_value.get(k) != old_value.get(k)]
        elif new_value != old_value:
            kept.append(key)
    return kept
