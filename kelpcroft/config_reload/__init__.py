"""Reload of the configuration on SIGHUP: a check of the complete file (``check``) and its change (``plan``).

The package is pure: it uses no file, socket or clock.  It imports the settings of the decision package,
``kelpcroft.deployment_check`` for addresses, and ``kelpcroft.diagnostics``.  ``kelpcroft.core.config_reload``
applies the check and the change, which takes effect in two steps, to the state.  Start reading at ``check``.
"""

from kelpcroft.config_reload.check import check_file, decode_config, validate_config
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
    "check_file",
    "decode_config",
    "diff_settings",
    "final_settings",
    "transition_settings",
    "validate_config",
]
