"""What a good file read again changes, and the settings of the passage from the old to the new.

Clients go on with the classes they know until they have the new file, and take up the new ones 1.2 s after it
is given out; the platform may judge a request by either file meanwhile.  So for ``PASSAGE_NS`` the router
uses the stricter of the two wherever they differ, and then the new settings alone:

- a class that changed takes the stricter effect (safe < keyed < unsafe), the shorter deadline, the shorter
  window in which repeats are dropped and the narrower group that drops them; one that is keyed in one file
  and safe in the other is sent once, as its clients may or may not give keys yet; a class that went is still
  taken, as it was; a class that came is taken at once;
- of the limits, a permission holds only where both allow it, and a number is the lower of the two that are
  set.

Only classes and limits change in service; the rest of ``Settings`` is kept to the next start."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from kelpcroft.decision import interface as api

MS = 1_000_000
TRANSITION_NS = 2_000 * MS  # the stricter of old and new is used for so long
NARROWNESS = {"all": 0, "zone": 1, "cell": 2}  # who drops the repeats of a key; others: by the new file
STRICTNESS = {api.Idempotency.SAFE: 0, api.Idempotency.KEYED: 1, api.Idempotency.UNSAFE: 2}


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """What a file read again changes, by the names of classes."""

    added: tuple[str, ...]
    removed: tuple[str, ...]
    changed: tuple[str, ...]
    attempts: tuple[int, int]  # before, after

    def __bool__(self) -> bool:
        return bool(self.added or self.removed or self.changed or self.attempts[0] != self.attempts[1])

    def __str__(self) -> str:
        parts = [
            f"{what}: {', '.join(names)}"
            for what, names in (("came", self.added), ("went", self.removed), ("changed", self.changed))
            if names
        ]
        if self.attempts[0] != self.attempts[1]:
            parts.append(f"attempts {self.attempts[0]} to {self.attempts[1]}")
        return "; ".join(parts) or "no class or limit changed"


def diff_settings(old: api.Settings, new: api.Settings) -> ConfigChange:
    """The classes that came, went or changed, and the attempts before and after."""
    was, now = {c.name: c for c in old.classes}, {c.name: c for c in new.classes}
    return ConfigChange(
        added=tuple(n for n in now if n not in was),
        removed=tuple(n for n in was if n not in now),
        changed=tuple(n for n in now if n in was and now[n] != was[n]),
        attempts=(old.limits.max_attempts, new.limits.max_attempts),
    )


def stricter(a: api.RequestClass, b: api.RequestClass) -> api.RequestClass:
    """One class as two files give it, held to the stricter of each: ``b`` where they agree."""
    effect = a.idempotency if STRICTNESS[a.idempotency] > STRICTNESS[b.idempotency] else b.idempotency
    if {a.idempotency, b.idempotency} == {api.Idempotency.SAFE, api.Idempotency.KEYED}:
        effect = api.Idempotency.UNSAFE
    keyed = [c for c in (a, b) if c.idempotency is api.Idempotency.KEYED]
    window = min((c.dedup_window_ns for c in keyed), default=max(a.dedup_window_ns, b.dedup_window_ns))
    group = max(keyed, key=lambda c: NARROWNESS.get(c.dedup_scope, 0)).dedup_scope if keyed else b.dedup_scope
    deadlines = [d for d in (a.deadline_ns, b.deadline_ns) if d > 0]
    deadline = min(deadlines) if deadlines else 0
    return replace(
        b,
        idempotency=effect,
        deadline_ns=deadline,
        dedup_window_ns=window,
        dedup_scope=group,
        uncacheable=a.uncacheable or b.uncacheable,
    )


def limits_of(a: api.Limits, b: api.Limits) -> api.Limits:
    """Permissions that both give, and the lower of numbers that are set (0 is: not told)."""
    merged: dict[str, object] = {}
    for f in fields(api.Limits):
        x, y = getattr(a, f.name), getattr(b, f.name)
        if isinstance(x, bool):
            merged[f.name] = x and y
        else:
            merged[f.name] = min(x, y) if x and y else x or y
    return api.Limits(**merged)  # type: ignore[arg-type]


def transition_settings(old: api.Settings, new: api.Settings) -> api.Settings:
    """The settings to use for ``PASSAGE_NS`` after a file is read again: ``old`` but for classes and limits,
    which are the stricter of both."""
    was = {c.name: c for c in old.classes}
    kept = {c.name for c in new.classes}
    classes = tuple(stricter(was[c.name], c) if c.name in was else c for c in new.classes)
    classes += tuple(c for c in old.classes if c.name not in kept)
    return replace(old, classes=classes, limits=limits_of(old.limits, new.limits))


def final_settings(old: api.Settings, new: api.Settings) -> api.Settings:
    """The settings to use once the passage is over: ``old`` but for the new classes and limits."""
    return replace(old, classes=new.classes, limits=new.limits)
