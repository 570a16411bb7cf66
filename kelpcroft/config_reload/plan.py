"""Changes of a valid reloaded configuration, and the settings of the transition from the old to the new ones.

Clients use the old classes until they receive the new file, and use the new classes from 1.2 s after the file
is distributed.  Meanwhile the platform may judge a request by either file.  So for ``TRANSITION_NS`` the
router uses the stricter value wherever the two files differ, and then only the new settings:

- A class that changed has the stricter idempotency (safe < keyed < unsafe), the shorter deadline, the shorter
  window in which servers drop repeated requests, and the narrower scope in which they drop them.  A request
  of a class that is keyed in one file and safe in the other is sent once, as clients may not send keys yet.
  A class that was removed is still accepted unchanged.  A class that was added is accepted immediately.
- A permission of the limits holds only where both files grant it.  A number is the lower of the values that
  are set.

A reload changes only classes and limits; the rest of ``Settings`` stays unchanged until the next start.
"""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from typing import NamedTuple

from kelpcroft.decision import interface as api

MS = 1_000_000
TRANSITION_NS = 2_000 * MS  # how long the stricter of the old and new settings is used
# Scopes in which servers drop repeated requests with the same key, from the widest to the narrowest.  Any
# other scope ranks as the widest.
SCOPE_NARROWNESS = {"all": 0, "zone": 1, "cell": 2}
# Idempotency of a class, from the least strict to the strictest.
IDEMPOTENCY_STRICTNESS = {api.Idempotency.SAFE: 0, api.Idempotency.KEYED: 1, api.Idempotency.UNSAFE: 2}


class AttemptLimits(NamedTuple):
    """``limits.most_tries`` of the old and the new file."""

    before: int
    after: int


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """Change of classes, by name, and of the attempt limit.  It is false where the file changes neither."""

    added: tuple[str, ...]
    removed: tuple[str, ...]
    changed: tuple[str, ...]
    attempts: AttemptLimits

    def __bool__(self) -> bool:
        return bool(self.added or self.removed or self.changed or self._changes_attempts())

    def __str__(self) -> str:
        names_by_change = (("came", self.added), ("went", self.removed), ("changed", self.changed))
        descriptions = [f"{change}: {', '.join(names)}" for change, names in names_by_change if names]
        if self._changes_attempts():
            descriptions.append(f"attempts {self.attempts.before} to {self.attempts.after}")
        return "; ".join(descriptions) or "no class or limit changed"

    def _changes_attempts(self) -> bool:
        return self.attempts.before != self.attempts.after


def diff_settings(old: api.Settings, new: api.Settings) -> ConfigChange:
    """Return the classes that were added, removed or changed, and the attempt limits before and after."""
    old_classes = {c.name: c for c in old.classes}
    new_classes = {c.name: c for c in new.classes}
    return ConfigChange(
        added=tuple(name for name in new_classes if name not in old_classes),
        removed=tuple(name for name in old_classes if name not in new_classes),
        changed=tuple(
            name for name, c in new_classes.items() if name in old_classes and c != old_classes[name]
        ),
        attempts=AttemptLimits(old.limits.max_attempts, new.limits.max_attempts),
    )


def stricter_class(old: api.RequestClass, new: api.RequestClass) -> api.RequestClass:
    """Return a class with the stricter of each field of two files.

    Fields for which no value is stricter have the new file's value.
    """
    keyed_classes = [c for c in (old, new) if c.idempotency is api.Idempotency.KEYED]
    return replace(
        new,
        idempotency=stricter_idempotency(old.idempotency, new.idempotency),
        deadline_ns=lower_limit(old.deadline_ns, new.deadline_ns),
        dedup_window_ns=min(
            (c.dedup_window_ns for c in keyed_classes), default=max(old.dedup_window_ns, new.dedup_window_ns)
        ),
        dedup_scope=narrowest_scope(keyed_classes) if keyed_classes else new.dedup_scope,
        uncacheable=old.uncacheable or new.uncacheable,
    )


def stricter_idempotency(old: api.Idempotency, new: api.Idempotency) -> api.Idempotency:
    """Return an idempotency that permits a retry only where both files permit it."""
    if {old, new} == {api.Idempotency.SAFE, api.Idempotency.KEYED}:
        return api.Idempotency.UNSAFE  # not all clients send a key yet
    return old if IDEMPOTENCY_STRICTNESS[old] > IDEMPOTENCY_STRICTNESS[new] else new


def narrowest_scope(keyed_classes: list[api.RequestClass]) -> str:
    """Return the narrowest scope in which repeats of a key are dropped, of one or more classes."""
    return max(keyed_classes, key=lambda c: SCOPE_NARROWNESS.get(c.dedup_scope, 0)).dedup_scope


def lower_limit(old: int, new: int) -> int:
    """Return the lower of two bounds, of which 0 or less is not set; 0 where neither is set."""
    return min((bound for bound in (old, new) if bound > 0), default=0)


def stricter_limits(old: api.Limits, new: api.Limits) -> api.Limits:
    """Return the permissions that both limits grant, and the lower of numbers that are set (0 is not set)."""
    merged: dict[str, object] = {}
    for field in fields(api.Limits):
        old_value, new_value = getattr(old, field.name), getattr(new, field.name)
        if isinstance(old_value, bool):
            merged[field.name] = old_value and new_value
        elif old_value and new_value:
            merged[field.name] = min(old_value, new_value)
        else:
            merged[field.name] = old_value or new_value
    return api.Limits(**merged)  # type: ignore[arg-type]


def transition_settings(old: api.Settings, new: api.Settings) -> api.Settings:
    """Return the settings to use for ``TRANSITION_NS`` after a reload.

    They are ``old`` except for classes and limits, which are the stricter of both.
    """
    old_classes = {c.name: c for c in old.classes}
    new_names = {c.name for c in new.classes}
    classes = tuple(
        stricter_class(old_classes[c.name], c) if c.name in old_classes else c for c in new.classes
    )
    classes += tuple(c for c in old.classes if c.name not in new_names)
    return replace(old, classes=classes, limits=stricter_limits(old.limits, new.limits))


def final_settings(old: api.Settings, new: api.Settings) -> api.Settings:
    """Return the settings to use after the transition: ``old`` with the classes and limits of ``new``."""
    return replace(old, classes=new.classes, limits=new.limits)
