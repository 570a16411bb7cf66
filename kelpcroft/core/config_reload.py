"""The configuration read again at SIGHUP: checked whole, then its classes, limits and feed taken up.

The check and the plan are ``kelpcroft.config_reload``'s; here they are applied to the state.  A file with
any fault changes nothing, the feed included, and one line names the first fault, the file and how many
there are.  A good one moves the feed at once and retunes in two steps: the stricter of old and new for
``PASSAGE_NS``, then the new.
"""

from __future__ import annotations

from typing import Any

from kelpcroft import config_reload
from kelpcroft.config import ConfigError, parse_address
from kelpcroft.core import inputs
from kelpcroft.core.endpoint_list import EndpointList
from kelpcroft.core.messages import TimerKind
from kelpcroft.core.state import SECOND, State
from kelpcroft.decision import interface as api
from kelpcroft.settings_wire import parse_settings

LIVE = ("classes", "limits")  # what of the settings changes in service; the rest waits for the next start
BY_CLASS = ("goes_through", "multi_part", "max_age_ns", "usable_after_ns", "old_copy_worth")  # of family_info


class ConfigReload:
    """Takes up a configuration read again."""

    def __init__(self, state: State, members: EndpointList) -> None:
        self.state, self.members = state, members
        self.pending: api.Settings | None = None  # to be used once the passage is over
        self.round = 0  # of SIGHUPs taken: a passage's end is for the last one

    def on_reload(self, r: inputs.ConfigFileRead) -> None:
        s = self.state
        faults: list[config_reload.Diagnostic] = []
        raw: dict[str, Any] | None = None
        if r.data is None:
            faults = [config_reload.Diagnostic("", r.reason, "a file that can be read would do")]
        else:
            raw, faults = config_reload.decode_config(r.data)
        settings = feed = None
        if raw is not None and not faults:
            faults = config_reload.validate_reload(raw, s.used)
        if raw is not None and not faults:
            try:
                settings = parse_settings(raw["settings"], s.settings.seed)
                feed = parse_address("feed", raw["feed"])
            except (api.SettingsError, ConfigError, KeyError, TypeError, ValueError, AttributeError) as error:
                faults = [
                    config_reload.Diagnostic("settings", str(error), "settings as at the start would do")
                ]
        if raw is None or settings is None or feed is None or faults:
            first = faults[0] if faults else config_reload.Diagnostic("", "cannot be used", "")
            s.counters["files refused"] += 1
            count = f"{len(faults)} fault{'s' if len(faults) != 1 else ''}"
            s.log(
                "config.refused",
                f"configuration not taken: {first} (in {r.path}; {count} in all); nothing of it is used",
                "warning",
                {
                    "file": r.path,
                    "place": first.place,
                    "found": first.found,
                    "wanted": first.expected,
                    "faults": len(faults),
                },
            )
            return
        kept = unchanged(raw["settings"], s.used.get("settings", {}))
        s.used = raw
        where = self.members.move(feed)
        change = config_reload.diff_settings(s.settings, settings)
        if change:
            self.round += 1
            s.retune(config_reload.transition_settings(s.settings, settings))
            self.pending = config_reload.final_settings(s.settings, settings)
            s.wake(config_reload.TRANSITION_NS, TimerKind.SETTINGS_TRANSITION, self.round)
        fields: dict[str, object] = {
            "file": r.path,
            "came": list(change.added),
            "went": list(change.removed),
            "changed": list(change.changed),
            "attempts": list(change.attempts),
            "kept": kept,
        }
        s.log(
            "config.read",
            f"configuration read again: {where}; {change}"
            + (f"; kept until the next start: {', '.join(kept)}" if kept else ""),
            "info",
            fields,
        )

    def on_settle(self, round: int) -> None:
        """The passage of the last file is over: its classes and limits alone from now on."""
        if round != self.round or self.pending is None:
            return
        settings, self.pending = self.pending, None
        self.state.retune(settings)
        names, attempts = [c.name for c in settings.classes], settings.limits.max_attempts
        self.state.log(
            "config.settled",
            f"settings read again in use alone: classes {', '.join(names)}; attempts {attempts}",
            "info",
            {"classes": names, "attempts": attempts, "after_s": config_reload.TRANSITION_NS / SECOND},
        )


def unchanged(new: dict[str, Any], old: dict[str, Any]) -> list[str]:
    """The keys of the settings that differ and are kept until the next start: all but classes and limits,
    and but the lists of ``family_info`` that go with the classes."""
    kept = []
    for key in sorted({*new, *old} - set(LIVE)):
        a, b = new.get(key), old.get(key)
        if key == "family_info" and isinstance(a, dict) and isinstance(b, dict):
            kept += [f"{key}.{k}" for k in sorted({*a, *b} - set(BY_CLASS)) if a.get(k) != b.get(k)]
        elif a != b:
            kept.append(key)
    return kept
