"""Check of a deployment's JSON configuration: its known keys, its diagnostics and its missing features.

The table of keys is in ``known_keys``; ``docs/operators/sites.md`` repeats it for operators.  Pure: no file,
socket or clock.  Imports the decision package's interface and ``kelpcroft.diagnostics``.  Start reading at
``check``.
"""

from kelpcroft.deployment_check.check import check_configuration
from kelpcroft.deployment_check.missing_features import missing_features
from kelpcroft.diagnostics import Diagnostic

__all__ = ["Diagnostic", "check_configuration", "missing_features"]
