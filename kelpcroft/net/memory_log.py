"""Log lines about memory pressure: what is held, and who was turned away, while it lasts."""

from __future__ import annotations

from collections import Counter
from typing import Final

from kelpcroft.net.memory import resident_bytes
from kelpcroft.net.transport import SECOND, Transport

LOG_INTERVAL_NS: Final = SECOND  # between two lines while the pressure lasts
RELIEF_NS: Final = SECOND  # the pressure is over if nobody was turned away for this long


class MemoryLog:
    """Logs the beginning of a memory pressure, its course and its end."""

    def __init__(self, transport: Transport) -> None:
        self.transport = transport
        self.is_under_pressure = False
        self.logged_ns = 0
        self.turned_away_ns = 0  # when somebody was last found to be turned away
        self.seen: Counter[str] = Counter()  # sums of the last sweep
        self.logged: Counter[str] = Counter()  # sums of the last line

    def sweep(self, now: int) -> None:
        """Logs a line if the pressure has begun or lasts, or is over."""
        sums = Counter(self.transport.reducer.state.memory.turned_away)
        if sums != self.seen:
            self.seen = sums
            self.turned_away_ns = now
            if not self.is_under_pressure or now - self.logged_ns >= LOG_INTERVAL_NS:
                self.is_under_pressure = True
                text, fields = self._report(now)
                self.transport.log("memory.short", f"memory is short: {text}", fields, "warning")
        elif self.is_under_pressure and now - self.turned_away_ns >= RELIEF_NS:
            self.is_under_pressure = False
            text, fields = self._report(now)
            self.transport.log("memory.enough", f"memory is no longer short: {text}", fields)

    def held_kb(self) -> dict[str, int]:
        """What is held, by use, in kB."""
        account, pool = self.transport.reducer.state.memory, self.transport.pool
        return {
            "unfinished_messages": account.unfinished_messages.held_bytes // 1024,
            "open_requests": account.open_requests.held_bytes // 1024,
            "unfinished_responses": account.unfinished_responses.held_bytes // 1024,
            "unsent_output": pool.used_bytes() // 1024,
        }

    def state(self) -> dict[str, object]:
        """What the control address says: what is held and may be held, and the sums since the start."""
        account, pool = self.transport.reducer.state.memory, self.transport.pool
        limits = {
            "unfinished_messages": account.unfinished_messages.limit_bytes // 1024,
            "open_requests": account.open_requests.limit_bytes // 1024,
            "unfinished_responses": account.unfinished_responses.limit_bytes // 1024,
            "unsent_output": (pool.used_bytes() + pool.free_bytes()) // 1024,
        }
        return {
            "resident_kb": resident_bytes() // 1024,
            "held_kb": self.held_kb(),
            "limit_kb": limits,
            "turned_away": dict(account.turned_away),
        }

    def _report(self, now: int) -> tuple[str, dict[str, object]]:
        """Returns the text and the fields of a line, with the sums since the last one."""
        turned_away = dict(self.seen - self.logged)
        self.logged = self.seen
        self.logged_ns = now
        held = self.held_kb()
        parts = ", ".join(f"{use.replace('_', ' ')} {kb} kB" for use, kb in held.items())
        counts = ", ".join(f"{measure} {count}" for measure, count in turned_away.items())
        fields: dict[str, object] = {
            "held_kb": held,
            "turned_away": turned_away,
            "resident_kb": resident_bytes() // 1024,
        }
        return f"{parts}; {counts or 'nobody turned away since the last line'}", fields
