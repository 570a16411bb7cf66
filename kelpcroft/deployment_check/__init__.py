"""What a deployment's configuration says: every key that is known, what is wrong with it, and what it lacks.
Pure: no file, socket or clock."""

from kelpcroft.deployment_check.check import ConfigurationDiagnostic, check_configuration
from kelpcroft.deployment_check.missing_features import missing_features

__all__ = ["ConfigurationDiagnostic", "check_configuration", "missing_features"]
