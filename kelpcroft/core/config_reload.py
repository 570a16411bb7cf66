"""Reload of the configuration at SIGHUP: the complete file is checked, then classes, limits and feed applied.

``kelpcroft.config_reload`` checks the file and computes the change; this module applies the result to the
state.  A file with an error changes nothing, not even the feed; one log line names the first error, the file
and the number of errors.  A valid file moves the feed immediately and changes the settings in two steps: the
stricter of the old and new settings for ``TRANSITION_NS``, then the new settings.  A valid file that is read
during such a transition replaces the file whose settings are pending.  In an upgrade, the new process
continues the transition of its predecessor.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from kelpcroft import config_reload
from kelpcroft.config import Address, ConfigError, parse_address
from kelpcroft.core.effects import PersistAcceptedConfig, PersistReplacedSettings
from kelpcroft.core.feed_watch import FeedWatch
from kelpcroft.core.inputs import AcceptedConfig, ConfigFileRead, PredecessorSettings, ReplacedSettings
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.state import SECOND, State
from kelpcroft.decision import interface as api
from kelpcroft.settings_wire import parse_settings

# Keys of the settings that a reload changes; the others change at the next start.
RELOADED_KEYS = ("classes", "limits")
# Keys of ``family_info`` that a reload changes: their lists belong to the classes.
RELOADED_FAMILY_KEYS = ("goes_through", "multi_part", "max_age_ns", "usable_after_ns", "old_copy_worth")
MAX_REPLACED_SETTINGS = 8  # replaced settings that are kept for a successor; older ones are dropped


@dataclass(frozen=True, slots=True)
class CheckedConfig:
    """A reloaded configuration that passed all checks."""

    raw: dict[str, Any]  # JSON of the file
    settings: api.Settings
    feed_address: Address


class ConfigReload:
    """Checks and applies a reloaded configuration."""

    def __init__(self, state: State, watch: FeedWatch) -> None:
        self.state = state
        self.watch = watch
        # Settings of the last file, whose classes and limits are in use from the end of the transition.
        self.pending_settings: api.Settings | None = None
        # Settings that clients may still use, as they were replaced less than TRANSITION_NS ago.
        self.replaced: list[ReplacedSettings] = []
        self.transition_number = 0  # number of transitions begun: only the timer of the last one is valid

    def start(self) -> None:
        """Log that the file of the start was refused, if it was, and store the configuration in use."""
        refused = self.state.config.refused
        if refused is not None:
            self.log_not_applied(refused.path, list(refused.diagnostics))
        self.persist_accepted()

    def persist_accepted(self) -> None:
        """Store the configuration in use for a successor process, which may find another file."""
        if self.may_have_successor():
            accepted = AcceptedConfig(self.state.raw_config, self.state.config.required)
            self.state.effects.append(PersistAcceptedConfig(accepted))

    def may_have_successor(self) -> bool:
        """Whether a successor process may start beside this one and read what it stores."""
        config = self.state.config
        return config.inherited_listener_fd is not None and bool(config.state_dir)

    def on_file_read(self, read: ConfigFileRead) -> None:
        """Apply a configuration file that was read again; if it has an error, no part of it is applied."""
        checked, diagnostics = self.check(read)
        if checked is None:
            self.log_not_applied(read.path, diagnostics)
        else:
            self.apply(read.path, checked)

    def check(self, read: ConfigFileRead) -> tuple[CheckedConfig | None, list[config_reload.Diagnostic]]:
        """Decode and check a file; returns None and its diagnostics if it has errors."""
        if read.data is None:
            return None, [config_reload.Diagnostic("", read.reason, "must be a readable file")]
        raw, diagnostics = config_reload.check_file(read.data, self.state.config.required)
        if raw is None:
            return None, diagnostics
        try:
            settings = parse_settings(raw["settings"], self.state.settings.seed)
            feed_address = parse_address("feed", raw["feed"])
        except (api.SettingsError, ConfigError, KeyError, TypeError, ValueError, AttributeError) as error:
            return None, [
                config_reload.Diagnostic("settings", str(error), "must be settings that a start accepts")
            ]
        return CheckedConfig(raw, settings, feed_address), []

    def log_not_applied(self, path: str, diagnostics: list[config_reload.Diagnostic]) -> None:
        """Log that a file is not applied, with its first error."""
        first = diagnostics[0] if diagnostics else config_reload.Diagnostic("", "cannot be used", "")
        self.state.counters["files refused"] += 1
        count = f"{len(diagnostics)} error{'s' if len(diagnostics) != 1 else ''}"
        self.state.log(
            "config.refused",
            f"configuration not taken: {first} (in {path}; {count} in total); no part of it is applied",
            "warning",
            {
                "file": path,
                "place": first.place,
                "found": first.found,
                "wanted": first.expected,
                "faults": len(diagnostics),
            },
        )

    def apply(self, path: str, checked: CheckedConfig) -> None:
        """Apply a file that passed all checks."""
        state = self.state
        deferred = deferred_keys(checked.raw["settings"], state.raw_config.get("settings", {}))
        replaced_settings = state.raw_config.get("settings", {})
        state.raw_config = checked.raw
        self.persist_accepted()
        feed_text = self.watch.move_feed(checked.feed_address)
        change = config_reload.diff_settings(self.settings_of_last_file(), checked.settings)
        if change or self.replaces_pending(checked.settings):
            self.record_replaced(replaced_settings)
            self.begin_transition(checked.settings)
        fields: dict[str, object] = {
            "file": path,
            "came": list(change.added),
            "went": list(change.removed),
            "changed": list(change.changed),
            "attempts": list(change.attempts),
            "kept": deferred,
        }
        deferred_text = f"; kept until the next start: {', '.join(deferred)}" if deferred else ""
        state.log(
            "config.read", f"configuration read again: {feed_text}; {change}{deferred_text}", "info", fields
        )

    def settings_of_last_file(self) -> api.Settings:
        """The settings that the last valid file leads to: the pending ones, or those in use without any."""
        return self.state.settings if self.pending_settings is None else self.pending_settings

    def replaces_pending(self, settings: api.Settings) -> bool:
        """Whether settings are pending whose classes or limits differ from these."""
        pending = self.pending_settings
        return pending is not None and (
            pending.classes != settings.classes or pending.limits != settings.limits
        )

    def begin_transition(self, settings: api.Settings) -> None:
        """Use the stricter of the current and new settings for ``TRANSITION_NS``, then the new ones.

        During an earlier transition, the current settings are the stricter of the files before this one, any
        of which clients may still use.
        """
        transition = config_reload.transition_settings(self.state.settings, settings)
        self.use_for_transition(transition, settings, config_reload.TRANSITION_NS)

    def use_for_transition(self, transition: api.Settings, settings: api.Settings, duration_ns: int) -> None:
        """Use the settings of a transition for a time, then others."""
        self.transition_number += 1
        self.state.change_settings(transition)
        self.pending_settings = settings
        self.state.schedule(duration_ns, TimerKind.SETTINGS_TRANSITION, self.transition_number)

    def record_replaced(self, settings: dict[str, Any]) -> None:
        """Keep settings that a file replaces now, for a successor process that may start meanwhile."""
        state = self.state
        if not self.may_have_successor():
            return
        recent = [r for r in self.replaced if self.is_recent(r)]
        self.replaced = [*recent, ReplacedSettings(settings, state.now)][-MAX_REPLACED_SETTINGS:]
        state.effects.append(PersistReplacedSettings(tuple(self.replaced)))

    def is_recent(self, replaced: ReplacedSettings) -> bool:
        """Whether clients may still use settings that were replaced."""
        return self.state.now - replaced.replaced_ns < config_reload.TRANSITION_NS

    def on_predecessor_settings(self, predecessor: PredecessorSettings) -> None:
        """Continue a transition that the predecessor began, for the rest of its time."""
        state = self.state
        if predecessor.reason:
            self.log_predecessor_refused(predecessor.reason)
        recent = [r for r in predecessor.replaced if self.is_recent(r)]
        if not recent:
            return
        transition = state.settings
        for replaced in recent:
            try:
                old = parse_settings(replaced.settings, state.settings.seed)
            except (api.SettingsError, KeyError, TypeError, ValueError, AttributeError) as error:
                self.log_predecessor_refused(f"settings: {error}")
                return
            stricter = config_reload.transition_settings(old, transition)
            transition = replace(state.settings, classes=stricter.classes, limits=stricter.limits)
        self.replaced = recent
        ends_ns = min(recent[-1].replaced_ns, state.now) + config_reload.TRANSITION_NS
        self.use_for_transition(transition, state.settings, ends_ns - state.now)
        state.log(
            "handover.settings",
            "transition to reloaded settings continued from the predecessor",
            "info",
            {"rest_s": round((ends_ns - state.now) / SECOND, 3)},
        )

    def log_predecessor_refused(self, reason: str) -> None:
        """Log that the predecessor's replaced settings cannot be used."""
        self.state.log(
            "handover.refused",
            f"predecessor's replaced settings not applied: {reason}",
            "warning",
            {"why": reason},
        )

    def on_transition_over(self, number: int) -> None:
        """End the transition of the last file: only its classes and limits are used from now on."""
        pending = self.pending_settings
        if number != self.transition_number or pending is None:
            return
        self.pending_settings = None
        # The rest is as it is now: the estimated number of routers may have changed during the transition.
        settings = config_reload.final_settings(self.state.settings, pending)
        self.state.change_settings(settings)
        names, attempts = [c.name for c in settings.classes], settings.limits.max_attempts
        self.state.log(
            "config.settled",
            f"settings read again in use alone: classes {', '.join(names)}; attempts {attempts}",
            "info",
            {"classes": names, "attempts": attempts, "after_s": config_reload.TRANSITION_NS / SECOND},
        )


def deferred_keys(new: dict[str, Any], old: dict[str, Any]) -> list[str]:
    """Keys of the settings whose values differ and stay unchanged until the next start.

    These are all keys except classes, limits, and the lists of ``family_info`` that belong to the classes.
    """
    deferred = []
    for key in sorted({*new, *old} - set(RELOADED_KEYS)):
        new_value, old_value = new.get(key), old.get(key)
        if key == "family_info" and isinstance(new_value, dict) and isinstance(old_value, dict):
            family_keys = sorted({*new_value, *old_value} - set(RELOADED_FAMILY_KEYS))
            deferred += [f"{key}.{k}" for k in family_keys if new_value.get(k) != old_value.get(k)]
        elif new_value != old_value:
            deferred.append(key)
    return deferred
