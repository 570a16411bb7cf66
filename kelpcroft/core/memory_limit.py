"""The memory limit of the configuration: its division at the start, once the idle process is measured."""

from __future__ import annotations

from typing import TYPE_CHECKING

from kelpcroft.config import Config
from kelpcroft.core.descriptors import allocate_descriptors
from kelpcroft.core.effects import LimitUnsentOutput
from kelpcroft.core.inputs import IdleMemory
from kelpcroft.core.memory_budget import (
    CONNECTION_BYTES,
    DEFAULT_IDLE_BYTES,
    ENDPOINT_BYTES,
    MB,
    MemoryBudget,
    plan_memory,
)

if TYPE_CHECKING:
    from kelpcroft.core.state import State

PROCESSES_IN_UPGRADE = 2  # the old and the new process, whose memory counts together


def budget_of(config: Config, idle_bytes: int) -> MemoryBudget:
    """Divide the memory limit of a configuration, of which the idle process takes ``idle_bytes``.

    A process with an inherited listening socket may run beside its successor, so each plans with half.
    """
    processes = 1 if config.inherited_listener_fd is None else PROCESSES_IN_UPGRADE
    clients = allocate_descriptors(config.max_descriptors).clients
    return plan_memory(config.memory_mb * MB, idle_bytes, clients, processes)


def initial_budget(config: Config) -> MemoryBudget:
    """Divide the memory limit before the idle process is measured."""
    return budget_of(config, DEFAULT_IDLE_BYTES)


class MemoryLimit:
    """Divides the memory limit when the idle process has been measured, and as its tables grow.

    Attributes:
        idle_bytes: Memory of the process before its first client; 0 = it was not measured.
        endpoints: Number of endpoints in the list at that time.
        grown_bytes: What the endpoint list and connections to servers take beyond that.
        is_missing_logged: The log says that the limit cannot be held.
    """

    def __init__(self, state: State) -> None:
        self.state = state
        self.idle_bytes = 0
        self.endpoints = 0
        self.grown_bytes = 0
        self.is_missing_logged = False

    def on_idle_memory(self, message: IdleMemory) -> None:
        """Divide the limit, and log it; a limit that cannot be held gets a warning and the least budgets."""
        self.idle_bytes = message.resident_bytes
        self.endpoints = len(self.state.endpoints)
        self.log(self.divide())

    def follow_growth(self) -> None:
        """Divide the limit again if the number of endpoints or of connections to servers has changed.

        Log it once if the limit can no longer be held.
        """
        if not self.idle_bytes:
            return
        endpoints = len(self.state.endpoints) - self.endpoints
        connections = len(self.state.connections.by_number)
        grown_bytes = endpoints * ENDPOINT_BYTES + connections * CONNECTION_BYTES
        if grown_bytes != self.grown_bytes:
            self.grown_bytes = grown_bytes
            budget = self.divide()
            if budget.missing and not self.is_missing_logged:
                self.log(budget)

    def divide(self) -> MemoryBudget:
        """Set the budgets that the limit leaves beside the idle process, and return them."""
        state = self.state
        budget = budget_of(state.config, self.idle_bytes + self.grown_bytes)
        state.memory.set_budget(budget)
        state.effects.append(LimitUnsentOutput(budget.unsent_output))
        return budget

    def log(self, budget: MemoryBudget) -> None:
        """Log the budgets, and whether the limit can be held."""
        state = self.state
        self.is_missing_logged = budget.missing > 0
        idle_bytes = self.idle_bytes + self.grown_bytes
        limit_mb, idle_mb = state.config.memory_mb, idle_bytes / MB
        text = f"memory limit {limit_mb} MB, of which the idle process takes {idle_mb:.1f} MB"
        if budget.missing:
            needed_mb = limit_mb + budget.missing / MB
            text += f"; crowds of clients may pass it: set limits.memory_mb to {needed_mb:.0f} or more"
        state.log(
            "memory.limit",
            text,
            "warning" if budget.missing else "info",
            {
                "limit_mb": limit_mb,
                "idle_kb": idle_bytes // 1024,
                "missing_kb": budget.missing // 1024,
                "unfinished_messages_kb": budget.unfinished_messages // 1024,
                "open_requests_kb": budget.open_requests // 1024,
                "unfinished_responses_kb": budget.unfinished_responses // 1024,
                "unsent_output_kb": budget.unsent_output // 1024,
            },
        )
