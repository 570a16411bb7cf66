"""Retuning on SIGHUP: a configuration read again is checked whole (``check``), and what it changes is taken
up in two steps (``plan``).  Pure: no file, socket or clock."""

from kelpcroft.config_reload.check import Diagnostic, decode_config, validate_reload
from kelpcroft.config_reload.plan import (
    TRANSITION_NS,
    ConfigChange,
    diff_settings,
    final_settings,
    transition_settings,
)

__all__ = [
    "TRANSITION_NS",
    "ConfigChange",
    "Diagnostic",
    "validate_reload",
    "decode_config",
    "diff_settings",
    "transition_settings",
    "final_settings",
]
