"""A configuration read again on SIGHUP: checked whole (``check``), then taken up in two steps (``plan``).

Pure: no file, socket or clock.  Imports the settings of the decision package, ``kelpcroft.deployment_check``
for addresses and ``kelpcroft.diagnostics``.  ``kelpcroft.core.config_reload`` applies both to the state;
start reading at ``check``.
"""

from kelpcroft.config_reload.check import decode_config, validate_reload
from kelpcroft.config_reload.plan import (
    TRANSITION_NS,
    ConfigChange,
    diff_settings,
    final_settings,
    transition_settings,
)
from kelpcroft.diagnostics import Diagnostic

__all__ = [
    "TRANSITION_NS",
    "ConfigChange",
    "Diagnostic",
    "decode_config",
    "diff_settings",
    "final_settings",
    "transition_settings",
    "validate_reload",
]
