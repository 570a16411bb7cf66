"""What a good file read again changes, and the settings of the transition from the old to the new.

Clients go on with the classes they know until they have the new file, and take up the new ones 1.2 s after it
is given out; the platform may judge a request by either file meanwhile.  So for ``TRANSITION_NS`` the router
uses the stricter of the two wherever they differ, and then the new settings alone:

- a class that changed takes the stricter effect (safe < keyed < unsafe), the shorter deadline, the shorter
  window in which repeats are dropped and the narrower scope that drops them; one that is keyed in one file
  and safe in the other is sent once, as its clients may or may not give keys yet; a class that went is still
  taken, as it was; a class that came is taken at once;
- of the limits, a permission holds only where both allow it, and a number is the lower of the two that are
  set.

Only classes and limits change in service; the rest of ``Settings`` is kept to the next start.
"""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from typing import NamedTuple

from kelpcroft.decision import interface as api

MS = 1_000_000
TRANSITION_NS = 2_000 * MS  # how long the stricter of old and new is used
NARROWNESS = {"all": 0, "zone": 1, "cell": 2}  # who drops the repeats of a key; others: by the new file
STRICTNESS = {api.Idempotency.SAFE: 0, api.Idempotency.KEYED: 1, api.Idempotency.UNSAFE: 2}


class AttemptLimits(NamedTuple):
    """``limits.most_tries`` of two files."""

    before: int
    after: int


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """What a file read again changes, by the names of classes.  False where it changes nothing."""

    added: tuple[str, ...]
    removed: tuple[str, ...]
    changed: tuple[str, ...]
    attempts: AttemptLimits

    def __bool__(self) -> bool:
        return bool(self.added or self.removed or self.changed or self._changes_attempts())

    def __str__(self) -> str:
        names_by_change = (("came", self.added), ("went", self.removed), ("changed", self.changed))
        parts = [f"{change}: {', '.join(names)}" for change, names in names_by_change if names]
        if self._changes_attempts():
            parts.append(f"attempts {self.attempts.before} to {self.attempts.after}")
        return "; ".join(parts) or "no class or limit changed"

    def _changes_attempts(self) -> bool:
        return self.attempts.before != self.attempts.after


def diff_settings(old: api.Settings, new: api.Settings) -> ConfigChange:
    """The classes that came, went or changed, and the attempts before and after."""
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
    """The stricter of each field of one class in two files; what has no stricter value is the new file's."""
    keyed = [c for c in (old, new) if c.idempotency is api.Idempotency.KEYED]
    return replace(
        new,
        idempotency=stricter_idempotency(old.idempotency, new.idempotency),
        deadline_ns=lower_set(old.deadline_ns, new.deadline_ns),
        dedup_window_ns=min(
            (c.dedup_window_ns for c in keyed), default=max(old.dedup_window_ns, new.dedup_window_ns)
        ),
        dedup_scope=narrowest_scope(keyed) if keyed else new.dedup_scope,
        uncacheable=old.uncacheable or new.uncacheable,
    )


def stricter_idempotency(old: api.Idempotency, new: api.Idempotency) -> api.Idempotency:
    """What clients of either file may rely on: a repeat that either forbids is not sent."""
    if {old, new} == {api.Idempotency.SAFE, api.Idempotency.KEYED}:
        return api.Idempotency.UNSAFE  # not all clients give a key yet
    return old if STRICTNESS[old] > STRICTNESS[new] else new


def narrowest_scope(keyed: list[api.RequestClass]) -> str:
    """The narrowest scope in which repeats of a key are dropped, of at least one class."""
    return max(keyed, key=lambda c: NARROWNESS.get(c.dedup_scope, 0)).dedup_scope


def lower_set(old: int, new: int) -> int:
    """The lower of two bounds, of which 0 or less is none; 0 where neither is set."""
    return min((bound for bound in (old, new) if bound > 0), default=0)


def stricter_limits(old: api.Limits, new: api.Limits) -> api.Limits:
    """Permissions that both give, and the lower of numbers that are set (0 is not set)."""
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
    """The settings to use for ``TRANSITION_NS`` after a file is read again.

    ``old`` but for classes and limits, which are the stricter of both.
    """
    old_classes = {c.name: c for c in old.classes}
    new_names = {c.name for c in new.classes}
    classes = tuple(
        stricter_class(old_classes[c.name], c) if c.name in old_classes else c for c in new.classes
    )
    classes += tuple(c for c in old.classes if c.name not in new_names)
    return replace(old, classes=classes, limits=stricter_limits(old.limits, new.limits))


def final_settings(old: api.Settings, new: api.Settings) -> api.Settings:
    """The settings to use once the transition is over: ``old`` but for the new classes and limits."""
    return replace(old, classes=new.classes, limits=new.limits)
