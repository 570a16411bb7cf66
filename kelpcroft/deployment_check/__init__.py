"""What a deployment's JSON configuration says: every known key, what is wrong, and what it lacks.

Owns the table of keys (``known_keys``), which ``docs/operators/sites.md`` has for people.  Pure: no file,
socket or clock; imports the decision package's interface and ``kelpcroft.diagnostics``.  Start reading at
``check``.
"""

from kelpcroft.deployment_check.check import check_configuration
from kelpcroft.deployment_check.missing_features import missing_features
from kelpcroft.diagnostics import Diagnostic

__all__ = ["Diagnostic", "check_configuration", "missing_features"]
